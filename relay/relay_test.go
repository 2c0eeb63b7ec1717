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
	"wasabirelay/limit"
	"wasabirelay/routing"
)

// Guards against an answer that is not the greatest records of the parts it names,
// and against a request that reaches targets changed.
func TestGather(t *testing.T) {
	is := is.New(t)
	a, b := target("a", "s1").records("b", "d", "a"), target("b", "s2").records("d", "c")
	g := newRig(t, shards(1, "s1", "s2"), a, b)
	res, body := g.get(t, func(r *http.Request) { r.Header.Set("Connection", "X-Hop"); r.Header.Set("X-Hop", "1") })
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

// Guards against answers with parts that are none, or that are fewer than the route
// wants.
func TestMissing(t *testing.T) {
	whole := func() *fake { return target("a", "s1").records("a") }
	for _, tt := range []struct {
		name    string
		quorum  float64
		second  []*fake
		status  int
		missing string
	}{
		{"no target", 0.5, nil, 200, "1"},
		{"no target and all wanted", 1, nil, 503, ""},
		{"failure with a signature", 0.5, []*fake{target("b", "s2").status(500, true)}, 200, "1"},
		{"failure with a signature and all wanted", 1, []*fake{target("b", "s2").status(500, true)}, 502, ""},
		{"crossed reply", 0.5, []*fake{target("b", "s2").crossed()}, 200, "1"},
		{"failure, then another target", 1, []*fake{target("b", "s2").status(500, true), target("c", "s2").records("b")}, 200, "0"},
		{"reset, then another target", 1, []*fake{target("b", "s2").reset(), target("c", "s2").records("b")}, 200, "0"},
		{"another instance has the address", 1, []*fake{target("b", "s2").status(421, false), target("c", "s2").records("b")}, 200, "0"},
		{"hangs, hedged", 1, []*fake{target("b", "s2").hang(), target("c", "s2").records("b")}, 200, "0"},
		{"hangs", 0.5, []*fake{target("b", "s2").hang()}, 200, "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, shards(tt.quorum, "s1", "s2"), append(tt.second, whole())...)
			if tt.second == nil {
				g.view.Targets["s2"] = nil
			}
			started := time.Now()
			res, body := g.get(t, nil)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(res.Header.Get(headers.Missing), tt.missing)
			is.True(!strings.Contains(body, "zzz"))
			is.True(time.Since(started) < 1500*time.Millisecond)
		})
	}
}

// Guards against an answer that waits for a straggler past the objective although
// enough shards have replied.
func TestObjective(t *testing.T) {
	is := is.New(t)
	r := shards(0.5, "s1", "s2")
	r.Objective, r.Attempts = 200*time.Millisecond, 1
	g := newRig(t, r, target("a", "s1").records("a"), target("b", "s2").hang())
	started := time.Now()
	res, _ := g.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.Header.Get(headers.Missing), "1")
	is.True(time.Since(started) >= r.Objective-ReplyMargin) // not before it is decided
	is.True(time.Since(started) < time.Second)
}

// Guards against a request that runs twice, against a refusal that says "not run"
// of one that has run, and against the end of a request that could have been sent on.
func TestRepeat(t *testing.T) {
	post := func(r *http.Request) {
		r.Method = http.MethodPost
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("body")), 4
	}
	refusing := func(name string) *fake { return target(name, "s1").status(503, false) }
	for _, tt := range []struct {
		name       string
		idempotent bool
		attempts   int
		targets    []*fake
		status     int
		ran        int64
	}{
		{"answered", false, 3, []*fake{target("a", "s1").records("x")}, 200, 1},
		{"not run by one", false, 2, []*fake{refusing("a"), target("b", "s1").records("x")}, 200, 1},
		{"not run by any", false, 3, []*fake{refusing("a"), refusing("b")}, 503, 0},
		{"reset after it ran", false, 3, []*fake{target("a", "s1").reset(), target("b", "s1").reset()}, 502, 1},
		{"failed after it ran", false, 3, []*fake{target("a", "s1").status(500, true), target("b", "s1").status(500, true)}, 500, 1},
		{"no reply", false, 3, []*fake{target("a", "s1").hang(), target("b", "s1").hang()}, 504, 1},
		{"crossed reply", false, 3, []*fake{target("a", "s1").crossed(), target("b", "s1").crossed()}, 502, 1},
		{"idempotent, reset", true, 2, []*fake{target("a", "s1").reset(), target("b", "s1").reset(), target("c", "s1").reset()}, 502, 2},
		{"idempotent, no reply", true, 2, []*fake{target("a", "s1").hang(), target("b", "s1").hang(), target("c", "s1").hang()}, 504, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := backend(tt.idempotent, tt.attempts)
			r.Timeout, r.Objective = 600*time.Millisecond, 200*time.Millisecond
			g := newRig(t, r, tt.targets...)
			res, _ := g.get(t, post)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(res.Header.Get("Retry-After") != "", tt.status == http.StatusServiceUnavailable)
			ran := int64(0)
			for _, f := range tt.targets {
				ran += f.ran.Load()
				if f.asked.Load() > 0 {
					is.Equal(f.body, "body")
				}
			}
			is.Equal(ran, tt.ran)
		})
	}
}

// Guards against requests that wait for a connection to a dead target while another
// could answer, and against a cost of that in the budget or a second run.
func TestDeadTarget(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		r := backend(idempotent, 1)
		r.Objective = 200 * time.Millisecond
		a, b := target("a", "s1").records("x"), target("b", "s1").records("x")
		g := newRig(t, r, a, b)
		dead := g.view.Targets["s1"][0].Address.String()
		g.service.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == dead {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		g.service.RetryShare = 0
		for range 10 {
			started := time.Now()
			res, _ := g.get(t, nil)
			is.Equal(res.StatusCode, http.StatusOK)
			is.True(time.Since(started) < r.Objective)
		}
		is.Equal(a.ran.Load(), int64(0))
		is.Equal(b.ran.Load(), int64(10))
	}
}

// Guards against a refusal while the only targets are busy for a moment.
func TestBusyTarget(t *testing.T) {
	is := is.New(t)
	r := backend(true, 2)
	r.Objective = 100 * time.Millisecond
	a := target("a", "s1")
	a.reply = func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(150 * time.Millisecond)
		w.Header().Set(headers.Signature, "sign")
	}
	g := newRig(t, r, a)
	address := g.view.Targets["s1"][0].Address
	g.service.Pool.SetShares(map[string]limit.Share{"a": {Incarnation: "1", Address: address, Connections: 1, Slots: 1}})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			res, _ := g.get(t, nil)
			if res.StatusCode != http.StatusOK {
				t.Errorf("status %d", res.StatusCode)
			}
		})
	}
	wg.Wait()
	is.Equal(a.asked.Load(), int64(3))
}

// Guards against requests that wait for a busy target nearby while another has room.
func TestRoomElsewhere(t *testing.T) {
	is := is.New(t)
	r := backend(true, 1)
	r.Objective = time.Second
	near, far := target("near", "s1").records("x"), target("far", "s1").records("x")
	near.reply = func(w http.ResponseWriter, _ *http.Request) {
		near.ran.Add(1)
		time.Sleep(300 * time.Millisecond)
		w.Header().Set(headers.Signature, "sign")
	}
	g := newRig(t, r, near, far)
	list := g.view.Targets["s1"]
	list[1].Centre = "elsewhere"
	g.service.Pool.SetShares(map[string]limit.Share{
		"near": {Incarnation: "1", Address: list[0].Address, Connections: 1, Slots: 1},
		"far":  {Incarnation: "1", Address: list[1].Address, Connections: 1, Slots: 1},
	})
	first := make(chan struct{})
	go func() { defer close(first); g.get(t, nil) }()
	for near.ran.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	started := time.Now()
	g.get(t, nil)
	is.True(time.Since(started) < 100*time.Millisecond)
	is.Equal(far.ran.Load(), int64(1))
	<-first
}

// Guards against more extra requests than the budget has room for.
func TestBudget(t *testing.T) {
	is := is.New(t)
	a, b := target("a", "s1").status(500, true), target("b", "s1").status(500, true)
	g := newRig(t, backend(true, 2), a, b)
	g.service.RetryShare, g.service.RetrySlack = 0.2, 2
	budget := g.service.Table.Budget("s1")
	budget.SetCapacity(2, true)
	for budget.Spend(0.2) { // what fill has earned
	}
	const requests = 50
	for range requests {
		g.get(t, nil)
	}
	extra := a.asked.Load() + b.asked.Load() - requests
	is.True(extra > 0)
	is.True(extra <= requests/5+2)
}

// Guards against requests to targets that are cold, out of service or draining.
func TestNoWork(t *testing.T) {
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
			a := target("a", "s1").records("x")
			g := newRig(t, backend(true, 2), a)
			tt.change(g.view)
			res, _ := g.get(t, nil)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.Equal(a.asked.Load(), int64(0))
		})
	}
}

// Guards against wrong answers of this host's own.
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
			a := target("a", "s1").records("x")
			g := newRig(t, backend(true, 2), a)
			res, _ := g.get(t, tt.change)
			is := is.New(t)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(a.asked.Load(), int64(0))
		})
	}
	t.Run("no document yet", func(t *testing.T) {
		g := newRig(t, backend(true, 2), target("a", "s1").records("x"))
		g.view = nil
		res, _ := g.get(t, nil)
		is.New(t).Equal(res.StatusCode, http.StatusServiceUnavailable)
	})
}

// Guards against a refusal directly after the start although the first document is
// about to come, and against a wait without end.
func TestFirstView(t *testing.T) {
	is := is.New(t)
	g := newRig(t, backend(true, 2), target("a", "s1").records("x"))
	view, known := g.view, make(chan struct{})
	var current atomic.Pointer[View]
	g.service.View, g.service.Ready = current.Load, known
	started := time.Now()
	res, _ := g.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "300") })
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(started) < 300*time.Millisecond)
	time.AfterFunc(100*time.Millisecond, func() {
		current.Store(view)
		close(known)
	})
	res, _ = g.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
}

// Guards against targets that keep working for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	a := target("a", "s1")
	a.reply = func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	}
	g := newRig(t, backend(true, 1), a)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.server.URL+"/q/", nil)
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
		t.Fatal("the target still works")
	}
}

// Guards against shares of a split that are off their weights.
func TestSplit(t *testing.T) {
	is := is.New(t)
	var s splits
	r := &routing.Route{Name: "r", Backends: []routing.Backend{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for range 400 {
		counts[s.pick(r)]++
	}
	is.Equal(counts, map[string]int{"a": 100, "b": 300})
}

// Guards against more requests to a cold target than this host's part of what it
// bears.
func TestColdGate(t *testing.T) {
	is := is.New(t)
	var gate coldGate
	v := &View{Share: 0.5, Routing: routing.NewTable(&routing.Document{Services: []routing.Service{{Name: "s", ColdRate: 5}}})}
	cold := &control.Target{Name: "t", Service: "s"}
	sent := 0
	now := time.Unix(50, 0)
	for range 10 {
		if gate.room(now, v, cold) {
			gate.take(now, cold)
			sent++
		}
	}
	is.Equal(sent, 2)
	is.True(gate.room(now.Add(time.Second), v, cold))
	is.True(!gate.room(now, v, &control.Target{Name: "u", Service: "unknown"}))
}

// Guards against twice the permitted requests within a second that begins in one second
// of the clock and ends in the next.
func TestColdGateSlides(t *testing.T) {
	is := is.New(t)
	var gate coldGate
	v := &View{Share: 0.5, Routing: routing.NewTable(&routing.Document{Services: []routing.Service{{Name: "s", ColdRate: 8}}})}
	cold := &control.Target{Name: "t", Service: "s"}
	var sent []time.Time
	start := time.Unix(50, 0)
	for after := 900 * time.Millisecond; after < 4*time.Second; after += 10 * time.Millisecond {
		if now := start.Add(after); gate.room(now, v, cold) {
			gate.take(now, cold)
			sent = append(sent, now)
		}
	}
	is.True(len(sent) >= 12)
	for i := 4; i < len(sent); i++ {
		is.True(sent[i].Sub(sent[i-4]) >= time.Second)
	}
}

// Guards against records that are lost or made up by the merge.
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
