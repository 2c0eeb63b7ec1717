// Package relay forwards requests of callers to targets: to one target of a
// service, or to one of each shard, whose records it merges into one answer.
// Requests and replies are opaque; the names of the headers are settings.
package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/eventlog"
	"wasabirelay/limit"
	"wasabirelay/route"
	"wasabirelay/routing"
)

// Headers are the names of the headers that callers and targets use.
type Headers struct {
	// Request identifies one attempt of a caller. Targets repeat it in replies.
	Request string
	// Timeout is the time in milliseconds that the caller still waits.
	Timeout string
	// Signature proves that a reply is a target's.
	Signature string
	// Target names the target that may run the request.
	Target string
	// NotRun states that the target has not run the request.
	NotRun string
	// Parts lists the signatures of the parts of a merged answer, Missing is the
	// number of shards that have no part in it.
	Parts, Missing string
}

const (
	// ReplyMargin is how long before the objective an incomplete answer is sent: the
	// way from and to a caller in the same region, 3 ms each, and as much to merge,
	// write and wait for the processor.
	ReplyMargin = 12 * time.Millisecond
	// ConnectMargin comes on top for the first request on a connection, which the
	// caller had to ask an address for and to open: a round trip each.
	ConnectMargin = 12 * time.Millisecond
	// endMargin is how long before its deadline a request gets its final answer, so
	// that the answer arrives while the caller still waits.
	endMargin = 15 * time.Millisecond
	// hedgeQuantile is the quantile of latencies after which a request is hedged. It
	// leaves half of a retry budget of 0.2 to retries and slow targets.
	hedgeQuantile = 0.92
	// firstHedge is the part of the objective after which a request is hedged while no
	// latencies are known, leastHedge and lastHedge bound the learned delay.
	firstHedge, leastHedge, lastHedge = 0.25, 0.08, 0.4
	// retryAfter is when a caller whose request has not run may come back: by then
	// a queue of a target has drained.
	retryAfter = 100 * time.Millisecond
	// failedLines, degradedLines and answeredLines bound the log lines per second on
	// requests that got no success, that got an incomplete or late one, and on the
	// others: when there is too much to write, what explains failures is left out last.
	failedLines, degradedLines, answeredLines = 100, 20, 2
	// startShare is the part of the caller's time, and startWait the time, for which a
	// request waits for the first routing document after the start of this host.
	startShare = 0.3
	startWait  = time.Second
	// maxUnsent bounds the targets that are tried for a request without any being sent.
	maxUnsent = 4
)

// View is what the relay decides on. It is immutable.
type View struct {
	Routing *routing.Table
	// Targets holds the targets by service.
	Targets map[string][]*control.Target
	// Out holds the data centres that get no work.
	Out map[string]bool
	// Moves holds the running version moves by service.
	Moves map[string]control.MoveRecord
	// Avoid holds the names of the targets that this host leaves to others while it has
	// better ones, because they can't hold a connection of every host.
	Avoid map[string]bool
	// Share is the part of what all hosts together may do that this host may: extra
	// requests, and requests to cold targets.
	Share float64
}

// Service relays requests. Exported fields are set before use. It is safe for
// concurrent use.
type Service struct {
	Headers Headers
	Clock   clockwork.Clock
	Log     zerolog.Logger
	Events  *eventlog.Limiter
	Pool    *limit.Pool
	Table   *route.Table
	// View returns the current view, or nil before a routing document is known.
	View func() *View
	// Ready is closed once there is a view; nil stands for one that is there.
	Ready <-chan struct{}
	// RetryShare is the share of extra requests, RetrySlack the constant beside it,
	// for all hosts together.
	RetryShare, RetrySlack float64
	// BudgetsEmptyUntil is until when a service that is used for the first time gets no part
	// of RetrySlack in advance: an earlier run of this process may have used it.
	BudgetsEmptyUntil time.Time
	// Observe, if set, is called with the outcome of each request to a target.
	Observe func(t *control.Target, route string, latency time.Duration, o route.Outcome)
	// Draining reports whether callers are told to leave.
	Draining func() bool
	Metrics  *Metrics

	splits   splits
	cold     coldGate
	attempts atomic.Int64
}

// Attempts returns the number of requests to targets so far.
func (s *Service) Attempts() int64 { return s.attempts.Load() }

// job is a request on its way.
type job struct {
	*http.Request
	body     []byte
	id       string
	view     *View
	route    *routing.Route
	started  time.Time
	deadline time.Time
	// decide is when an incomplete answer is better than a late one.
	decide time.Time
}

// connectionKey is the key of the state of a caller's connection in its context.
type connectionKey struct{}

// connection is the state of a caller's connection.
type connection struct{ used atomic.Bool }

// ConnContext is for http.Server.ConnContext: it lets the relay tell the first request
// on a connection from the others.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{})
}

// margin is how long before the objective an answer to the request has to be sent.
func margin(r *http.Request) time.Duration {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && !c.used.Swap(true) {
		return ReplyMargin + ConnectMargin
	}
	return ReplyMargin
}

// ServeHTTP relays one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Draining() {
		w.Header().Set("Connection", "close")
	}
	j, refusal := s.accept(r)
	if refusal != nil {
		s.refuse(w, r, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if len(j.route.Shards) > 0 {
		s.gather(ctx, w, j)
		return
	}
	s.forward(ctx, w, j)
}
