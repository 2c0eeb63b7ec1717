package door

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Limits bound the requests at a listener.
type Limits struct {
	// HeaderBytes is the size of a header, HeaderTimeout the time that it may take; 0 for none beside that of the server.
	HeaderBytes   int
	HeaderTimeout time.Duration
}

// DefaultLimits are those of listeners that no document bounds.
var DefaultLimits = Limits{HeaderBytes: 16 << 10}

// listener is a net.Listener whose connections count in the account.
type listener struct {
	net.Listener
	door   *Door
	name   string
	limits func() Limits
}

// Listener returns a listener whose connections, which must be TCP, count in the account of the door.
func (d *Door) Listener(l net.Listener, name string, limits func() Limits) net.Listener {
	return &listener{l, d, name, limits}
}

// Accept returns the next connection. It closes those for which there is no place.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			nc.Close()
			return nil, errors.Errorf("the connection is a %T, not TCP", nc)
		}
		c := &Conn{TCPConn: tcp, door: l.door, name: l.name, limits: l.limits}
		if l.door.admit(c) {
			return c, nil
		}
		l.door.record(Connections, l.name)
		nc.Close()
	}
}

// connKey is the context key of the connection.
type connKey struct{}

// ConnContext is the value of http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnState is the value of http.Server.ConnState.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.door.release(c)
		c.header.Store(0)
		c.phase.Store(receiving)
	}
}

// fromContext returns the connection of a request, or nil if it doesn't come through a door.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler returns a handler that charges the headers of requests before next serves them. The server must have
// ConnContext and ConnState.
func (d *Door) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := fromContext(r.Context()); c != nil {
			c.phase.Store(serving)
			// What was sent ahead is in a buffer of net/http and was not counted as the header of this request.
			if more := headerMemory(r.Header) - c.held.Load(); more > 0 && !d.reserve(c, more) {
				d.record(Memory, c.name)
				Refuse(w, &RefusedError{Memory})
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Reserve takes memory for a request beyond what was received, until its answer is sent. The error is a *RefusedError.
func Reserve(ctx context.Context, n int64) error {
	c := fromContext(ctx)
	if c == nil || n <= 0 || c.door.reserve(c, n) {
		return nil
	}
	c.door.record(Memory, c.name)
	return &RefusedError{Memory}
}

// Refuse answers a request that is refused and has not run.
func Refuse(w http.ResponseWriter, refused *RefusedError) {
	w.Header().Set("Retry-After", strconv.FormatFloat(RetryAfter.Seconds(), 'f', -1, 64))
	w.Header().Set("Connection", "close")
	http.Error(w, "not run: "+refused.Error(), refused.Status())
}

// headerMemory returns the memory of header fields.
func headerMemory(h http.Header) (size int64) {
	for name, values := range h {
		size += int64(len(name)) * byteMemory
		for _, value := range values {
			size += fieldMemory + int64(len(value))*byteMemory
		}
	}
	return size
}
