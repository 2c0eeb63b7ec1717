package relay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/limit"
	"wasabirelay/route"
)

// arrivals records when requests arrive, by request.
type arrivals struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

func (a *arrivals) record(f *fakeTarget) *fakeTarget {
	serve := f.reply
	f.reply = func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		id := r.Header.Get(headers.Request)
		a.times[id] = append(a.times[id], time.Now())
		a.mu.Unlock()
		serve(w, r)
	}
	return f
}

// repeats returns the times of all arrivals but the first ones, in order.
func (a *arrivals) repeats() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var repeats []time.Time
	for _, times := range a.times {
		repeats = append(repeats, times[1:]...)
	}
	slices.SortFunc(repeats, time.Time.Compare)
	return repeats
}

// occupy takes all room of a target, and returns a function that gives it back.
func (h *harness) occupy(t *testing.T, i int) (free func()) {
	t.Helper()
	var permits []*limit.Permit
	target := h.view.Targets["s1"][i]
	for h.service.Pool.HasRoom(target) {
		p, err := h.service.Pool.Acquire(context.Background(), target)
		if err != nil {
			t.Fatal(err)
		}
		permits = append(permits, p)
	}
	return func() {
		for _, p := range permits {
			p.Release(limit.Succeeded)
		}
	}
}

// Guards against a repeat that waits for room at its target and counts from the time at which the
// budget has allowed it: it arrives in the window of the next one.
func TestBudgetCountsRepeatsWhenTheyAreSent(t *testing.T) {
	is := is.New(t)
	const window, wait = time.Second, 600 * time.Millisecond
	seen := &arrivals{times: map[string][]time.Time{}}
	a, b := seen.record(newTarget("a", "s1").status(500, true)), seen.record(newTarget("b", "s1").status(500, true))
	h := newHarness(t, singleRoute(true, 2), a, b)
	h.service.Table = &route.Table{Centre: "c"}
	h.service.RetryShare, h.service.RetrySlack, h.service.RetryWindow = 1e-9, 1, window
	free := h.occupy(t, 1)
	time.AfterFunc(wait, free)
	for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"} {
		h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, id) })
		time.Sleep(window / 8)
	}
	repeats := seen.repeats()
	is.True(len(repeats) > 0)
	for i, at := range repeats[1:] {
		if between := at.Sub(repeats[i]); between < window {
			t.Errorf("two repeats arrived within %v; the budget allows one in %v", between, window)
		}
	}
}

// Guards against a budget that repeats use up which were never sent: their target had no room.
func TestUnsentRepeatsCostNoBudget(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "s1").status(500, true), newTarget("b", "s1").status(500, true)
	h := newHarness(t, singleRoute(true, 2), a, b)
	h.service.Table = &route.Table{Centre: "c"}
	h.service.RetryShare, h.service.RetrySlack, h.service.RetryWindow = 1e-9, 1, time.Minute
	free := h.occupy(t, 1)
	for range 3 {
		h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "150") })
	}
	is.Equal(a.requests.Load()+b.requests.Load(), int64(3))
	free()
	h.get(t, nil)
	is.Equal(a.requests.Load()+b.requests.Load(), int64(5)) // with a repeat
}

// Guards against repeats beyond the share of the requests by a host whose view gives it no part of the
// constant.
func TestSlackShareOfView(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "s1").status(500, true), newTarget("b", "s1").status(500, true)
	h := newHarness(t, singleRoute(true, 2), a, b)
	h.service.Table = &route.Table{Centre: "c"}
	h.service.RetryShare, h.service.RetrySlack, h.service.RetryWindow = 0.2, 100, time.Minute
	part := 0.0
	h.view.SlackShare = func(service string, _ time.Time) float64 {
		is.Equal(service, "s1")
		return part
	}
	const requests = 20
	repeats := func() int64 {
		before := a.requests.Load() + b.requests.Load()
		for range requests {
			h.get(t, nil)
		}
		return a.requests.Load() + b.requests.Load() - before - requests
	}
	n := repeats()
	is.True(n > 0 && n <= requests/5)
	part = 0.1
	is.True(repeats() > requests/5+1) // one of them may be earned before
}
