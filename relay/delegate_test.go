package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/portion"
)

// divided makes the harness leave the shards from the given one on to another host, which collect
// stands for. That host and this one have the same targets.
func (h *harness) divided(from int, collect func(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error))) {
	shards := h.view.Routing.Document.Routes[0].Shards
	h.view.Planner = &portion.Planner{}
	h.view.plans.Store(&h.view.Routing.Document.Routes[0], &cachedPlan{plan: &portion.Plan{
		Own: shards[:from], Portions: []portion.Portion{{Shards: shards[from:], Hosts: []string{"other"}}},
	}})
	h.service.Delegate = func(_ []string, r *portion.Request, receive func(*portion.Frame, error)) (*portion.Collection, error) {
		ctx, cancel := context.WithCancel(context.Background())
		go collect(ctx, r, receive)
		return &portion.Collection{Host: "other", Cancel: cancel, Suspect: func() {}}, nil
	}
}

// collectHere stands for another host that has the same targets.
func (h *harness) collectHere(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error)) {
	last := h.service.Collect(ctx, r, func(f *portion.Frame) { receive(f, nil) })
	last.Last = true
	if last.Refused != "" {
		receive(last, &portion.RefusedError{Reason: last.Refused})
		return
	}
	receive(last, nil)
}

// eightShards returns a route to eight shards with one target each, the i-th with record i.
func eightShards(t *testing.T, minFraction float64, change map[int]func(*fakeTarget)) (*harness, []*fakeTarget) {
	var names []string
	var targets []*fakeTarget
	for i := range 8 {
		f := newTarget(fmt.Sprintf("t%d", i), fmt.Sprintf("s%d", i)).records(fmt.Sprint(i))
		if change[i] != nil {
			change[i](f)
		}
		names, targets = append(names, f.service), append(targets, f)
	}
	r := shardsRoute(minFraction, names...)
	r.Objective = 200 * time.Millisecond
	return newHarness(t, r, targets...), targets
}

// Guards against a divided response that lacks records or signatures, or has some twice.
func TestDividedResponse(t *testing.T) {
	is := is.New(t)
	h, targets := eightShards(t, 1, nil)
	h.divided(2, h.collectHere)
	res, body := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.Header.Get(headers.Missing), "0")
	is.Equal(body, string(record("7"))+string(record("6"))+string(record("5")))
	signatures := strings.Split(res.Header.Get(headers.Parts), ", ")
	is.Equal(len(signatures), 8)
	for _, f := range targets {
		is.True(strings.Contains(res.Header.Get(headers.Parts), "sign-"+f.name))
		is.Equal(f.ran.Load(), int64(1))
	}
}

// Guards against a response that waits for a slow shard of a portion until the whole portion is
// complete, and callers that get nothing of the portion.
func TestIncompletePortionIsUsedInTime(t *testing.T) {
	is := is.New(t)
	h, _ := eightShards(t, 0.8, map[int]func(*fakeTarget){5: func(f *fakeTarget) { f.stagger(time.Second) }})
	h.divided(2, h.collectHere)
	h.get(t, nil) // the first request on a connection gets more time
	started := time.Now()
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.Header.Get(headers.Missing), "1")
	is.True(time.Since(started) < 500*time.Millisecond)
}

// Guards against requests that fail, run on too many targets or are called "not run" although they
// may have run, because another host fails while it works on a portion.
func TestFailedPortion(t *testing.T) {
	frame := func(services ...string) *portion.Frame {
		f := &portion.Frame{}
		for _, s := range services {
			f.Parts = append(f.Parts, portion.Part{Service: s, Signature: "sign-" + s})
			f.Records = append(f.Records, record("9")...)
		}
		return f
	}
	lost := &portion.LostError{Host: "other"}
	for _, tt := range []struct {
		name    string
		collect func(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error))
		status  int
	}{
		{"refused", func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
			receive(nil, &portion.RefusedError{Reason: "r"})
		}, http.StatusOK},
		{"lost at once", func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
			receive(nil, lost)
		}, http.StatusBadGateway},
		{"silent", func(context.Context, *portion.Request, func(*portion.Frame, error)) {}, http.StatusBadGateway},
		{"lost after hedges may have been sent", func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
			receive(frame("s2"), nil)
			time.Sleep(100 * time.Millisecond)
			receive(nil, lost)
		}, http.StatusBadGateway},
		{"a shard that does not belong to the portion", func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
			receive(frame("s0"), nil)
		}, http.StatusBadGateway},
		{"a shard twice", func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
			receive(frame("s2", "s2"), nil)
		}, http.StatusBadGateway},
		{"a part of a record", func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
			f := frame("s2")
			f.Records = f.Records[:3]
			receive(f, nil)
		}, http.StatusBadGateway},
		{"shards that are not reported", func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
			f := frame("s2", "s3")
			f.Last = true
			receive(f, nil)
		}, http.StatusBadGateway},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h, targets := eightShards(t, 1, nil)
			h.divided(2, tt.collect)
			res, _ := h.get(t, nil)
			is.Equal(res.StatusCode, tt.status)
			if tt.status == http.StatusOK {
				is.Equal(res.Header.Get(headers.Missing), "0")
				is.Equal(strings.Count(res.Header.Get(headers.Parts), "sign-t"), 8)
			}
			for _, f := range targets {
				is.True(f.requests.Load() <= 1) // the route allows two, and the other host may have used one
			}
		})
	}
}

// Guards against hosts that merge shards of different routing documents into one response.
func TestPortionOfAnotherRouteIsRefused(t *testing.T) {
	is := is.New(t)
	h, _ := eightShards(t, 1, nil)
	r := &portion.Request{Method: "GET", URI: "/q/x", Host: "h", Shards: []string{"s1"}, Cutoff: time.Second, Timeout: time.Second}
	is.True(h.service.Collect(context.Background(), r, nil).Refused != "")
	r.Route = routeHash(&h.view.Routing.Document.Routes[0])
	r.Header = http.Header{headers.Request: {"r1"}}
	last := h.service.Collect(context.Background(), r, func(*portion.Frame) {})
	is.Equal(last.Refused, "")
	is.Equal(len(last.Parts), 1)
	r.Shards = []string{"s1", "other"}
	is.True(h.service.Collect(context.Background(), r, nil).Refused != "")
	other := h.view.Routing.Document.Routes[0]
	other.ResultLimit++
	is.True(routeHash(&other) != r.Route)
}

// Guards against a shard that counts as reachable because of targets that can't be used.
func TestPortionShards(t *testing.T) {
	is := is.New(t)
	targets := map[string][]*control.Target{"s": {
		{Centre: "a", State: control.Warm},
		{Centre: "a", State: control.Warm},
		{Centre: "b", State: control.Cold},
		{Centre: "c", State: control.Warm},
	}}
	is.Equal(PortionShards([]string{"s"}, targets, map[string]bool{"c": true}), []portion.Shard{{Service: "s", Centres: []string{"a"}}})
}

// Guards against portions that together leave out more shards than the response can spare, and
// against small portions that may leave out none.
func TestSpareShardsOfPortions(t *testing.T) {
	is := is.New(t)
	const spare, total = 4, 90
	sum, before := 0, 0
	for _, n := range []int{9, 11, 7, 13, 10, 9, 12, 19} {
		share := spareOf(spare, before, n, total)
		is.True(share >= 0 && share <= 1)
		sum, before = sum+share, before+n
	}
	is.Equal(before, total)
	is.Equal(sum, spare)
}
