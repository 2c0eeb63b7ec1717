package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/declaration"
	"wasabirelay/limit"
	"wasabirelay/route"
	"wasabirelay/routing"
)

// Guards against a response that does not hold the greatest records of the parts that it lists,
// and against a request that is modified on the way to targets.
func TestGather(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "s1").records("b", "d", "a"), newTarget("b", "s2").records("d", "c")
	h := newHarness(t, shardsRoute(1, "s1", "s2"), a, b)
	res, body := h.get(t, func(r *http.Request) { r.Header.Set("Connection", "X-Hop"); r.Header.Set("X-Hop", "1") })
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, string(bytes.Join([][]byte{record("d"), record("d"), record("c")}, nil)))
	is.Equal(res.Header.Get(headers.Missing), "0")
	parts := strings.Split(res.Header.Get(headers.Parts), ", ")
	is.Equal(len(parts), 2)
	is.Equal(a.last.RequestURI, "/q/x%2Fy?a=1")
	is.Equal(a.last.Host, "h")
	is.Equal(a.last.Header.Get(headers.Request), "r1")
	is.Equal(a.last.Header.Get(headers.Target), "a")
	is.Equal(a.last.Header.Get("X-Hop"), "")
	left, err := strconv.Atoi(a.last.Header.Get(headers.Timeout))
	is.NoErr(err)
	is.True(left > 0 && left <= 1500)
}

// Guards against responses that count failed replies or replies to other requests as parts,
// or that have fewer parts than the route requires.
func TestMissingShards(t *testing.T) {
	complete := func() *fakeTarget { return newTarget("a", "s1").records("a") }
	for _, tt := range []struct {
		name        string
		minFraction float64
		second      []*fakeTarget
		status      int
		missing     string
	}{
		{"no target", 0.5, nil, 200, "1"},
		{"no target and all shards required", 1, nil, 503, ""},
		{"signed failure", 0.5, []*fakeTarget{newTarget("b", "s2").status(500, true)}, 200, "1"},
		{"signed failure and all shards required", 1, []*fakeTarget{newTarget("b", "s2").status(500, true)}, 502, ""},
		{"signed refusal", 0.5, []*fakeTarget{newTarget("b", "s2").status(404, true)}, 200, "1"},
		{"signed redirection and all shards required", 1, []*fakeTarget{newTarget("b", "s2").status(302, true)}, 502, ""},
		{"signed refusal, then another target", 1, []*fakeTarget{newTarget("b", "s2").status(404, true), newTarget("c", "s2").records("b")}, 200, "0"},
		{"reply to another request", 0.5, []*fakeTarget{newTarget("b", "s2").mismatched()}, 200, "1"},
		{"failure, then another target", 1, []*fakeTarget{newTarget("b", "s2").status(500, true), newTarget("c", "s2").records("b")}, 200, "0"},
		{"reset, then another target", 1, []*fakeTarget{newTarget("b", "s2").reset(), newTarget("c", "s2").records("b")}, 200, "0"},
		{"address belongs to another instance", 1, []*fakeTarget{newTarget("b", "s2").status(421, false), newTarget("c", "s2").records("b")}, 200, "0"},
		{"hangs, hedged", 1, []*fakeTarget{newTarget("b", "s2").hang(), newTarget("c", "s2").records("b")}, 200, "0"},
		{"hangs", 0.5, []*fakeTarget{newTarget("b", "s2").hang()}, 200, "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := complete()
			h := newHarness(t, shardsRoute(tt.minFraction, "s1", "s2"), append(tt.second, first)...)
			if tt.second == nil {
				h.view.Targets["s2"] = nil
			}
			started := time.Now()
			res, body := h.get(t, nil)
			is.Equal(res.StatusCode, tt.status)
			is.True(res.StatusCode != http.StatusServiceUnavailable || first.requests.Load() == 0) // 503 states that no shard has run it
			is.Equal(res.Header.Get(headers.Missing), tt.missing)
			is.True(!strings.Contains(body, "zzz"))
			is.True(time.Since(started) < 1500*time.Millisecond)
		})
	}
}

// Guards against a response that waits for a straggler beyond the objective although enough
// shards have replied.
func TestObjective(t *testing.T) {
	is := is.New(t)
	r := shardsRoute(0.5, "s1", "s2")
	r.Objective, r.Attempts = 200*time.Millisecond, 1
	h := newHarness(t, r, newTarget("a", "s1").records("a"), newTarget("b", "s2").hang())
	started := time.Now()
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.Header.Get(headers.Missing), "1")
	is.True(time.Since(started) >= r.Objective-ReplyMargin) // not earlier than necessary
	is.True(time.Since(started) < time.Second)
}

// Guards against a request that is executed twice, against a refusal with "not run" for a
// request that has been executed, and against the failure of a request that could have been
// retried.
func TestRetry(t *testing.T) {
	post := func(r *http.Request) {
		r.Method = http.MethodPost
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("body")), 4
	}
	refusing := func(name string) *fakeTarget { return newTarget(name, "s1").status(503, false) }
	for _, tt := range []struct {
		name       string
		idempotent bool
		attempts   int
		targets    []*fakeTarget
		status     int
		ran        int64
	}{
		{"answered", false, 3, []*fakeTarget{newTarget("a", "s1").records("x")}, 200, 1},
		{"one target does not execute it", false, 2, []*fakeTarget{refusing("a"), newTarget("b", "s1").records("x")}, 200, 1},
		{"no target executes it", false, 3, []*fakeTarget{refusing("a"), refusing("b")}, 503, 0},
		{"reset after execution", false, 3, []*fakeTarget{newTarget("a", "s1").reset(), newTarget("b", "s1").reset()}, 502, 1},
		{"failed after execution", false, 3, []*fakeTarget{newTarget("a", "s1").status(500, true), newTarget("b", "s1").status(500, true)}, 500, 1},
		{"no reply", false, 3, []*fakeTarget{newTarget("a", "s1").hang(), newTarget("b", "s1").hang()}, 504, 1},
		{"reply to another request", false, 3, []*fakeTarget{newTarget("a", "s1").mismatched(), newTarget("b", "s1").mismatched()}, 502, 1},
		{"idempotent, reset", true, 2, []*fakeTarget{newTarget("a", "s1").reset(), newTarget("b", "s1").reset(), newTarget("c", "s1").reset()}, 502, 2},
		{"idempotent, no reply", true, 2, []*fakeTarget{newTarget("a", "s1").hang(), newTarget("b", "s1").hang(), newTarget("c", "s1").hang()}, 504, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := singleRoute(tt.idempotent, tt.attempts)
			r.Timeout, r.Objective = 600*time.Millisecond, 200*time.Millisecond
			h := newHarness(t, r, tt.targets...)
			res, _ := h.get(t, post)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(res.Header.Get("Retry-After") != "", tt.status == http.StatusServiceUnavailable)
			ran := int64(0)
			for _, f := range tt.targets {
				ran += f.ran.Load()
				if f.requests.Load() > 0 {
					is.Equal(f.body, "body")
				}
			}
			is.Equal(ran, tt.ran)
		})
	}
}

// Guards against requests that wait for a connection to a dead target while another target is
// available, and against a reassignment that takes from the budget or executes a request twice.
func TestDeadTarget(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		r := singleRoute(idempotent, 1)
		r.Objective = 200 * time.Millisecond
		a, b := newTarget("a", "s1").records("x"), newTarget("b", "s1").records("x")
		h := newHarness(t, r, a, b)
		dead := h.view.Targets["s1"][0].Address.String()
		h.service.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == dead {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		h.service.RetryShare = 0
		for range 10 {
			started := time.Now()
			res, _ := h.get(t, nil)
			is.Equal(res.StatusCode, http.StatusOK)
			is.True(time.Since(started) < r.Objective)
		}
		is.Equal(a.ran.Load(), int64(0))
		is.Equal(b.ran.Load(), int64(10))
	}
}

// Guards against a refusal while all targets are briefly busy.
func TestBusyTarget(t *testing.T) {
	is := is.New(t)
	r := singleRoute(true, 2)
	r.Objective = 100 * time.Millisecond
	a := newTarget("a", "s1")
	a.reply = func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(150 * time.Millisecond)
		w.Header().Set(headers.Signature, "sign")
	}
	h := newHarness(t, r, a)
	address := h.view.Targets["s1"][0].Address
	h.service.Pool.SetShares(map[string]limit.Share{"a": {Incarnation: "1", Address: address, Connections: 1, Slots: 1}})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			res, _ := h.get(t, nil)
			if res.StatusCode != http.StatusOK {
				t.Errorf("status %d", res.StatusCode)
			}
		})
	}
	wg.Wait()
	is.Equal(a.requests.Load(), int64(3))
}

// Guards against requests that wait for a busy near target while a remote one has free slots.
func TestBusyNearTarget(t *testing.T) {
	is := is.New(t)
	r := singleRoute(true, 1)
	r.Objective = time.Second
	near, remote := newTarget("near", "s1").records("x"), newTarget("far", "s1").records("x")
	near.reply = func(w http.ResponseWriter, _ *http.Request) {
		near.ran.Add(1)
		time.Sleep(300 * time.Millisecond)
		w.Header().Set(headers.Signature, "sign")
	}
	h := newHarness(t, r, near, remote)
	list := h.view.Targets["s1"]
	list[1].Centre = "elsewhere"
	h.service.Pool.SetShares(map[string]limit.Share{
		"near": {Incarnation: "1", Address: list[0].Address, Connections: 1, Slots: 1},
		"far":  {Incarnation: "1", Address: list[1].Address, Connections: 1, Slots: 1},
	})
	first := make(chan struct{})
	go func() { defer close(first); h.get(t, nil) }()
	for near.ran.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	started := time.Now()
	h.get(t, nil)
	is.True(time.Since(started) < 100*time.Millisecond)
	is.Equal(remote.ran.Load(), int64(1))
	<-first
}

// Guards against more extra requests than the budget allows.
func TestBudget(t *testing.T) {
	is := is.New(t)
	a, b := newTarget("a", "s1").status(500, true), newTarget("b", "s1").status(500, true)
	h := newHarness(t, singleRoute(true, 2), a, b)
	h.service.RetryShare, h.service.RetrySlack = 0.2, 2
	budget := h.service.Table.Budget("s1")
	budget.SetCapacity(time.Time{}, 2, 0, true)
	for budget.Spend(time.Time{}, 0.2) { // empty the budget that fillBudgets has filled
	}
	const requests = 50
	for range requests {
		h.get(t, nil)
	}
	extra := a.requests.Load() + b.requests.Load() - requests
	is.True(extra > 0)
	is.True(extra <= requests/5+2)
}

// Guards against requests to targets that are cold, in a data centre out of service, or gone.
func TestUnavailableTargets(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*View)
	}{
		{"cold", func(v *View) { v.Targets["s1"][0].State = control.Cold }},
		{"out of service", func(v *View) { v.Out["c"] = true }},
		{"gone", func(v *View) { v.Targets["s1"] = nil }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := newTarget("a", "s1").records("x")
			h := newHarness(t, singleRoute(true, 2), a)
			tt.change(h.view)
			res, _ := h.get(t, nil)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.Equal(a.requests.Load(), int64(0))
		})
	}
}

// Guards against a wrong status for requests that the relay refuses itself.
func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{"no route", func(r *http.Request) { r.Host = "other" }, http.StatusNotFound},
		{"no identity", func(r *http.Request) { r.Header.Del(headers.Request) }, http.StatusBadRequest},
		{"too large", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 65))), 65
		}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := newTarget("a", "s1").records("x")
			h := newHarness(t, singleRoute(true, 2), a)
			res, _ := h.get(t, tt.change)
			is := is.New(t)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(a.requests.Load(), int64(0))
		})
	}
	t.Run("no document yet", func(t *testing.T) {
		h := newHarness(t, singleRoute(true, 2), newTarget("a", "s1").records("x"))
		h.view = nil
		res, _ := h.get(t, nil)
		is.New(t).Equal(res.StatusCode, http.StatusServiceUnavailable)
	})
}

// Guards against a refusal directly after the start although the first routing document is
// about to arrive, and against an unbounded wait.
func TestFirstView(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 2), newTarget("a", "s1").records("x"))
	view, ready := h.view, make(chan struct{})
	var current atomic.Pointer[View]
	h.service.View, h.service.Ready = current.Load, ready
	started := time.Now()
	res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "300") })
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(started) < 300*time.Millisecond)
	time.AfterFunc(100*time.Millisecond, func() {
		current.Store(view)
		close(ready)
	})
	res, _ = h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
}

// Guards against targets that continue to work for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	a := newTarget("a", "s1")
	a.reply = func(_ http.ResponseWriter, r *http.Request) {
		cancel() // the caller leaves while the target works
		<-r.Context().Done()
		close(ended)
	}
	h := newHarness(t, singleRoute(true, 1), a)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.server.URL+"/q/", nil)
	is.NoErr(err)
	req.Host = "h"
	req.Header.Set(headers.Request, "r1")
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		res.Body.Close()
	}
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the target continues to work after the caller has left")
	}
}

// Guards against a traffic split that deviates from the weights.
func TestSplit(t *testing.T) {
	is := is.New(t)
	var s trafficSplitter
	r := &routing.Route{Name: "r", Backends: []routing.Backend{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for range 400 {
		counts[s.pick(r)]++
	}
	is.Equal(counts, map[string]int{"a": 100, "b": 300})
}

// Guards against more requests to a cold target than this host's share of the cold rate.
func TestColdLimiter(t *testing.T) {
	is := is.New(t)
	var limiter coldLimiter
	v := &View{Division: &declaration.Division{Share: 0.5}, Routing: routing.NewTable(&routing.Document{Services: []routing.Service{{Name: "s", ColdRate: 5}}})}
	cold := &control.Target{Name: "t", Service: "s"}
	sent := 0
	now := time.Unix(50, 0)
	for range 10 {
		if allowed := limiter.allows(now, v, cold); limiter.take(now, v, cold) {
			is.True(allowed)
			sent++
		}
	}
	is.Equal(sent, 2)
	is.True(limiter.allows(now.Add(time.Second), v, cold))
	is.True(!limiter.allows(now, v, &control.Target{Name: "u", Service: "unknown"}))
}

// Guards against requests that are all allowed at the same time, before any of them is recorded.
func TestColdLimiterConcurrentRequests(t *testing.T) {
	is := is.New(t)
	var limiter coldLimiter
	v := &View{Division: &declaration.Division{Share: 1}, Routing: routing.NewTable(&routing.Document{Services: []routing.Service{{Name: "s", ColdRate: 3}}})}
	cold := &control.Target{Name: "t", Service: "s"}
	now := time.Unix(50, 0)
	var allowed, sent atomic.Int32
	var wg, checked sync.WaitGroup
	checked.Add(16)
	for range 16 {
		wg.Go(func() {
			if limiter.allows(now, v, cold) {
				allowed.Add(1)
			}
			checked.Done()
			checked.Wait()
			if limiter.take(now, v, cold) {
				sent.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(allowed.Load(), int32(16))
	is.Equal(sent.Load(), int32(3))
}

// Guards against a process that ends, a request that hangs and a slot that stays in use because of
// a panic in the code for one attempt.
func TestPanicFailsOneAttempt(t *testing.T) {
	is := is.New(t)
	target := newTarget("t", "s").records("a")
	h := newHarness(t, routing.Route{Name: "one", Backends: []routing.Backend{{Service: "s", Weight: 1}}, Attempts: 1}, target)
	h.service.Observe = func(*control.Target, string, time.Duration, route.Outcome) { panic("unexpected") }
	res, body := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusBadGateway) // the target may have run it
	is.True(strings.Contains(body, "internal error: unexpected"))
	h.service.Observe = nil
	for range 20 { // more than there are slots and connections
		res, _ = h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusOK)
	}
	h.service.Pool.CheckReply = func(*http.Request, *limit.Response) error { panic("unexpected") }
	for range 20 {
		res, _ = h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusBadGateway)
	}
	h.service.Pool.CheckReply = h.service.CheckReply
	res, _ = h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
}

// Guards against twice the permitted requests within one second, which fixed windows that start
// at full seconds would allow around a full second.
func TestColdLimiterSlidingWindow(t *testing.T) {
	is := is.New(t)
	var limiter coldLimiter
	v := &View{Division: &declaration.Division{Share: 0.5}, Routing: routing.NewTable(&routing.Document{Services: []routing.Service{{Name: "s", ColdRate: 8}}})}
	cold := &control.Target{Name: "t", Service: "s"}
	var sent []time.Time
	start := time.Unix(50, 0)
	for after := 900 * time.Millisecond; after < 4*time.Second; after += 10 * time.Millisecond {
		if now := start.Add(after); limiter.allows(now, v, cold) && limiter.take(now, v, cold) {
			sent = append(sent, now)
		}
	}
	is.True(len(sent) >= 12)
	for i := 4; i < len(sent); i++ {
		is.True(sent[i].Sub(sent[i-4]) >= time.Second)
	}
}

// Guards against records that are lost or invented by the merge.
func TestMerge(t *testing.T) {
	body := func(texts ...string) []byte {
		var out []byte
		for _, text := range texts {
			out = append(out, record(text)...)
		}
		return out
	}
	for i, tt := range []struct {
		bodies [][]byte
		limit  int
		want   []byte
	}{
		{nil, 5, []byte{}},
		{[][]byte{body("a", "c"), body("b")}, 5, body("c", "b", "a")},
		{[][]byte{body("a", "c"), body("c")}, 2, body("c", "c")},
		{[][]byte{append(body("a"), "rest"...), nil}, 5, body("a")},
		{[][]byte{body("a")}, 0, []byte{}},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is.New(t).True(bytes.Equal(merge(tt.bodies, tt.limit), tt.want))
		})
	}
}
