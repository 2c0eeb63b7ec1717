package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
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

// Guards against a second run of a request that is not idempotent, against a failure
// although another host may answer, and against requests that don't begin with the host
// that answered last.
func TestSendTriesNextHostOnlyWhenSafe(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		serve      http.HandlerFunc // handler of the first host; nil means a closed port
		calls      int              // requests to the second host
	}{
		{"connection refused", false, nil, 1},
		{"not run", false, refuse(503, problem.None), 1},
		{"unknown", false, refuse(503, problem.Unknown), 0},
		{"connection aborted", false, abort, 0},
		{"invalid request", false, refuse(400, problem.None), 0},
		{"idempotent: connection aborted", true, abort, 1},
		{"idempotent: unknown", true, refuse(503, problem.Unknown), 1},
		{"idempotent: bad gateway", true, refuse(502, ""), 1},
		{"idempotent: ran", true, refuse(503, problem.Ran), 0},
		{"idempotent: conflict", true, refuse(409, problem.None), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			second := newHost(t, accept)
			first := closedAddress(t)
			if c.serve != nil {
				first = newHost(t, c.serve).address
			}
			client := &Client{Addresses: []netip.AddrPort{first, second.address}}
			build := func(s *sling.Sling) *sling.Sling { return s.Post("/x") }
			err := client.Send(t.Context(), Call{Build: build, Idempotent: c.idempotent})
			is.Equal(int(second.calls.Load()), c.calls)
			is.Equal(err == nil, c.calls == 1)
			if err == nil { // The next request begins with the host that answered.
				is.NoErr(client.Send(t.Context(), Call{Build: build}))
				is.Equal(int(second.calls.Load()), 2)
			}
		})
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against an error that reports "not run" for the last attempt although an
// earlier attempt may have run.
func TestSendReportsUncertainAttempt(t *testing.T) {
	for _, c := range []struct {
		name      string
		serve     []http.HandlerFunc
		uncertain bool
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
			is.Equal(!notExecuted(err), c.uncertain)
		})
	}
}

// Guards against a host that does not respond and delays the attempt at the next host
// until the context ends.
func TestTimeoutBoundsOneAttempt(t *testing.T) {
	is := is.New(t)
	silent := newHost(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	second := newHost(t, accept)
	client := &Client{Addresses: []netip.AddrPort{silent.address, second.address}, Timeout: 500 * time.Millisecond}
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	is.NoErr(client.Do(ctx, func(s *sling.Sling) *sling.Sling { return s.Get("/x") }, nil))
}

// Guards against address lists that are fetched for each query, used after they have
// expired, or dropped when the hosts that serve them are unavailable.
func TestQueryCachesAddresses(t *testing.T) {
	is := is.New(t)
	var listCalls, queried atomic.Int64
	var unavailable atomic.Bool
	var header atomic.Value
	listed := newHost(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			refuse(http.StatusServiceUnavailable, problem.None)(w, r) // This host serves no list.
			return
		}
		queried.Add(1)
		header.Store(r.Header)
		_, _ = w.Write([]byte(`{"request":"r1"}`))
	})
	seed := newHost(t, func(w http.ResponseWriter, r *http.Request) {
		listCalls.Add(1)
		if unavailable.Load() || r.URL.String() != "/v1/addresses?service=order-desk" {
			refuse(http.StatusServiceUnavailable, problem.None)(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(AddressList{
			Addresses: []Address{{Host: "h2", Address: listed.address}}, Keep: document.Duration{Duration: 5 * time.Second},
		})
	})
	clock := clockwork.NewFakeClock()
	client := &Client{Addresses: []netip.AddrPort{seed.address}, Clock: clock}
	for i, step := range []struct {
		advance     time.Duration
		unavailable bool
		listCalls   int64
	}{
		{0, false, 1},
		{4 * time.Second, false, 1},
		{time.Second, false, 2},
		{5 * time.Second, true, 3},
		{refreshRetryInterval / 2, true, 3},
		{refreshRetryInterval, false, 4},
	} {
		unavailable.Store(step.unavailable)
		clock.Advance(step.advance)
		a, err := client.Query(t.Context(), Query{
			Service: "order-desk", Key: "k", Timeout: time.Minute, Request: answer.Request{Request: "r1"},
		})
		is.NoErr(err)
		is.Equal(a.Request, "r1")
		is.Equal(listCalls.Load(), step.listCalls)
		is.Equal(queried.Load(), int64(i+1)) // Each query ran once, on the listed host.
	}
	h := header.Load().(http.Header)
	is.Equal(h.Get(HeaderIdempotencyKey), "k")
	ms, err := strconv.Atoi(h.Get(target.HeaderTimeout))
	is.NoErr(err)
	is.True(ms > 30_000 && ms <= 60_000) // The remaining time in milliseconds.
}

// Guards against a host, or what stands in its place, whose response never ends and fills the memory, and against a
// call that waits for its end.
func TestEndlessResponse(t *testing.T) {
	for _, tt := range []struct {
		name   string
		status int
		text   string
	}{
		{"a text", http.StatusOK, "aaaaaaaa"},
		{"a refusal", http.StatusServiceUnavailable, "aaaaaaaa"},
		{"blanks", http.StatusOK, "        "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			h := newHost(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				block := []byte(strings.Repeat(tt.text, 8<<10))
				n, err := w.Write([]byte(`{"title":"`))
				for written.Add(int64(n)); err == nil && written.Load() <= 2*maxResponse; written.Add(int64(n)) {
					n, err = w.Write(block)
				}
			})
			c := &Client{Addresses: []netip.AddrPort{h.address}}
			var out map[string]string
			is.True(c.Do(t.Context(), func(s *sling.Sling) *sling.Sling { return s.Get("/") }, &out) != nil)
			is.True(written.Load() < 2*maxResponse)
		})
	}
}
