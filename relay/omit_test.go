package relay

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/limit"
	"wasabirelay/route"
	"wasabirelay/routing"
)

// narrow lets the target process one request at a time.
func (h *harness) narrow(f *fakeTarget) {
	shares := map[string]limit.Share{}
	for _, list := range h.view.Targets {
		for _, t := range list {
			share := limit.Share{Incarnation: t.Incarnation, Address: t.Address, Connections: 8, Slots: 8}
			if t.Name == f.name {
				share.Connections, share.Slots = 1, 1
			}
			shares[t.Name] = share
		}
	}
	h.service.Pool.SetShares(shares)
}

// Guards against callers that get no response because all targets of a shard were busy for some
// milliseconds: four callers need a shard that takes 100 ms for each of them, one at a time.
func TestNeededShardIsWaitedFor(t *testing.T) {
	for _, tt := range []struct {
		name        string
		minFraction float64
		missing     int // of the shards, in most of the responses
	}{{"needed", 1, 0}, {"not needed", 0.5, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := shardsRoute(tt.minFraction, "s1", "s2")
			r.Objective, r.Timeout = 200*time.Millisecond, 5*time.Second
			busy := newTarget("b", "s2").records("b").stagger(100 * time.Millisecond)
			h := newHarness(t, r, newTarget("a", "s1").records("a"), busy)
			h.narrow(busy)
			var mu sync.Mutex
			statuses, missing := map[int]int{}, map[string]int{}
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() {
					res, _ := h.get(t, nil)
					mu.Lock()
					defer mu.Unlock()
					statuses[res.StatusCode]++
					missing[res.Header.Get(headers.Missing)]++
				})
			}
			wg.Wait()
			is.Equal(statuses, map[int]int{http.StatusOK: 4})
			is.True(tt.missing == 0 && missing["0"] == 4 || tt.missing == 1 && missing["1"] >= 2)
		})
	}
}

// Guards against responses that fail because several shards were left out at the same moment,
// although only some of them may be missing.
func TestOnlySpareShardsAreOmitted(t *testing.T) {
	is := is.New(t)
	j := &job{route: &routing.Route{MinShardFraction: 0.9, Shards: make([]string, 20)}} // 2 may be missing
	g := &fetchGroup{Service: &Service{}, j: j, fetches: make([]fetch, 20), pending: 20, spare: spareShards(j.route)}
	omitted := 0
	for i := range g.fetches {
		f := &g.fetches[i]
		f.fetchGroup = g
		if g.canOmitOne() { // before the result of any withdrawn attempt has arrived
			f.omit()
			f.omit()
			omitted++
		}
	}
	is.Equal(omitted, 2)
	first := &g.fetches[0]
	first.done = true
	g.queueIfDone(first)
	is.True(!g.canOmitOne()) // it is counted once
	second := &g.fetches[1]
	second.done, second.last = true, result{outcome: route.Success, response: &limit.Response{}}
	g.queueIfDone(second)
	is.True(g.canOmitOne()) // an attempt in flight has succeeded after all
}

// Guards against a caller that waits for other shards although its request can't be served any
// more.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := shardsRoute(1, "s1", "s2")
	r.Timeout = 5 * time.Second
	h := newHarness(t, r, newTarget("a", "s1").hang(), newTarget("b", "s2").status(500, true))
	started := time.Now()
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusBadGateway)
	is.True(time.Since(started) < 2*time.Second)
}
