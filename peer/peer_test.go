package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

func start(t *testing.T, handlers map[string]Handler) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handlers: handlers, Log: zerolog.Nop()}
	l, err := s.Listen(ctx)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run(ctx, l) }()
	c := &Client{Address: netip.MustParseAddrPort(l.Addr().String())}
	t.Cleanup(func() { c.Close(); cancel() })
	return c
}

// Guards against errors in one daemon that break the connection or that reach the sender
// without a code.
func TestErrorsReachTheSender(t *testing.T) {
	c := start(t, map[string]Handler{
		"number": func(_ context.Context, _ *Conn, params json.RawMessage) (any, error) {
			var n int
			return n, Decode(params, &n)
		},
		"refuse": func(context.Context, *Conn, json.RawMessage) (any, error) {
			return nil, errors.Wrap(&RemoteError{Code: CodeNotLeader, Message: "h2 is the leader"}, "wrapped")
		},
	})
	for _, tt := range []struct {
		method string
		params any
		want   Code
	}{
		{"number", "text", CodeInvalidParams},
		{"absent", 1, CodeMethodNotFound},
		{"refuse", 1, CodeNotLeader},
	} {
		var out int
		err := c.Call(context.Background(), tt.method, tt.params, &out)
		var remote *RemoteError
		is := is.New(t)
		is.True(errors.As(err, &remote))
		is.Equal(remote.Code, tt.want)
	}
	var out int
	is.New(t).NoErr(c.Call(context.Background(), "number", 3, &out)) // the connection still works
}

// Guards against calls that hang on a peer that no longer responds: the connection is
// closed after the timeout, and the next call opens a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c // It is never read from.
		}
	}()
	c := &Client{Address: netip.MustParseAddrPort(l.Addr().String())}
	defer c.Close()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		var out int
		is.True(c.Call(ctx, "any", 1, &out) != nil)
		cancel()
		<-accepted // each call opened a new connection
	}
}

// Guards against an unsafe retry: a failed connection attempt, after which nothing was
// sent, has its own error type.
func TestConnectError(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	c := &Client{Address: netip.MustParseAddrPort(l.Addr().String())}
	var connect *ConnectError
	is.True(errors.As(c.Call(context.Background(), "any", 1, nil), &connect))
}
