package limit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

// Guards against writing a request to a connection that the target closes at once because it
// has no free connection: this host could not tell whether the request ran.
func TestClosedOnAccept(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	p := &Pool{AcceptDelay: 20 * time.Millisecond}
	defer p.Close()
	address := netip.MustParseAddrPort(listener.Addr().String())
	p.SetShares(map[string]Share{"t": {Incarnation: "1", Address: address, Connections: 1}})
	permit, err := p.Acquire(t.Context(), &control.Target{Name: "t", Incarnation: "1"})
	is.NoErr(err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://t/", nil)
	is.NoErr(err)
	_, err = p.Do(t.Context(), permit, req, nil)
	permit.Release(Failed)
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.True(!lost.Sent)
	var connect *ConnectError
	is.True(errors.As(err, &connect))
}

// Guards against keeping connections although the host has no regular work for the target,
// including connections that it opened while it had.
func TestCloseAfterUse(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	p := &Pool{}
	defer p.Close()
	share := Share{Incarnation: "1", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Connections: 2, CapAtWarm: true}
	target := &control.Target{Name: "t", Incarnation: "1"}
	open := func() int {
		p.mu.RLock()
		defer p.mu.RUnlock()
		pool := p.targets["t"]
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.open
	}
	send := func() {
		permit, err := p.Acquire(context.Background(), target)
		is.NoErr(err)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://t/", nil)
		is.NoErr(err)
		_, err = p.Do(t.Context(), permit, req, nil)
		is.NoErr(err)
		permit.Release(Succeeded)
	}
	p.SetShares(map[string]Share{"t": share})
	send()
	is.Equal(open(), 1)
	share.CloseAfterUse = true
	p.SetShares(map[string]Share{"t": share})
	is.Equal(open(), 0)
	send()
	is.Equal(open(), 0)
}
