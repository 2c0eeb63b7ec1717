package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

// refuses makes the target refuse the requests for which refuse returns true.
func (f *fakeTarget) refuses(refuse func() bool) *fakeTarget {
	serve := f.reply
	f.reply = func(w http.ResponseWriter, r *http.Request) {
		if refuse() {
			w.Header().Set(headers.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
	return f
}

// first returns a function that returns true n times.
func first(n int64) func() bool {
	var calls atomic.Int64
	return func() bool { return calls.Add(1) <= n }
}

// Guards against requests that fail because targets refuse a part of them, although the targets
// would run them at the next try: three fifths of the targets refuse three fifths of their requests.
func TestRequestsToTargetsThatRefuseAPart(t *testing.T) {
	is := is.New(t)
	const shards, requests = 40, 40
	random := rand.New(rand.NewPCG(5, 6))
	var mu sync.Mutex
	chance := func(p float64) bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < p
	}
	var names []string
	var targets []*fakeTarget
	for i := range shards {
		service := fmt.Sprintf("s%02d", i)
		names = append(names, service)
		for _, replica := range []string{"a", "b", "c"} {
			f := newTarget(service+replica, service).records("x")
			if chance(0.6) {
				f.refuses(func() bool { return chance(0.6) })
			}
			targets = append(targets, f)
		}
	}
	r := shardsRoute(0.95, names...)
	r.Objective = 400 * time.Millisecond
	h := newHarness(t, r, targets...)
	served := 0
	for range requests {
		started := time.Now()
		if res, _ := h.get(t, nil); res.StatusCode == http.StatusOK && time.Since(started) < r.Objective {
			served++
		}
	}
	t.Logf("%d of %d requests were served in time", served, requests)
	is.True(served >= requests*9/10)
}

// Guards against a request that is sent to more targets than its route allows, that runs twice, or
// that is sent to a target that refuses it without end.
func TestRefusedRequestIsSentAgain(t *testing.T) {
	for _, tt := range []struct {
		name       string
		idempotent bool
		refusals   int64
		status     int
		requests   int64
	}{
		{"idempotent", true, 2, http.StatusOK, 3},
		{"not idempotent", false, 2, http.StatusOK, 3},
		{"refused for good", true, 100, http.StatusServiceUnavailable, 1 + maxResends},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newTarget("a", "s1").records("x").refuses(first(tt.refusals))
			b := newTarget("b", "s1").records("x").refuses(first(tt.refusals))
			h := newHarness(t, singleRoute(tt.idempotent, 1), a, b)
			res, _ := h.get(t, nil)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(a.requests.Load()+b.requests.Load(), tt.requests)
			is.True(a.requests.Load() == 0 || b.requests.Load() == 0) // the route allows one target
			is.True(a.ran.Load()+b.ran.Load() <= 1)
		})
	}
}

// Guards against targets that get more extra requests than the budget allows because they refuse.
func TestResendsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	a := newTarget("a", "s1").status(503, false)
	h := newHarness(t, singleRoute(true, 1), a)
	h.service.RetryShare, h.service.RetrySlack = 0, 0
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(a.requests.Load(), int64(1))
}

// Guards against a cold target that gets more requests than it can run because it refuses some.
func TestColdTargetIsNotSentTheRequestAgain(t *testing.T) {
	is := is.New(t)
	a := newTarget("a", "s1").status(503, false)
	h := newHarness(t, singleRoute(true, 1), a)
	h.view.Targets["s1"][0].State = control.Cold
	h.view.Routing.Service("s1").ColdRate = 10
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(a.requests.Load(), int64(1))
}

// Guards against logs that count a try that the budget did not allow as an extra request.
func TestRefusedResendIsNotCounted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 1), newTarget("a", "s1").status(503, false))
	h.service.RetryShare, h.service.RetrySlack = 0, 0
	req := httptest.NewRequest(http.MethodGet, "/q/x", nil)
	req.Host = "h"
	req.Header.Set(headers.Request, "r1")
	j, refusal := h.service.accept(req, func(time.Time) error { return nil })
	is.True(refusal == nil)
	ctx, cancel := context.WithDeadline(t.Context(), j.deadline)
	defer cancel()
	r := h.service.fetchOne(ctx, j, "s1")
	is.Equal(extraAttempts(&r), 0)
}
