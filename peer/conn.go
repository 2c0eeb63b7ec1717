// Package peer is the JSON-RPC 2.0 transport between the daemons.
package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sys/unix"
)

// writeTimeout limits each write, so that a peer that no longer reads or a silent
// network partition does not block the sender.
const writeTimeout = 2 * time.Second

// unacknowledgedTimeout is how long sent data may stay unacknowledged before the connection ends. The
// packets of a connection to a host that has lost power are sent again at growing intervals, so
// that the host, once it is back, rejects them only seconds later; until then, messages are lost.
const unacknowledgedTimeout = 1500 * time.Millisecond

// maxCalls is the number of calls of one connection that are handled at the same time. The peer has to wait with more.
const maxCalls = 2048

// Code classifies a RemoteError.
type Code int64

// Codes of errors between daemons.
const (
	CodeInvalidParams  Code = jsonrpc2.CodeInvalidParams
	CodeMethodNotFound Code = jsonrpc2.CodeMethodNotFound
	CodeInternal       Code = jsonrpc2.CodeInternalError
	CodeNotLeader      Code = -32001
	CodeUnavailable    Code = -32002
)

// RemoteError is an error that the other daemon returned.
type RemoteError struct {
	Code    Code
	Message string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("peer error %d: %s", e.Code, e.Message) }

// Handler serves one method. params is the JSON of the request; the result is
// encoded as JSON. Notifications are handled in order, calls concurrently.
type Handler func(ctx context.Context, c *Conn, params json.RawMessage) (any, error)

// Conn is a connection to another daemon.
type Conn struct {
	rpc *jsonrpc2.Conn
	tcp *timedConn
}

// Call sends a request and decodes the reply into result. If the call times out and the
// connection has received nothing meanwhile, the connection is closed.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	received := c.tcp.received.Load()
	err := c.rpc.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil && c.tcp.received.Load() == received {
		c.Close()
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return &RemoteError{Code: Code(remote.Code), Message: remote.Message}
	}
	return errors.Wrap(err, method)
}

// Notify sends a notification. It can block until the write times out.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	return errors.Wrap(c.rpc.Notify(ctx, method, params), method)
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the connection.
func (c *Conn) Close() {
	c.tcp.Close()
	_ = c.rpc.Close() // It fails because the connection is already closed.
}

func newConn(ctx context.Context, nc net.Conn, handlers map[string]Handler, events zerolog.Logger, b *budget) *Conn {
	if err := limitUnacknowledged(nc); err != nil {
		events.Warn().Err(err).Msg("failed to limit how long sent data may stay unacknowledged")
	}
	c := &Conn{tcp: &timedConn{Conn: nc}}
	ready := make(chan struct{})
	stream := jsonrpc2.NewBufferedStream(c.tcp, &boundedCodec{b, c.tcp})
	// The library logs every connection that ends; callers get that as an error.
	discardLog := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	c.rpc = jsonrpc2.NewConn(ctx, stream, &dispatcher{conn: c, handlers: handlers, ready: ready, log: events}, discardLog)
	close(ready)
	return c
}

// limitUnacknowledged sets unacknowledgedTimeout on a TCP connection.
func limitUnacknowledged(nc net.Conn) error {
	if secure, ok := nc.(*tls.Conn); ok {
		nc = secure.NetConn()
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// timedConn limits the time of each write and counts the bytes that are sent and received. It
// closes the connection when a write fails.
type timedConn struct {
	net.Conn
	received atomic.Int64
	sent     atomic.Int64
	// messages counts the whole messages that were received.
	messages atomic.Int64
}

func (c *timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	totalSent.Add(int64(n))
	if err != nil {
		// A message may be cut off, and the buffer above returns the error to all later writes.
		_ = c.Close() // The error of the write is returned.
	}
	return n, err
}

func (c *timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	totalReceived.Add(int64(n))
	return n, err
}

var totalSent, totalReceived atomic.Int64

// Traffic returns the number of bytes that this process has sent to and received from
// other daemons.
func Traffic() (sent, received int64) { return totalSent.Load(), totalReceived.Load() }

// dispatcher passes requests to the handlers of their methods once ready is closed.
type dispatcher struct {
	conn     *Conn
	handlers map[string]Handler
	ready    chan struct{}
	log      zerolog.Logger
	calls    atomic.Int64 // in progress
}

// Handle implements jsonrpc2.Handler.
func (d *dispatcher) Handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-d.ready
	if r.Notif {
		d.handleNotification(ctx, r)
		return
	}
	if d.calls.Add(1) > maxCalls {
		d.handleCall(ctx, r) // no further message is read meanwhile
		return
	}
	go d.handleCall(ctx, r)
}

func (d *dispatcher) handleNotification(ctx context.Context, r *jsonrpc2.Request) {
	if h, ok := d.handlers[r.Method]; ok {
		_, _ = d.call(ctx, h, r) // A notification has no reply.
	}
}

// call runs a handler. A handler that panics fails this one request and not the whole process.
func (d *dispatcher) call(ctx context.Context, h Handler, r *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if v := recover(); v != nil {
			d.log.Error().Str("method", r.Method).Str("panic", fmt.Sprint(v)).Str("stack", string(debug.Stack())).Msg("handler of a peer request failed")
			result, err = nil, &RemoteError{Code: CodeInternal, Message: "the handler of " + r.Method + " failed"}
		}
	}()
	return h(ctx, d.conn, params(r))
}

func (d *dispatcher) handleCall(ctx context.Context, r *jsonrpc2.Request) {
	defer d.calls.Add(-1)
	h, ok := d.handlers[r.Method]
	if !ok {
		d.replyError(ctx, r, &RemoteError{Code: CodeMethodNotFound, Message: "unknown method " + r.Method})
		return
	}
	result, err := d.call(ctx, h, r)
	if err != nil {
		d.replyError(ctx, r, err)
		return
	}
	_ = d.conn.rpc.Reply(ctx, r.ID, result) // The caller has disconnected if this fails.
}

func (d *dispatcher) replyError(ctx context.Context, r *jsonrpc2.Request, err error) {
	code := CodeInternal
	var remote *RemoteError
	if errors.As(err, &remote) {
		code = remote.Code
	}
	message := err.Error()
	if remote != nil {
		message = remote.Message
	}
	_ = d.conn.rpc.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: int64(code), Message: message})
}

func params(r *jsonrpc2.Request) json.RawMessage {
	if r.Params == nil {
		return json.RawMessage("null")
	}
	return *r.Params
}

// Decode decodes the params of a request. The error is a *RemoteError for the sender.
func Decode(params json.RawMessage, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		return &RemoteError{Code: CodeInvalidParams, Message: err.Error()}
	}
	return nil
}
