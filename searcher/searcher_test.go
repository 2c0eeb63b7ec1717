package searcher

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/client"
	"wasabirelay/control"
	"wasabirelay/target"
)

// harness runs a searcher on a fake clock.
type harness struct {
	*Searcher
	t       *testing.T
	clock   *clockwork.FakeClock
	handler http.Handler
}

func newHarness(t *testing.T, edit func(*Searcher)) *harness {
	clock := clockwork.NewFakeClock()
	s := &Searcher{
		Target: control.Target{
			Name: "od-1", Incarnation: "i1", Service: "order-desk", Version: "v1", Centre: "huonville",
			Address: netip.MustParseAddrPort("127.0.0.1:7401"), Shards: []int{0, 1},
			Snapshots: []control.Snapshot{{Number: 7, Shards: 2}}, State: control.Warm, ColdLimit: 1,
		},
		Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	if edit != nil {
		edit(s)
	}
	return &harness{s, t, clock, s.Handler()}
}

// send starts a sub-request and returns a channel for its response. The headers are pairs
// of names and values.
func (h *harness) send(request string, headers ...string) chan *httptest.ResponseRecorder {
	done := make(chan *httptest.ResponseRecorder, 1)
	r := httptest.NewRequest(http.MethodPost, "/query", strings.NewReader(`{"q":"`+request+`"}`))
	for i, v := range []string{request, "1", "7"} {
		r.Header.Set([]string{target.HeaderRequest, target.HeaderShard, target.HeaderSnapshot}[i], v)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	go func() {
		w := httptest.NewRecorder()
		h.handler.ServeHTTP(w, r)
		done <- w
	}()
	return done
}

// receive returns the next value. If none arrives within 10 s, it fails the test.
func receive[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case v := <-values:
		return v
	case <-time.After(10 * time.Second):
		t.Fatal("received nothing for 10 s")
		panic("unreachable")
	}
}

// awaitSleepers waits until n goroutines wait for the clock.
func (h *harness) awaitSleepers(n int) {
	ctx, stop := context.WithTimeout(h.t.Context(), 10*time.Second)
	defer stop()
	if err := h.clock.BlockUntilContext(ctx, n); err != nil {
		h.t.Fatalf("fewer than %d goroutines wait for the clock: %v", n, err)
	}
}

func (h *harness) setFaults(text string) {
	if bad := h.SetFaults([]byte(text)); bad != nil {
		h.t.Fatal(bad)
	}
}

func (h *harness) post(path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

// Guards against a refusal that says "not run" after a run, and against
// sub-requests that run although the searcher must refuse them.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		headers     []string
		status      int
		reason      string
	}{
		{"served", `{}`, nil, 200, ""},
		{"draining", `{"drain":true}`, nil, 503, target.ReasonDraining},
		{"cold without announcement", `{"cold":true}`, nil, 200, ""}, // The first one is within the cold limit.
		{"unknown snapshot", `{}`, []string{target.HeaderSnapshot, "8"}, 503, target.ReasonSnapshot},
		{"new snapshot", `{"snapshot":{"number":8}}`, []string{target.HeaderSnapshot, "8"}, 200, ""},
		{"older snapshot kept", `{"snapshot":{"number":8}}`, nil, 200, ""},
		{"older snapshot dropped", `{"snapshot":{"number":8,"drop":true}}`, nil, 503, target.ReasonSnapshot},
		{"shard moved away", `{"repartition":{"number":8,"shards":4,"hold":[3]}}`, []string{target.HeaderSnapshot, "8"}, 503, target.ReasonSnapshot},
		{"shard moved here", `{"repartition":{"number":8,"shards":4,"hold":[3]}}`, []string{target.HeaderSnapshot, "8", target.HeaderShard, "3"}, 200, ""},
		{"shard of another target", `{}`, []string{target.HeaderShard, "2"}, 503, target.ReasonSnapshot},
		{"past the deadline", `{}`, []string{target.HeaderTimeout, "0"}, 503, target.ReasonShed},
		{"no identity", `{}`, []string{target.HeaderRequest, ""}, 400, ""},
		{"invalid shard", `{}`, []string{target.HeaderShard, "one"}, 400, ""},
		{"invalid snapshot", `{}`, []string{target.HeaderSnapshot, "-7"}, 400, ""},
		{"invalid timeout", `{}`, []string{target.HeaderTimeout, "1s"}, 400, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, nil)
			h.setFaults(c.fault)
			w := receive(t, h.send("r1", c.headers...))
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(target.HeaderReason), c.reason)
			is.Equal(h.Counts().MaxRuns == 1, c.status == 200)
			is.Equal(h.Counts().Refused[c.reason] == 1, c.reason != "")
			is.Equal(h.Counts().ReceivedDraining == 1, c.reason == target.ReasonDraining)
		})
	}
}

// Guards against a cold searcher that admits more than its cold limit, or never warms up.
func TestColdStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		warmup Warmup
	}{{"by served sub-requests", Warmup{Served: 2}}, {"by time", Warmup{After: time.Second}}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, func(s *Searcher) {
				s.Target.State, s.Target.ColdLimit = control.Cold, 2
				s.ServiceTime.Mean, s.Warmup = time.Second, c.warmup
			})
			first, second := h.send("r1"), h.send("r2")
			h.awaitSleepers(2)
			is.Equal(receive(t, h.send("r3")).Header().Get(target.HeaderReason), target.ReasonCold)
			h.clock.Advance(time.Second)
			is.Equal(receive(t, first).Code, 200)
			is.Equal(receive(t, second).Code, 200)
			for i := range 3 { // More than the cold limit.
				h.send(fmt.Sprint("w", i))
			}
			h.awaitSleepers(3)
			is.Equal(h.Counts().MaxColdAdmitted, 2)
			h.setFaults(`{"cold":true}`)
			is.Equal(receive(t, h.send("r4")).Header().Get(target.HeaderReason), target.ReasonCold)
			h.clock.Advance(time.Second)
		})
	}
}

// Guards against more running sub-requests than slots, a queue without a limit, and
// queued sub-requests that run after their deadline or cancellation.
func TestSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(s *Searcher) {
		s.Target.Slots, s.QueueLimit, s.ServiceTime.Mean = 1, 2, time.Second
	})
	running := h.send("r1")
	h.awaitSleepers(1)
	queued := h.send("r2")
	h.waiting(1)
	late := h.send("r3", target.HeaderTimeout, "500")
	h.waiting(2)
	is.Equal(receive(t, h.send("r4")).Header().Get(target.HeaderReason), target.ReasonShed) // The queue is full.
	h.awaitSleepers(2)
	h.clock.Advance(500 * time.Millisecond)
	is.Equal(receive(t, late).Header().Get(target.HeaderReason), target.ReasonShed)
	cancelled := h.send("r5")
	h.waiting(2)
	is.Equal(h.post("/cancel", `{"request":"r5","shard":1}`).Code, 204)
	is.Equal(receive(t, cancelled).Header().Get(target.HeaderReason), target.ReasonShed)
	h.clock.Advance(500 * time.Millisecond)
	is.Equal(receive(t, running).Code, 200)
	h.awaitSleepers(1)
	is.Equal(h.post("/cancel", `{"request":"r2","shard":1}`).Code, 204)
	w := receive(t, queued)
	is.Equal(w.Code, 409) // It had started, so the response must not say that it was not run.
	is.Equal(w.Header().Get(target.HeaderReason), "")
	got := h.Counts()
	is.Equal(got.Cancelled, 1)
	is.Equal(got.Runs, map[string]map[int]int{"r1": {1: 1}, "r2": {1: 1}})
	is.Equal(h.post("/cancel", `{"request":"r2","shrad":1}`).Code, 400)
}

// waiting waits until n sub-requests wait for a slot.
func (h *harness) waiting(n int) {
	for range 10_000 {
		h.mu.Lock()
		now := h.Searcher.waiting
		h.mu.Unlock()
		if now == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	h.t.Fatalf("the number of waiting sub-requests is not %d", n)
}

// Guards against a searcher that fails when one host is unavailable, that waits for
// the next renewal to announce a change, or that does not leave when it stops.
func TestRunAnnouncesThroughAnyHost(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 10)
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "away", http.StatusServiceUnavailable)
	}))
	defer unavailable.Close()
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			seen <- r.URL.String()
			return
		}
		var a control.Target
		_ = json.NewDecoder(r.Body).Decode(&a)
		seen <- fmt.Sprintln(a.State, a.Snapshots, a.Shards)
		_, _ = w.Write([]byte(`{"renew":"2s","expire":"6s","addresses":[]}`))
	}))
	defer host.Close()
	h := newHarness(t, func(s *Searcher) {
		s.Client = &client.Client{Addresses: []netip.AddrPort{address(unavailable), address(host)}}
		s.Target.State, s.Warmup.After = control.Cold, 3*time.Second
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- h.Run(ctx) }()
	is.Equal(receive(t, seen), "cold [{7 2}] [0 1]\n")
	h.awaitSleepers(1)
	h.clock.Advance(2 * time.Second)
	is.Equal(receive(t, seen), "cold [{7 2}] [0 1]\n")
	h.awaitSleepers(1)
	h.clock.Advance(time.Second) // Becoming warm is announced before the next renewal.
	is.Equal(receive(t, seen), "warm [{7 2}] [0 1]\n")
	h.setFaults(`{"repartition":{"number":8,"shards":4,"hold":[3]}}`)
	is.Equal(nextDifferent(t, seen, "warm [{7 2}] [0 1]\n"), "warm [{8 4}] [3]\n")
	h.setFaults(`{"drain":true}`)
	is.Equal(nextDifferent(t, seen, "warm [{8 4}] [3]\n"), "draining [{8 4}] [3]\n")
	stop()
	is.Equal(nextDifferent(t, seen, "draining [{8 4}] [3]\n"), "/v1/targets/od-1?incarnation=i1")
	is.NoErr(receive(t, done))
}

// nextDifferent returns the next value that differs from the old one.
func nextDifferent(t *testing.T, seen chan string, old string) string {
	for {
		if v := receive(t, seen); v != old {
			return v
		}
	}
}

func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}
