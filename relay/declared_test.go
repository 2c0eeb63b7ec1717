package relay

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"wasabirelay/declaration"
	"wasabirelay/limit"
	"wasabirelay/portion"
)

const limitHeader = "Limit"

// declares makes the target declare a limit in its replies.
func (f *fakeTarget) declares(perSecond string) *fakeTarget {
	serve := f.reply
	f.reply = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(limitHeader, perSecond)
		serve(w, r)
	}
	return f
}

func decodeLimit(_ time.Time, _ int, h *limit.Header) (declaration.Declaration, bool) {
	value, err := strconv.ParseFloat(h.Get(limitHeader), 64)
	return declaration.Declaration{Limited: err == nil, Limit: value}, true
}

// Guards against a target that gets more requests than it has declared to take, and against
// requests that fail although another target would take them. The load is a caller that sends one
// request after the other.
func TestDeclaredLimit(t *testing.T) {
	is := is.New(t)
	const perSecond, share = 20.0, 0.5
	a, b := newTarget("a", "s1").records("x").declares("20"), newTarget("b", "s1").records("x")
	serve := b.reply
	b.reply = func(w http.ResponseWriter, r *http.Request) { time.Sleep(2 * time.Millisecond); serve(w, r) } // a is preferred
	h := newHarness(t, singleRoute(true, 2), a, b)
	h.service.DecodeDeclaration, h.view.Division = decodeLimit, &declaration.Division{Share: share}
	started := time.Now()
	for a.requests.Load() == 0 {
		h.get(t, nil)
	}
	for range 200 {
		res, _ := h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusOK)
	}
	// The first request that is allowed, what has added up before, and what was added since.
	most := 1 + share*perSecond*(0.5+time.Since(started).Seconds()) + 1
	is.True(float64(a.requests.Load()) <= most)
	a.records("x")
	h.view.Targets["s1"] = h.view.Targets["s1"][:1]
	time.Sleep(time.Second / (share * perSecond)) // the next request learns that the limit has ended
	for range 20 {
		res, _ := h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusOK)
	}
}

// Guards against requests to a target that has said that it leaves, and against requests that fail
// because of it.
func TestTargetThatLeaves(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "s1").records("x"), newTarget("b", "s1").records("x")
	serve := b.reply
	b.reply = func(w http.ResponseWriter, r *http.Request) { time.Sleep(2 * time.Millisecond); serve(w, r) } // a is preferred
	h := newHarness(t, singleRoute(false, 1), a, b)
	h.service.DecodeDeclaration = func(_ time.Time, _ int, h *limit.Header) (declaration.Declaration, bool) {
		return declaration.Declaration{Leaving: h.Get("Leaving") != ""}, true
	}
	leaves := a.reply
	a.reply = func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Leaving", "1"); leaves(w, r) }
	for range 50 {
		res, _ := h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusOK)
	}
	is.Equal(a.requests.Load(), int64(1)) // the one that said so
	h.view.Targets["s1"] = h.view.Targets["s1"][:1]
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(a.requests.Load(), int64(1))
}

// Guards against a request that waits for a slot of a target and is sent although the target has said meanwhile
// that it leaves, or wants no requests for a while.
func TestWaitingRequestIsNotSent(t *testing.T) {
	for name, declared := range map[string]declaration.Declaration{"leaving": {Leaving: true}, "pause": {Pause: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newTarget("a", "s1").records("x")
			serve, started := a.reply, make(chan struct{}, 9)
			a.reply = func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				time.Sleep(100 * time.Millisecond)
				serve(w, r)
			}
			h := newHarness(t, singleRoute(false, 1), a)
			shares := map[string]limit.Share{"a": {Incarnation: "1", Address: h.view.Targets["s1"][0].Address, Connections: 1, Slots: 1}}
			h.service.Pool.SetShares(nil)
			h.service.Pool.SetShares(shares)
			h.service.DecodeDeclaration = func(time.Time, int, *limit.Header) (declaration.Declaration, bool) { return declared, true }
			first := make(chan int)
			go func() {
				res, _ := h.get(t, nil)
				first <- res.StatusCode
			}()
			<-started
			res, _ := h.get(t, nil) // waits for the slot
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.Equal(<-first, http.StatusOK)
			is.Equal(a.requests.Load(), int64(1))
			_, ejected := h.service.Table.Stats(time.Now()).Ejected["a"]
			is.True(!ejected) // the target has done nothing wrong
		})
	}
}

// Guards against figures that don't say why targets were passed over.
func TestHeldBackIsCounted(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	h := newHarness(t, singleRoute(true, 1), newTarget("a", "s1").records("x"))
	h.service.Metrics = NewMetrics(registry)
	target, now := h.view.Targets["s1"][0], time.Now()
	for _, d := range []declaration.Declaration{{Limited: true}, {Pause: time.Minute}, {Leaving: true}} {
		h.service.Declared.Record(target, now, now, d)
		res, _ := h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	}
	families, err := registry.Gather()
	is.NoErr(err)
	counted := map[string]bool{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "wasabirelay_relay_held_back_total" && m.GetCounter().GetValue() > 0 {
				counted[m.GetLabel()[0].GetValue()] = true
			}
		}
	}
	is.Equal(counted, map[string]bool{"limit": true, "pause": true, "leaving": true})
}

// Guards against a request that no target takes and that waits for its deadline, or whose caller
// is told to come back too early.
func TestRequestBeyondAllDeclaredLimits(t *testing.T) {
	for name, route := range map[string]func() *harness{
		"one target": func() *harness {
			return newHarness(t, singleRoute(true, 2), newTarget("a", "s1").records("x").declares("2"))
		},
		"shards": func() *harness {
			h := newHarness(t, shardsRoute(1, "s1", "s2"), newTarget("a", "s1").records("x").declares("2"), newTarget("b", "s2").records("x"))
			h.view.Planner = &portion.Planner{}
			h.service.Delegate = func([]string, *portion.Request, func(*portion.Frame, error)) (*portion.Collection, error) {
				return nil, errNoTarget
			}
			return h
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := route()
			h.service.DecodeDeclaration = decodeLimit
			res, _ := h.get(t, nil) // the limit is not known yet
			is.Equal(res.StatusCode, http.StatusOK)
			res, _ = h.get(t, nil) // what has added up
			is.Equal(res.StatusCode, http.StatusOK)
			started := time.Now()
			res, _ = h.get(t, nil)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.True(time.Since(started) < 250*time.Millisecond)
			after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after > 0.1 && after <= 0.5)
			time.Sleep(time.Duration(after * float64(time.Second)))
			res, _ = h.get(t, nil)
			is.Equal(res.StatusCode, http.StatusOK)
		})
	}
}

// Guards against requests, resends among them, to a target that has refused one and wants no more
// for a while, and against a caller that is told to come back before that.
func TestTargetThatWantsNoRequests(t *testing.T) {
	is := is.New(t)
	const pause = 400 * time.Millisecond
	target := newTarget("a", "s1").records("x")
	var refused atomic.Bool
	target.refuses(func() bool { return !refused.Swap(true) })
	h := newHarness(t, singleRoute(true, 2), target)
	h.service.DecodeDeclaration = func(_ time.Time, status int, _ *limit.Header) (declaration.Declaration, bool) {
		if status == http.StatusServiceUnavailable {
			return declaration.Declaration{Pause: pause}, true
		}
		return declaration.Declaration{}, true
	}
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	ended := time.Now().Add(pause)
	for range 5 {
		res, _ = h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	}
	is.Equal(target.requests.Load(), int64(1))
	after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > time.Until(ended).Seconds()-0.05)
	time.Sleep(time.Until(ended) + 20*time.Millisecond)
	res, _ = h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
}
