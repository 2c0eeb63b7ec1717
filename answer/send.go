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

// maxIdlePerTarget is the maximum number of idle connections to a target. The largest deployments
// keep 100 connections to one searcher; the standard client keeps only 2.
const maxIdlePerTarget = 100

// clientSender sends sub-requests with the standard HTTP client.
type clientSender struct {
	client *http.Client
	clock  clockwork.Clock
}

func newSender(clock clockwork.Clock) *clientSender {
	dialer := &net.Dialer{}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerTarget,
		// Decompression would change the body, whose length is compared with Content-Length.
		DisableCompression: true,
	}
	return &clientSender{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}, clock: clock}
}

// noRedirect prevents the client from repeating a sub-request at another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// send sends a sub-request. It calls Check at the first write to the connection.
func (s *clientSender) send(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
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
	sent, refusal := g.closeGate()
	if refusal != nil {
		return nil, &SendError{Outcome: Cancelled, Err: refusal}
	}
	if err != nil {
		return nil, classifySendError(err, sent)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = &ReplyError{Reason: reasonLength}
	}
	if err != nil {
		return nil, classifySendError(err, true)
	}
	return ReadReply(res.StatusCode, res.Header, text)
}

// gate permits the first write of a sub-request only if check succeeds and closeGate has not
// been called, so that no byte leaves after the sender has reported that none did.
type gate struct {
	check func() error

	mu      sync.Mutex
	sent    bool
	closed  bool
	refusal error
}

// errGateClosed is the error of a write after closeGate.
var errGateClosed = errors.New("sub-request was abandoned")

// allowWrite returns nil if a write may continue.
func (g *gate) allowWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sent {
		return nil
	}
	if g.closed {
		return errGateClosed
	}
	if g.refusal = g.check(); g.refusal != nil {
		g.closed = true
		return g.refusal
	}
	g.sent = true
	return nil
}

// closeGate closes the gate. It reports whether a byte may have left, and returns the error of
// check if it refused the first write.
func (g *gate) closeGate() (sent bool, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.sent, g.refusal
}

// gatedConn is a connection that checks each write with the gate of the sub-request that uses
// the connection. A request body that checks on its first read would be too late, because the
// client flushes the headers before it reads the body.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.allowWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// NewHTTPRequest returns the HTTP request of a sub-request. It propagates the trace context of
// ctx.
func NewHTTPRequest(ctx context.Context, now time.Time, t *control.Target, sub *Subrequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address.String()+"/query", bytes.NewReader(sub.Query))
	if err != nil {
		return nil, errors.Wrap(err, "create sub-request")
	}
	// Without GetBody, the client can't resend the request on another connection by itself.
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

// setTimeout sets the timeout header to the time that remains until the deadline, at least 1 ms.
func setTimeout(req *http.Request, now time.Time, sub *Subrequest) {
	req.Header.Set(target.HeaderTimeout, strconv.FormatInt(max(1, sub.Deadline.Sub(now).Milliseconds()), 10))
}

// classifySendError returns the outcome of a sub-request whose client failed.
func classifySendError(err error, sent bool) *SendError {
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
	return req, errors.Wrap(err, "create cancellation")
}

// newHealthCheck returns the health check request for a target.
func newHealthCheck(ctx context.Context, t *control.Target) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address.String()+"/health", http.NoBody)
	return req, errors.Wrap(err, "create health check request")
}

// cancel sends the cancellation of a sub-request to its target.
func (s *clientSender) cancel(ctx context.Context, t *control.Target, sub *Subrequest) error {
	req, err := newCancellation(ctx, t, sub)
	if err != nil {
		return err
	}
	return s.call(req)
}

// health checks the target's health. A reply with any status counts as success.
func (s *clientSender) health(ctx context.Context, t *control.Target) error {
	req, err := newHealthCheck(ctx, t)
	if err != nil {
		return err
	}
	return s.call(req)
}

func (s *clientSender) call(req *http.Request) error {
	res, err := s.client.Do(req) //nolint:gosec // The address is the one that the target announced.
	if err != nil {
		return errors.Wrap(err, "call target")
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes))
	return errors.Wrap(err, "read reply")
}
