package route

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func timeAt(d time.Duration) time.Time { return epoch.Add(d) }

func newTable() *Table {
	return &Table{Centre: "izmir-a", Rand: rand.New(rand.NewPCG(1, 2))}
}

func newReplicas(centres ...string) []*control.Target {
	var list []*control.Target
	for i, centre := range centres {
		list = append(list, &control.Target{
			Name: fmt.Sprintf("t%d", i), Incarnation: "1", Service: "stok-bulucu", Centre: centre, State: control.Warm,
		})
	}
	return list
}

// recordSubrequest records a sub-request of the given latency that ends at now.
func recordSubrequest(t *Table, now time.Time, r *control.Target, latency time.Duration, o Outcome) {
	t.Start(now.Add(-latency), r)
	t.Done(now, r, r.Service, latency, o)
}

// pickCounts calls Pick n times without load and counts how often each target was picked.
func pickCounts(t *Table, now time.Time, c Choice, n int) map[string]int {
	picked := map[string]int{}
	for range n {
		if r, ok := t.Pick(now, c); ok {
			picked[r.Name]++
		}
	}
	return picked
}

// TestPick guards against sub-requests to replicas that must not get any, and against leaving
// the data centre without need.
func TestPick(t *testing.T) {
	const ms = time.Millisecond
	type observation struct {
		replica, times int
		latency        time.Duration
		outcome        Outcome
	}
	local, both := []string{"izmir-a", "izmir-a"}, []string{"izmir-a", "manisa"}
	tests := []struct {
		name         string
		centres      []string
		observations []observation
		change       func(tb *Table, r []*control.Target, c *Choice)
		want         string // names that may be picked; all of them must be
	}{
		{"same data centre first", both, nil, nil, "t0"},
		{"remote if local is much slower", both, []observation{{0, 1, 9 * ms, Success}, {1, 1, 3 * ms, Success}}, nil, "t1"},
		{"local if slightly slower", both, []observation{{0, 1, 5 * ms, Success}, {1, 1, 3 * ms, Success}}, nil, "t0"},
		{"always slower than its hedges", both, []observation{{0, 9, 60 * ms, Cancelled}, {1, 9, 3 * ms, Success}}, nil, "t1"},
		{"refused as draining", local[:1], []observation{{0, 1, ms, DrainingReply}}, nil, ""},
		{"connection failed", local, []observation{{0, 1, ms, ConnectFailed}}, nil, "t1"},
		{"reset", both, []observation{{0, 1, ms, Reset}}, nil, "t1"},
		{"one failure does not eject", both, []observation{{0, 1, ms, Failed}}, nil, "t0"},
		{"three failures eject", both, []observation{{0, 3, ms, BadReply}}, nil, "t1"},
		{"failures of all replicas", local, []observation{{0, 4, ms, Failed}, {1, 4, ms, Failed}}, nil, "t0 t1"},
		{"the last replica", local[:1], []observation{{0, 1, ms, ConnectFailed}}, nil, "t0"},
		{"all replicas ejected", local, []observation{{0, 1, ms, Reset}, {1, 1, ms, Reset}}, nil, "t0 t1"},
		{"remote if local has work in flight", both, nil, func(tb *Table, r []*control.Target, _ *Choice) {
			tb.Start(timeAt(0), r[0])
			tb.Start(timeAt(0), r[0])
		}, "t1"},
		{"excluded", local, nil, func(_ *Table, _ []*control.Target, c *Choice) { c.Exclude = map[string]bool{"t0": true} }, "t1"},
		{"not allowed; Allow may call the table", local, nil, func(tb *Table, _ []*control.Target, c *Choice) {
			c.Allow = func(r *control.Target) bool { return r.Name == "t1" && !tb.SuspectCold(timeAt(0), r) }
		}, "t1"},
		{"announced as draining", local, nil, func(_ *Table, r []*control.Target, _ *Choice) { r[0].State = control.Draining }, "t1"},
		{"new incarnation starts with empty state", local[:1], []observation{{0, 1, ms, DrainingReply}}, func(tb *Table, r []*control.Target, _ *Choice) {
			old := *r[0]
			r[0].Incarnation = "2"
			tb.Start(timeAt(0), r[0])
			recordSubrequest(tb, timeAt(0), &old, ms, DrainingReply)
		}, "t0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb, list := newTable(), newReplicas(test.centres...)
			c := Choice{Service: "stok-bulucu", Replicas: list}
			for _, e := range test.observations {
				for range e.times {
					recordSubrequest(tb, timeAt(0), list[e.replica], e.latency, e.outcome)
				}
			}
			if test.change != nil {
				test.change(tb, list, &c)
			}
			picked := pickCounts(tb, timeAt(0), c, 40)
			is.New(t).Equal(strings.Join(slices.Sorted(maps.Keys(picked)), " "), test.want)
		})
	}
}

// TestProbe guards against many sub-requests to a target that is still down, and against a
// target that never gets work again.
func TestProbe(t *testing.T) {
	is := is.New(t)
	tb, list := newTable(), newReplicas("izmir-a", "izmir-a")
	c := Choice{Service: "stok-bulucu", Replicas: list}
	recordSubrequest(tb, timeAt(0), list[0], time.Millisecond, ConnectFailed)
	now, last := timeAt(0), timeAt(0)
	var gaps []time.Duration
	for len(gaps) < 9 {
		now = now.Add(10 * time.Millisecond)
		if pickCounts(tb, now, c, 10)["t0"] == 0 {
			continue
		}
		is.Equal(pickCounts(tb, now, c, 10)["t0"], 0) // one probe at a time
		gaps = append(gaps, now.Sub(last))
		last = now
		recordSubrequest(tb, now, list[0], 0, ConnectFailed)
	}
	for i, want := range []float64{1.5, 3, 6, 12, 24, 30, 30, 30, 30} {
		got := gaps[i].Seconds()
		is.True(got >= 0.8*want && got <= 1.2*want+0.02) // intervals grow up to the maximum
	}
	now = now.Add(40 * time.Second)
	noProbe := c
	noProbe.NoProbe = true
	is.Equal(pickCounts(tb, now, noProbe, 10)["t0"], 0)
	is.Equal(pickCounts(tb, now, c, 10)["t0"], 1)
	recordSubrequest(tb, now, list[0], time.Second, Success) // sent before the last ejection
	recordSubrequest(tb, now.Add(time.Millisecond), list[0], time.Millisecond, Success)
	is.True(pickCounts(tb, now.Add(time.Millisecond), c, 40)["t0"] > 5) // reinstated
	is.Equal(tb.Stats(now).Ejections["connection"], uint64(1))
}

// TestSuspectCold guards against regular work for a target that became cold, and against
// treating an overloaded service as cold.
func TestSuspectCold(t *testing.T) {
	is := is.New(t)
	tb, list := newTable(), newReplicas("izmir-a", "izmir-a", "izmir-a")
	c := Choice{Service: "stok-bulucu", Replicas: list}
	tb.Pick(timeAt(0), c)
	recordSubrequest(tb, timeAt(0), list[0], time.Millisecond, Shed)
	is.True(tb.SuspectCold(timeAt(0), list[0]))                                // after the first shed reply
	is.True(!tb.SuspectCold(timeAt(minColdTime), list[0]))                     // the period has ended
	recordSubrequest(tb, timeAt(minColdTime), list[0], time.Millisecond, Shed) // shed again
	is.True(tb.SuspectCold(timeAt(2*minColdTime), list[0]))                    // for twice as long
	recordSubrequest(tb, timeAt(minColdTime), list[1], time.Millisecond, Shed)
	recordSubrequest(tb, timeAt(minColdTime), list[2], time.Millisecond, Shed)
	tb.Pick(timeAt(minColdTime), c)
	for _, r := range list {
		is.True(!tb.SuspectCold(timeAt(minColdTime), r)) // all shed: overload
	}
	recordSubrequest(tb, timeAt(minColdTime), list[1], time.Millisecond, ColdReply)
	is.True(tb.SuspectCold(timeAt(minColdTime), list[1])) // reported by the target itself
	for i := range 2 {
		recordSubrequest(tb, timeAt(time.Hour), list[i], time.Millisecond, Shed)
	}
	tb.Pick(timeAt(time.Hour), c)
	recordSubrequest(tb, timeAt(time.Hour), list[2], time.Millisecond, Shed)
	is.True(!tb.SuspectCold(timeAt(time.Hour), list[2])) // both peers shed: overload
	tb.Forget(map[string]bool{"t0": true})
	is.True(!tb.SuspectCold(timeAt(minColdTime), list[1]))
}

// TestBudget guards against extra load beyond the share plus the capacity.
func TestBudget(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.3, 1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			is := is.New(t)
			b := newTable().Budget("stok-bulucu")
			rng := rand.New(rand.NewPCG(3, 4))
			extra, sent := 0, 0
			for range 20000 {
				if rng.Float64() < 0.4 {
					b.CountFirst()
					sent++
				}
				if b.Spend(time.Time{}, share) {
					extra++
				}
				is.True(float64(extra) <= share*float64(sent)+defaultCapacity)
			}
			is.True(float64(extra) >= share*float64(sent)-1) // the whole share is available
		})
	}
}

// TestHedgeAfterOverload guards against hedges that stay late for many seconds after an
// overload because its latencies fill the past windows.
func TestHedgeAfterOverload(t *testing.T) {
	is := is.New(t)
	tb, r := newTable(), newReplicas("izmir-a")[0]
	now := timeAt(0)
	feed := func(latency time.Duration, n int) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			tb.HedgeAfter(now, r.Service, 0.95)
			recordSubrequest(tb, now, r, latency, Success)
		}
	}
	feed(200*time.Millisecond, 4*minWindowSamples)
	delay, _ := tb.HedgeAfter(now, r.Service, 0.95)
	is.True(delay > 150*time.Millisecond)
	feed(20*time.Millisecond, 2*minWindowSamples+refreshSamples)
	delay, ok := tb.HedgeAfter(now, r.Service, 0.95)
	is.True(ok)
	is.True(delay < 30*time.Millisecond)
}

// TestLostProbe guards against probing a slow target without a pause because its probes are
// always slower than their hedges.
func TestLostProbe(t *testing.T) {
	is := is.New(t)
	tb, list := newTable(), newReplicas("izmir-a", "izmir-a")
	for range minWindowSamples {
		recordSubrequest(tb, timeAt(0), list[1], 10*time.Millisecond, Success)
	}
	delay, ok := tb.HedgeAfter(timeAt(0), list[0].Service, 0.95)
	is.True(ok)
	recordSubrequest(tb, timeAt(0), list[0], time.Millisecond, ConnectFailed) // ejects t0
	c := Choice{Service: list[0].Service, Replicas: list}
	due := timeAt(2 * minProbeInterval)
	r, _ := tb.Pick(due, c)
	is.Equal(r.Name, "t0") // the probe
	due = due.Add(2 * delay)
	recordSubrequest(tb, due, list[0], 2*delay, Cancelled)
	is.Equal(pickCounts(tb, due, c, 100)["t0"], 0)
	is.Equal(pickCounts(tb, due.Add(3*minProbeInterval), c, 1)["t0"], 1)
}

// TestEarlyHedges guards against ordinary hedges that use the whole budget, so that none is
// left for sub-requests that a straggler delays.
func TestEarlyHedges(t *testing.T) {
	is := is.New(t)
	const share = 0.05
	b := newTable().Budget("stok-bulucu")
	early := 0
	for range 2000 {
		b.CountFirst()
		if b.SpendEarly(time.Time{}, share) {
			early++
		}
	}
	is.True(float64(early) <= earlyShare*share*2000+earlyCapacity)
	is.True(float64(early) >= earlyShare*share*2000-1)
	for range defaultCapacity {
		is.True(b.Spend(time.Time{}, share)) // the rest is reserved for sub-requests that take longer
	}
	is.True(!b.Spend(time.Time{}, share))
	is.True(!b.SpendEarly(time.Time{}, share))
}

// TestHedgeAfter guards against hedges without enough samples, hedges while the whole service
// is slow, and a quantile that falls because sub-requests that were slower than their hedges
// are left out.
func TestHedgeAfter(t *testing.T) {
	is := is.New(t)
	tb, r := newTable(), newReplicas("izmir-a")[0]
	rng := rand.New(rand.NewPCG(5, 6))
	now := timeAt(0)
	feed := func(n int, latency func() time.Duration) {
		for range n {
			now = now.Add(5 * time.Millisecond)
			took := latency()
			delay, ok := tb.HedgeAfter(now, r.Service, 0.95)
			if ok && took > delay { // the hedge wins
				recordSubrequest(tb, now, r, delay+2*time.Millisecond, Cancelled)
				continue
			}
			recordSubrequest(tb, now, r, took, Success)
		}
	}
	usual := func() time.Duration { return time.Duration(1000+rng.IntN(9000)) * time.Microsecond }
	slow := func() time.Duration { return 10 * usual() }
	feed(minWindowSamples-1, usual)
	_, ok := tb.HedgeAfter(now, r.Service, 0.95)
	is.True(!ok) // too few samples
	feed(40000, usual)
	delay, ok := tb.HedgeAfter(now, r.Service, 0.95)
	is.True(ok)
	is.True(delay > 9*time.Millisecond && delay < 10*time.Millisecond)
	feed(30, slow)
	_, ok = tb.HedgeAfter(now, r.Service, 0.95)
	is.True(!ok)     // everything is slow
	feed(2500, slow) // longer than a window
	feed(2500, usual)
	delay, ok = tb.HedgeAfter(now, r.Service, 0.95)
	is.True(ok && delay < 10*time.Millisecond)
	feed(20000, slow) // stays slow: the delay follows
	delay, ok = tb.HedgeAfter(now, r.Service, 0.95)
	is.True(ok && delay > 70*time.Millisecond)
}
