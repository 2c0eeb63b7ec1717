package answer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"

	"wasabirelay/control"
	"wasabirelay/target"
)

// HeaderRoute carries the route of a query to the target.
const HeaderRoute = "Wasabi-Route"

// Values of the header Wasabi-Reason.
const (
	reasonShed     = "shed"
	reasonDraining = "draining"
	reasonCold     = "cold"
	reasonSnapshot = "snapshot"
)

// Cancellation is the body of POST /cancel.
type Cancellation struct {
	Request string `json:"request"`
	Shard   int    `json:"shard"`
}

// HTTP sends sub-requests over a plain client. Exported fields are set before use.
type HTTP struct {
	Client *http.Client
	Clock  clockwork.Clock
}

// Send sends a sub-request. Its Check runs when the client reads the body, which
// is directly before the first byte: the headers are below the 4 KiB that the
// client buffers.
func (h *HTTP) Send(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
	body := &gate{check: sub.Check, data: bytes.NewReader(sub.Query)}
	req, err := NewHTTPRequest(ctx, h.Clock.Now(), t, sub, body)
	if err != nil {
		return nil, &SendError{Outcome: Failed, Err: err}
	}
	res, err := h.Client.Do(req)
	sent, refusal := body.shut()
	if refusal != nil {
		return nil, &SendError{Outcome: Cancelled, Err: refusal}
	}
	if err != nil {
		return nil, sendError(err, sent)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, statusError(res)
	}
	reply, err := readReply(res)
	if err != nil {
		return nil, sendError(err, true)
	}
	return reply, nil
}

// gate is the body of a sub-request. It lets the first read pass only if check
// permits it and shut has not been called, so that no byte leaves after the
// sender has decided that none did.
type gate struct {
	check func() error
	data  *bytes.Reader

	mu      sync.Mutex
	sent    bool
	closed  bool
	refusal error
}

// errShut is the error of a read after shut.
var errShut = errors.New("sub-request was given up")

// Read implements io.Reader.
func (g *gate) Read(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.sent {
		if g.closed {
			return 0, errShut
		}
		if g.refusal = g.check(); g.refusal != nil {
			g.closed = true
			return 0, g.refusal
		}
		g.sent = true
	}
	return g.data.Read(p)
}

// Close implements io.Closer.
func (g *gate) Close() error { return nil }

// shut reports whether a byte may have left, or why check refused.
func (g *gate) shut() (sent bool, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.sent, g.refusal
}

// NewHTTPRequest returns the HTTP request of a sub-request with the trace
// context of ctx. body yields the query.
func NewHTTPRequest(ctx context.Context, now time.Time, t *control.Target, sub *Subrequest, body io.ReadCloser) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address.String()+"/query", body)
	if err != nil {
		return nil, errors.Wrap(err, "build sub-request")
	}
	// Without GetBody, which the body's type prevents, the client can't send the
	// request again on another connection by itself.
	req.ContentLength = int64(len(sub.Query))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(target.HeaderRequest, sub.Request)
	req.Header.Set(target.HeaderShard, strconv.Itoa(sub.Shard))
	req.Header.Set(target.HeaderSnapshot, strconv.FormatUint(sub.Snapshot, 10))
	req.Header.Set(target.HeaderTimeout, strconv.FormatInt(max(1, sub.Deadline.Sub(now).Milliseconds()), 10))
	if sub.Route != "" {
		req.Header.Set(HeaderRoute, sub.Route)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
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
	case reasonShed:
		return Shed
	case reasonDraining:
		return DrainingReply
	case reasonCold:
		return ColdReply
	case reasonSnapshot:
		return SnapshotGone
	default:
		return Failed
	}
}

func statusError(res *http.Response) *SendError {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBody)) // Keeps the connection usable.
	reason := res.Header.Get(target.HeaderReason)
	return &SendError{
		Outcome: StatusOutcome(res.StatusCode, reason), Sent: true,
		Err: errors.Errorf("target replied with status %d %s", res.StatusCode, reason),
	}
}

// Cancel posts the cancellation of a sub-request.
func (h *HTTP) Cancel(ctx context.Context, t *control.Target, sub *Subrequest) error {
	body, err := json.Marshal(Cancellation{Request: sub.Request, Shard: sub.Shard})
	if err != nil {
		return errors.Wrap(err, "encode cancellation")
	}
	return h.call(ctx, http.MethodPost, t, "/cancel", body)
}

// Health asks for the target's health. A reply of any status is an answer.
func (h *HTTP) Health(ctx context.Context, t *control.Target) error {
	return h.call(ctx, http.MethodGet, t, "/health", nil)
}

func (h *HTTP) call(ctx context.Context, method string, t *control.Target, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address.String()+path, bytes.NewReader(body)) //nolint:gosec // The address is the one that the target announced.
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	res, err := h.Client.Do(req) //nolint:gosec // The address is the one that the target announced.
	if err != nil {
		return errors.Wrap(err, "call target")
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxBody))
	return errors.Wrap(err, "read reply")
}
