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

// bench is a searcher on a fake clock.
type bench struct {
	*Searcher
	t     *testing.T
	clock *clockwork.FakeClock
	h     http.Handler
}

func newBench(t *testing.T, edit func(*Searcher)) *bench {
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
	return &bench{s, t, clock, s.Handler()}
}

// send starts a sub-request; headers are pairs of names and values.
func (b *bench) send(request string, headers ...string) chan *httptest.ResponseRecorder {
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
		b.h.ServeHTTP(w, r)
		done <- w
	}()
	return done
}

// receive returns the next value. A value that never comes fails the test instead
// of holding it up.
func receive[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case v := <-values:
		return v
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came for 10 s")
		panic("unreachable")
	}
}

// sleepers waits until n goroutines wait for the clock.
func (b *bench) sleepers(n int) {
	ctx, stop := context.WithTimeout(b.t.Context(), 10*time.Second)
	defer stop()
	if err := b.clock.BlockUntilContext(ctx, n); err != nil {
		b.t.Fatalf("%d goroutines do not wait for the clock: %v", n, err)
	}
}

func (b *bench) fault(text string) {
	if bad := b.SetFaults([]byte(text)); bad != nil {
		b.t.Fatal(bad)
	}
}

func (b *bench) post(path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

// Guards against a refusal that says "not run" after a run, and against
// sub-requests that run although the searcher can't answer them.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		headers     []string
		status      int
		reason      string
	}{
		{"served", `{}`, nil, 200, ""},
		{"draining", `{"drain":true}`, nil, 503, target.ReasonDraining},
		{"cold without announcing", `{"cold":true}`, nil, 200, ""}, // The first one is within what it bears.
		{"unknown snapshot", `{}`, []string{target.HeaderSnapshot, "8"}, 503, target.ReasonSnapshot},
		{"new snapshot", `{"snapshot":{"number":8}}`, []string{target.HeaderSnapshot, "8"}, 200, ""},
		{"old snapshot kept", `{"snapshot":{"number":8}}`, nil, 200, ""},
		{"old snapshot dropped", `{"snapshot":{"number":8,"drop":true}}`, nil, 503, target.ReasonSnapshot},
		{"shard moved away", `{"repartition":{"number":8,"shards":4,"hold":[3]}}`, []string{target.HeaderSnapshot, "8"}, 503, target.ReasonSnapshot},
		{"shard moved here", `{"repartition":{"number":8,"shards":4,"hold":[3]}}`, []string{target.HeaderSnapshot, "8", target.HeaderShard, "3"}, 200, ""},
		{"shard of another target", `{}`, []string{target.HeaderShard, "2"}, 503, target.ReasonSnapshot},
		{"past its deadline", `{}`, []string{target.HeaderTimeout, "0"}, 503, target.ReasonShed},
		{"no identity", `{}`, []string{target.HeaderRequest, ""}, 400, ""},
		{"no shard", `{}`, []string{target.HeaderShard, "one"}, 400, ""},
		{"no snapshot", `{}`, []string{target.HeaderSnapshot, "-7"}, 400, ""},
		{"no time", `{}`, []string{target.HeaderTimeout, "1s"}, 400, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, nil)
			b.fault(c.fault)
			w := receive(t, b.send("r1", c.headers...))
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(target.HeaderReason), c.reason)
			is.Equal(b.Counts().MaxRuns == 1, c.status == 200)
			is.Equal(b.Counts().Refused[c.reason] == 1, c.reason != "")
			is.Equal(b.Counts().ReceivedDraining == 1, c.reason == target.ReasonDraining)
		})
	}
}

// Guards against a cold searcher that takes more than it bears, or never warms up.
func TestColdStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		warmup Warmup
	}{{"by served sub-requests", Warmup{Served: 2}}, {"by time", Warmup{After: time.Second}}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, func(s *Searcher) {
				s.Target.State, s.Target.ColdLimit = control.Cold, 2
				s.ServiceTime.Mean, s.Warmup = time.Second, c.warmup
			})
			first, second := b.send("r1"), b.send("r2")
			b.sleepers(2)
			is.Equal(receive(t, b.send("r3")).Header().Get(target.HeaderReason), target.ReasonCold)
			b.clock.Advance(time.Second)
			is.Equal(receive(t, first).Code, 200)
			is.Equal(receive(t, second).Code, 200)
			for i := range 3 { // More than it bore while it was cold.
				b.send(fmt.Sprint("w", i))
			}
			b.sleepers(3)
			is.Equal(b.Counts().MaxColdAdmitted, 2)
			b.fault(`{"cold":true}`)
			is.Equal(receive(t, b.send("r4")).Header().Get(target.HeaderReason), target.ReasonCold)
			b.clock.Advance(time.Second)
		})
	}
}

// Guards against work beyond the slots, a queue without a bound, and queued
// work that starts after its deadline, its cancellation or its caller's end.
func TestSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(s *Searcher) {
		s.Target.Slots, s.QueueLimit, s.ServiceTime.Mean = 1, 2, time.Second
	})
	running := b.send("r1")
	b.sleepers(1)
	queued := b.send("r2")
	b.waiting(1)
	late := b.send("r3", target.HeaderTimeout, "500")
	b.waiting(2)
	is.Equal(receive(t, b.send("r4")).Header().Get(target.HeaderReason), target.ReasonShed) // The queue is full.
	b.sleepers(2)
	b.clock.Advance(500 * time.Millisecond)
	is.Equal(receive(t, late).Header().Get(target.HeaderReason), target.ReasonShed)
	cancelled := b.send("r5")
	b.waiting(2)
	is.Equal(b.post("/cancel", `{"request":"r5","shard":1}`).Code, 204)
	is.Equal(receive(t, cancelled).Header().Get(target.HeaderReason), target.ReasonShed)
	b.clock.Advance(500 * time.Millisecond)
	is.Equal(receive(t, running).Code, 200)
	b.sleepers(1)
	is.Equal(b.post("/cancel", `{"request":"r2","shard":1}`).Code, 204)
	w := receive(t, queued)
	is.Equal(w.Code, 409) // It had started, so the reply does not claim that it was not run.
	is.Equal(w.Header().Get(target.HeaderReason), "")
	got := b.Counts()
	is.Equal(got.Cancelled, 1)
	is.Equal(got.Runs, map[string]map[int]int{"r1": {1: 1}, "r2": {1: 1}})
	is.Equal(b.post("/cancel", `{"request":"r2","shrad":1}`).Code, 400)
}

// waiting waits until n sub-requests wait for a slot.
func (b *bench) waiting(n int) {
	for range 10_000 {
		b.mu.Lock()
		now := b.Searcher.waiting
		b.mu.Unlock()
		if now == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	b.t.Fatalf("%d sub-requests do not wait", n)
}

// Guards against a searcher that gives up when one host is away, that waits for
// the next renewal to announce a change, or that does not leave.
func TestRunAnnouncesThroughAnyHost(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 10)
	away := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "away", http.StatusServiceUnavailable)
	}))
	defer away.Close()
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
	b := newBench(t, func(s *Searcher) {
		s.Client = &client.Client{Addresses: []netip.AddrPort{address(away), address(host)}}
		s.Target.State, s.Warmup.After = control.Cold, 3*time.Second
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- b.Run(ctx) }()
	is.Equal(receive(t, seen), "cold [{7 2}] [0 1]\n")
	b.sleepers(1)
	b.clock.Advance(2 * time.Second)
	is.Equal(receive(t, seen), "cold [{7 2}] [0 1]\n")
	b.sleepers(1)
	b.clock.Advance(time.Second) // Warm, which does not wait for the renewal.
	is.Equal(receive(t, seen), "warm [{7 2}] [0 1]\n")
	b.fault(`{"repartition":{"number":8,"shards":4,"hold":[3]}}`)
	is.Equal(nextOf(t, seen, "warm [{7 2}] [0 1]\n"), "warm [{8 4}] [3]\n")
	b.fault(`{"drain":true}`)
	is.Equal(nextOf(t, seen, "warm [{8 4}] [3]\n"), "draining [{8 4}] [3]\n")
	stop()
	is.Equal(nextOf(t, seen, "draining [{8 4}] [3]\n"), "/v1/targets/od-1?incarnation=i1")
	is.NoErr(receive(t, done))
}

// nextOf returns the next value that is not a repetition of the old one.
func nextOf(t *testing.T, seen chan string, old string) string {
	for {
		if v := receive(t, seen); v != old {
			return v
		}
	}
}

func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}
