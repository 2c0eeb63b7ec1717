package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// failingListener fails to accept for a number of times.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func echo(_ context.Context, _ *Conn, params json.RawMessage) (any, error) { return params, nil }

// Guards against a daemon that ends because it can't accept a connection for a moment.
func TestFailedAcceptEndsNoServer(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := &Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handlers: map[string]Handler{"echo": echo}, Log: zerolog.Nop(), Clock: clock}
	l, err := s.Listen(t.Context())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, &failingListener{l, 3}) }()
	for range 3 {
		is.NoErr(clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(maxAcceptDelay)
	}
	c := &Client{Address: netip.MustParseAddrPort(l.Addr().String())}
	defer c.Close()
	var out int
	is.NoErr(c.Call(t.Context(), "echo", 7, &out))
	is.Equal(out, 7)
	cancel()
	is.NoErr(<-ended)
}

// Guards against one request that ends the whole process because its handler panics.
func TestPanicFailsOneRequest(t *testing.T) {
	is := is.New(t)
	c := start(t, map[string]Handler{
		"echo": echo, "panic": func(context.Context, *Conn, json.RawMessage) (any, error) { panic("unexpected") },
	})
	is.NoErr(c.Notify(t.Context(), "panic", nil))
	var out int
	var remote *RemoteError
	is.True(errors.As(c.Call(t.Context(), "panic", nil, &out), &remote))
	is.Equal(remote.Code, CodeInternal)
	is.NoErr(c.Call(t.Context(), "echo", 7, &out))
}

// Guards against bytes that are no message and that end the process or other connections.
func TestMalformedMessageEndsOnlyItsConnection(t *testing.T) {
	c := start(t, map[string]Handler{"echo": echo})
	var out int
	is.New(t).NoErr(c.Call(t.Context(), "echo", 1, &out))
	for name, text := range map[string]string{
		"no message": "GET / HTTP/1.1\r\n\r\n", "zeros": string(make([]byte, 64)), "no object": "\x02[]", "no method": "\x02{}",
		"method of another type": "\x0c{\"method\":1}", "unknown method": "\x13{\"method\":\"unknown\"}", "endless length": "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
		"identity of another type": "\x1d{\"method\":\"echo\",\"id\":{\"a\":1}}",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", c.Address.String()) //nolint:noctx // loopback
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, text)
			is.NoErr(err)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			_, err = io.Copy(io.Discard, conn)
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout()) // the connection is closed
			is.NoErr(c.Call(t.Context(), "echo", 1, &out))
		})
	}
}
