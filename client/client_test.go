package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dghubble/sling"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/answer"
	"wasabirelay/document"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// host is a server that counts its requests.
type host struct {
	address netip.AddrPort
	calls   atomic.Int64
}

func newHost(t *testing.T, serve http.HandlerFunc) *host {
	h := &host{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.calls.Add(1)
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	h.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return h
}

func refuse(status int, executed problem.Executed) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		(&problem.Details{Title: "no", Status: status, Executed: executed}).Write(w)
	}
}

func accept(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a second run of a request that must not be repeated, against
// giving up when another host may answer, and against an outcome that is
// reported as "not run" although an attempt may have run.
func TestSendGoesOnOnlyWhenSafe(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		serve      http.HandlerFunc // of the first host; nil stands for a closed port
		asked      int              // calls of the second host
	}{
		{"closed port", false, nil, 1},
		{"not run", false, refuse(503, problem.None), 1},
		{"unknown", false, refuse(503, problem.Unknown), 0},
		{"cut off", false, abort, 0},
		{"wrong request", false, refuse(400, problem.None), 0},
		{"repeatable: cut off", true, abort, 1},
		{"repeatable: unknown", true, refuse(503, problem.Unknown), 1},
		{"repeatable: gateway", true, refuse(502, ""), 1},
		{"repeatable: ran", true, refuse(503, problem.Ran), 0},
		{"repeatable: conflict", true, refuse(409, problem.None), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			second := newHost(t, accept)
			first := closed(t)
			if c.serve != nil {
				first = newHost(t, c.serve).address
			}
			client := &Client{Addresses: []netip.AddrPort{first, second.address}}
			build := func(s *sling.Sling) *sling.Sling { return s.Post("/x") }
			err := client.Send(t.Context(), Call{Build: build, Idempotent: c.repeatable})
			is.Equal(int(second.calls.Load()), c.asked)
			is.Equal(err == nil, c.asked == 1)
			if err == nil { // The next request begins where this one ended.
				is.NoErr(client.Send(t.Context(), Call{Build: build}))
				is.Equal(int(second.calls.Load()), 2)
			}
		})
	}
}

// closed returns an address that refuses connections.
func closed(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against the error of the last attempt hiding an earlier one that may have run.
func TestSendReportsUncertainAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		serve  []http.HandlerFunc
		unsure bool
	}{
		{"may have run, then not run", []http.HandlerFunc{abort, refuse(503, problem.None)}, true},
		{"not run, then may have run", []http.HandlerFunc{refuse(503, problem.None), abort}, true},
		{"not run twice", []http.HandlerFunc{refuse(503, problem.None), refuse(503, problem.None)}, false},
		{"may have run, then a definite outcome", []http.HandlerFunc{abort, refuse(409, problem.None)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := &Client{}
			for _, serve := range c.serve {
				client.Addresses = append(client.Addresses, newHost(t, serve).address)
			}
			err := client.Do(t.Context(), func(s *sling.Sling) *sling.Sling { return s.Post("/x") }, nil)
			is.Equal(!notRun(err), c.unsure)
		})
	}
}

// Guards against a host that does not answer and blocks the way to the next one.
func TestTimeoutBoundsOneAttempt(t *testing.T) {
	is := is.New(t)
	silent := newHost(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	second := newHost(t, accept)
	client := &Client{Addresses: []netip.AddrPort{silent.address, second.address}, Timeout: 500 * time.Millisecond}
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	is.NoErr(client.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Get("/x") }, nil))
}

// Guards against lists that are asked for with each query, used too long, or
// lost when the hosts that give them are away.
func TestQueryKeepsAddresses(t *testing.T) {
	is := is.New(t)
	var asked, queried atomic.Int64
	var away atomic.Bool
	var header atomic.Value
	listed := newHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			refuse(http.StatusServiceUnavailable, problem.None)(w, r) // It has no list.
			return
		}
		queried.Add(1)
		header.Store(r.Header)
		_, _ = w.Write([]byte(`{"request":"r1"}`))
	})
	seed := newHost(t, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		if away.Load() || r.URL.String() != "/v1/addresses?service=order-desk" {
			refuse(http.StatusServiceUnavailable, problem.None)(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(Addresses{
			Addresses: []HostAddress{{Host: "h2", Address: listed.address}}, Keep: document.Duration{Duration: 5 * time.Second},
		})
	})
	clock := clockwork.NewFakeClock()
	client := &Client{Addresses: []netip.AddrPort{seed.address}, Clock: clock}
	for i, step := range []struct {
		advance time.Duration
		away    bool
		asked   int64
	}{
		{0, false, 1},
		{4 * time.Second, false, 1},
		{time.Second, false, 2},
		{5 * time.Second, true, 3},
		{refreshRetry / 2, true, 3},
		{refreshRetry, false, 4},
	} {
		away.Store(step.away)
		clock.Advance(step.advance)
		a, err := client.Query(t.Context(), Query{
			Service: "order-desk", Key: "k", Timeout: time.Minute, Request: answer.Request{Request: "r1"},
		})
		is.NoErr(err)
		is.Equal(a.Request, "r1")
		is.Equal(asked.Load(), step.asked)
		is.Equal(queried.Load(), int64(i+1)) // Each query ran once, on the listed host.
	}
	h := header.Load().(http.Header)
	is.Equal(h.Get(HeaderIdempotencyKey), "k")
	ms, err := strconv.Atoi(h.Get(target.HeaderTimeout))
	is.NoErr(err)
	is.True(ms > 30_000 && ms <= 60_000) // The time that is left, in milliseconds.
}
