package answer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"

	"wasabirelay/control"
	"wasabirelay/target"
)

// idlePerTarget is the number of connections that the largest deployments keep to
// one searcher (100); the standard client keeps 2.
const idlePerTarget = 100

// sender sends sub-requests over the standard HTTP client.
type sender struct {
	client *http.Client
	clock  clockwork.Clock
}

func newSender(clock clockwork.Clock) *sender {
	dialer := &net.Dialer{}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerTarget,
		// The announced length is checked against the body as it was sent.
		DisableCompression: true,
	}
	return &sender{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}, clock: clock}
}

// noRedirect keeps the client from repeating a sub-request at another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// send sends a sub-request. Its Check runs at the first write to the connection.
func (s *sender) send(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
	g := &gate{check: sub.Check}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.gate.Store(g)
		}
	}})
	req, err := NewHTTPRequest(ctx, s.clock.Now(), t, sub)
	if err != nil {
		return nil, &SendError{Outcome: Failed, Err: err}
	}
	res, err := s.client.Do(req)
	sent, refusal := g.shut()
	if refusal != nil {
		return nil, &SendError{Outcome: Cancelled, Err: refusal}
	}
	if err != nil {
		return nil, sendError(err, sent)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = &ReplyError{Reason: reasonLength}
	}
	if err != nil {
		return nil, sendError(err, true)
	}
	return ReadReply(res.StatusCode, res.Header, text)
}

// gate lets the first write of a sub-request pass only if check permits it and
// shut has not been called, so that no byte leaves after the sender has decided
// that none did.
type gate struct {
	check func() error

	mu      sync.Mutex
	sent    bool
	closed  bool
	refusal error
}

// errShut is the error of a write after shut.
var errShut = errors.New("sub-request was given up")

// pass returns nil if a write may go on.
func (g *gate) pass() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sent {
		return nil
	}
	if g.closed {
		return errShut
	}
	if g.refusal = g.check(); g.refusal != nil {
		g.closed = true
		return g.refusal
	}
	g.sent = true
	return nil
}

// shut reports whether a byte may have left, or why check refused.
func (g *gate) shut() (sent bool, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.sent, g.refusal
}

// gatedConn is a connection whose writes pass the gate of the sub-request that
// has the connection. A body that checks on its first read comes too late,
// because the client flushes the headers before it reads such a body.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.pass(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// NewHTTPRequest returns the HTTP request of a sub-request with the trace
// context of ctx.
func NewHTTPRequest(ctx context.Context, now time.Time, t *control.Target, sub *Subrequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address.String()+"/query", bytes.NewReader(sub.Query))
	if err != nil {
		return nil, errors.Wrap(err, "build sub-request")
	}
	// Without GetBody, the client can't send the request again on another
	// connection by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(target.HeaderRequest, sub.Request)
	req.Header.Set(target.HeaderShard, strconv.Itoa(sub.Shard))
	req.Header.Set(target.HeaderSnapshot, strconv.FormatUint(sub.Snapshot, 10))
	setTimeout(req, now, sub)
	if sub.Route != "" {
		req.Header.Set(target.HeaderRoute, sub.Route)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// setTimeout states the time that the target has from now on.
func setTimeout(req *http.Request, now time.Time, sub *Subrequest) {
	req.Header.Set(target.HeaderTimeout, strconv.FormatInt(max(1, sub.Deadline.Sub(now).Milliseconds()), 10))
}

// sendError classifies an error of the client.
func sendError(err error, sent bool) *SendError {
	e := &SendError{Outcome: Failed, Sent: sent, Err: err}
	var reply *ReplyError
	var network net.Error
	switch {
	case errors.As(err, &reply):
		e.Outcome = BadReply
	case errors.Is(err, context.Canceled):
		e.Outcome = Cancelled
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &network) && network.Timeout():
		e.Outcome = TimedOut
	case !sent:
		e.Outcome = ConnectFailed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		e.Outcome = Reset
	}
	return e
}

// StatusOutcome returns the outcome of a reply whose status is not 200.
func StatusOutcome(status int, reason string) Outcome {
	if status != http.StatusServiceUnavailable {
		return Failed
	}
	switch reason {
	case target.ReasonShed:
		return Shed
	case target.ReasonDraining:
		return DrainingReply
	case target.ReasonCold:
		return ColdReply
	case target.ReasonSnapshot:
		return SnapshotGone
	default:
		return Failed
	}
}

// newCancellation returns the request that cancels a sub-request.
func newCancellation(ctx context.Context, t *control.Target, sub *Subrequest) (*http.Request, error) {
	body, err := json.Marshal(target.Cancel{Request: sub.Request, Shard: sub.Shard})
	if err != nil {
		return nil, errors.Wrap(err, "encode cancellation")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address.String()+"/cancel", bytes.NewReader(body)) //nolint:gosec // The address is the one that the target announced.
	return req, errors.Wrap(err, "build cancellation")
}

// newHealth returns the request for a target's health.
func newHealth(ctx context.Context, t *control.Target) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address.String()+"/health", http.NoBody)
	return req, errors.Wrap(err, "build health request")
}

// cancel posts the cancellation of a sub-request.
func (s *sender) cancel(ctx context.Context, t *control.Target, sub *Subrequest) error {
	req, err := newCancellation(ctx, t, sub)
	if err != nil {
		return err
	}
	return s.call(req)
}

// health asks for the target's health. A reply of any status is an answer.
func (s *sender) health(ctx context.Context, t *control.Target) error {
	req, err := newHealth(ctx, t)
	if err != nil {
		return err
	}
	return s.call(req)
}

func (s *sender) call(req *http.Request) error {
	res, err := s.client.Do(req) //nolint:gosec // The address is the one that the target announced.
	if err != nil {
		return errors.Wrap(err, "call target")
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxBody))
	return errors.Wrap(err, "read reply")
}
