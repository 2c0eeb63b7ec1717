package answer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"wasabirelay/control"
	"wasabirelay/poison"
	"wasabirelay/route"
	"wasabirelay/target"
)

// Subrequest is one request to one target.
type Subrequest struct {
	// Request is unique per attempt. It starts with the caller's identity and contains a random
	// UUID of the query, so that two queries under the same identity can't get each other's
	// replies.
	Request  string
	Service  string
	Route    string
	Shard    int
	Snapshot uint64
	Kind     Kind
	Deadline time.Time
	Query    []byte
	// Check returns an error if the sub-request may no longer be sent, because the host has lost
	// its lease or the target may not get new work. Send calls it directly before it sends the
	// first byte.
	Check func() error
}

// Outcome is the result of a sub-request, which the selection of replicas uses.
type Outcome = route.Outcome

// Values of Outcome.
const (
	Success       = route.Success
	Shed          = route.Shed
	DrainingReply = route.DrainingReply
	ColdReply     = route.ColdReply
	SnapshotGone  = route.SnapshotGone
	ConnectFailed = route.ConnectFailed
	Reset         = route.Reset
	BadReply      = route.BadReply
	TimedOut      = route.TimedOut
	Cancelled     = route.Cancelled
	Failed        = route.Failed
)

// outcomeNames holds the names of outcomes in traces and errors.
var outcomeNames = map[Outcome]string{
	Success: "success", Shed: target.ReasonShed, DrainingReply: target.ReasonDraining, ColdReply: target.ReasonCold,
	SnapshotGone: target.ReasonSnapshot, ConnectFailed: "connect", Reset: "reset", BadReply: "reply",
	TimedOut: "timeout", Cancelled: "cancelled", Failed: "failed",
}

// causesNoWork reports whether a target with this outcome did no work, so that a retry on another
// replica adds no load. Shed and cold replies don't count, because retrying them multiplies the
// load of an overloaded service.
func causesNoWork(o Outcome) bool {
	return o == ConnectFailed || o == DrainingReply || o == SnapshotGone
}

// SendError is the error of a sub-request that got no valid reply.
type SendError struct {
	Outcome Outcome
	// Sent is true if at least one byte may have left this host.
	Sent bool
	Err  error
}

func (e *SendError) Error() string { return outcomeNames[e.Outcome] + ": " + e.Err.Error() }

// lostAfterSend reports whether the connection ended after the request was sent, which happens
// when a target dies.
func (e *SendError) lostAfterSend() bool {
	var reply *ReplyError
	return e.Sent && (e.Outcome == Reset || (errors.As(e.Err, &reply) && reply.Reason == reasonLength))
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Choice holds the replicas to select from, with the constraints.
type Choice = route.Choice

// Dependencies are the functions of other packages that a Service calls. View is required;
// every other nil field gets a default. The fields are set before use.
type Dependencies struct {
	// View returns the current view, or an error while the host may not send work to targets
	// because it has lost its lease.
	View func() (*control.View, error)
	// Send sends a sub-request and waits for the reply. It need not validate the reply. The
	// default uses a plain HTTP client.
	Send func(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError)
	// Cancel notifies a target that supports cancellation that a sub-request is no longer needed.
	Cancel func(ctx context.Context, t *control.Target, sub *Subrequest) error
	// Health returns an error if the target does not respond to a health check.
	Health func(ctx context.Context, t *control.Target) error
	// Pick selects a replica. Start and Done are called before and after each sub-request.
	Pick  func(now time.Time, c Choice) (*control.Target, bool)
	Start func(now time.Time, t *control.Target)
	Done  func(now time.Time, t *control.Target, service string, latency time.Duration, o Outcome)
	// RecordEvidence records the outcome of each sub-request with the query's route, for the
	// comparison of versions.
	RecordEvidence func(now time.Time, t *control.Target, route string, latency time.Duration, o Outcome)
	// SuspectCold reports whether a target behaves as if it were cold.
	SuspectCold func(now time.Time, t *control.Target) bool
	// ClearSuspicion ends the suspicion that the warm replicas of a shard are cold if all of them
	// are suspected, and reports whether one has become usable.
	ClearSuspicion func(now time.Time, replicas []*control.Target) bool
	// HedgeAfter returns the hedge delay, or false while no hedges may be sent.
	HedgeAfter func(now time.Time, service string, quantile float64) (time.Duration, bool)
	// CountFirst counts a first sub-request of a service. SpendBudget takes a hedge or a retry
	// from the service's budget, which is a share of its first sub-requests, and reports
	// whether the budget had room.
	CountFirst  func(service string)
	SpendBudget func(service string, share float64) bool
	// SpendEarlyBudget is SpendBudget for the first attempt to hedge a sub-request. The
	// default is SpendBudget.
	SpendEarlyBudget func(service string, share float64) bool
	// Admit admits a query or returns an error. The default admits every query.
	Admit func(ctx context.Context, service string, subrequests int) (release func(), err error)
	// ReserveGrant reserves room for one sub-request in this host's grant for a cold target. By
	// default cold targets get no work.
	ReserveGrant func(t *control.Target) (release func(), ok bool)
	// Granted reports whether this host holds a grant for a cold target. The
	// default reads the view's grant "cold/<target>/<incarnation>".
	Granted func(v *control.View, t *control.Target) bool
	// Propose commits a command. After an error it is unknown whether the command was committed.
	Propose func(ctx context.Context, c control.Command) (control.Result, error)
	// Fetch gets a stored answer from another host, or nil if that host has none.
	Fetch func(ctx context.Context, host, key string) (*Answer, error)
	// RandomFloat returns a random number in [0, 1), which selects the version.
	RandomFloat func() float64
}

// Service answers queries. Exported fields are set before Register or Answer is
// called. It is safe for concurrent use.
type Service struct {
	Dependencies
	// Host is the name of this host.
	Host     string
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Registry prometheus.Registerer
	// Tracer provides the tracer for spans. If it is nil, the global provider is used.
	Tracer trace.TracerProvider
	Poison *poison.Tracker

	serviceState
}

// errNotAvailable is the error of a dependency that is not set.
var errNotAvailable = errors.New("not available on this host")

func unavailablePropose(context.Context, control.Command) (control.Result, error) {
	return control.Result{}, errNotAvailable
}

func unavailableFetch(context.Context, string, string) (*Answer, error) { return nil, errNotAvailable }

func admitAll(context.Context, string, int) (func(), error) { return func() {}, nil }

func noGrant(*control.Target) (func(), bool) { return nil, false }

func (s *Service) grantedInView(v *control.View, t *control.Target) bool {
	return v.Grants["cold/"+t.Name+"/"+t.Incarnation][s.Host] > 0
}
