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

func at(d time.Duration) time.Time { return epoch.Add(d) }

func table() *Table {
	return &Table{Centre: "izmir-a", Rand: rand.New(rand.NewPCG(1, 2))}
}

func replicas(centres ...string) []*control.Target {
	var list []*control.Target
	for i, centre := range centres {
		list = append(list, &control.Target{
			Name: fmt.Sprintf("t%d", i), Incarnation: "1", Service: "stok-bulucu", Centre: centre, State: control.Warm,
		})
	}
	return list
}

// end records a sub-request of the given latency that ends at now.
func end(t *Table, now time.Time, r *control.Target, latency time.Duration, o Outcome) {
	t.Start(now.Add(-latency), r)
	t.Done(now, r, r.Service, latency, o)
}

// share picks n times without load and returns the names that were picked.
func share(t *Table, now time.Time, c Choice, n int) map[string]int {
	picked := map[string]int{}
	for range n {
		if r, ok := t.Pick(now, c); ok {
			picked[r.Name]++
		}
	}
	return picked
}

// TestPick guards against work for replicas that must not get any, and against
// leaving the data centre without need.
func TestPick(t *testing.T) {
	const ms = time.Millisecond
	type ends struct {
		replica, times int
		latency        time.Duration
		outcome        Outcome
	}
	near, both := []string{"izmir-a", "izmir-a"}, []string{"izmir-a", "manisa"}
	tests := []struct {
		name    string
		centres []string
		ends    []ends
		change  func(tb *Table, r []*control.Target, c *Choice)
		want    string // names that may be picked; all of them must be
	}{
		{"near first", both, nil, nil, "t0"},
		{"far if near is clearly worse", both, []ends{{0, 1, 9 * ms, Success}, {1, 1, 3 * ms, Success}}, nil, "t1"},
		{"near if slightly worse", both, []ends{{0, 1, 5 * ms, Success}, {1, 1, 3 * ms, Success}}, nil, "t0"},
		{"slow without a reply of its own", both, []ends{{0, 9, 60 * ms, Cancelled}, {1, 9, 3 * ms, Success}}, nil, "t1"},
		{"refused as draining", near[:1], []ends{{0, 1, ms, DrainingReply}}, nil, ""},
		{"connection failed", near, []ends{{0, 1, ms, ConnectFailed}}, nil, "t1"},
		{"reset", both, []ends{{0, 1, ms, Reset}}, nil, "t1"},
		{"one failure is no outlier", both, []ends{{0, 1, ms, Failed}}, nil, "t0"},
		{"three failures are", both, []ends{{0, 3, ms, BadReply}}, nil, "t1"},
		{"failures that all replicas have", near, []ends{{0, 4, ms, Failed}, {1, 4, ms, Failed}}, nil, "t0 t1"},
		{"the last replica", near[:1], []ends{{0, 1, ms, ConnectFailed}}, nil, "t0"},
		{"all replicas ejected", near, []ends{{0, 1, ms, Reset}, {1, 1, ms, Reset}}, nil, "t0 t1"},
		{"far if near has work in flight", both, nil, func(tb *Table, r []*control.Target, _ *Choice) {
			tb.Start(at(0), r[0])
			tb.Start(at(0), r[0])
		}, "t1"},
		{"excluded", near, nil, func(_ *Table, _ []*control.Target, c *Choice) { c.Exclude = map[string]bool{"t0": true} }, "t1"},
		{"not allowed; Allow may call the table", near, nil, func(tb *Table, _ []*control.Target, c *Choice) {
			c.Allow = func(r *control.Target) bool { return r.Name == "t1" && !tb.SuspectCold(at(0), r) }
		}, "t1"},
		{"announced as draining", near, nil, func(_ *Table, r []*control.Target, _ *Choice) { r[0].State = control.Draining }, "t1"},
		{"new incarnation starts afresh", near[:1], []ends{{0, 1, ms, DrainingReply}}, func(tb *Table, r []*control.Target, _ *Choice) {
			old := *r[0]
			r[0].Incarnation = "2"
			tb.Start(at(0), r[0])
			end(tb, at(0), &old, ms, DrainingReply)
		}, "t0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb, list := table(), replicas(test.centres...)
			c := Choice{Service: "stok-bulucu", Replicas: list}
			for _, e := range test.ends {
				for range e.times {
					end(tb, at(0), list[e.replica], e.latency, e.outcome)
				}
			}
			if test.change != nil {
				test.change(tb, list, &c)
			}
			picked := share(tb, at(0), c, 40)
			is.New(t).Equal(strings.Join(slices.Sorted(maps.Keys(picked)), " "), test.want)
		})
	}
}

// TestProbe guards against a flood of sub-requests to a target that is still dead,
// and against one that never gets work again.
func TestProbe(t *testing.T) {
	is := is.New(t)
	tb, list := table(), replicas("izmir-a", "izmir-a")
	c := Choice{Service: "stok-bulucu", Replicas: list}
	end(tb, at(0), list[0], time.Millisecond, ConnectFailed)
	now, last := at(0), at(0)
	var gaps []time.Duration
	for len(gaps) < 9 {
		now = now.Add(10 * time.Millisecond)
		if share(tb, now, c, 10)["t0"] == 0 {
			continue
		}
		is.Equal(share(tb, now, c, 10)["t0"], 0) // one probe at a time
		gaps = append(gaps, now.Sub(last))
		last = now
		end(tb, now, list[0], 0, ConnectFailed)
	}
	for i, want := range []float64{1.5, 3, 6, 12, 24, 30, 30, 30, 30} {
		got := gaps[i].Seconds()
		is.True(got >= 0.8*want && got <= 1.2*want+0.02) // intervals grow to a bound
	}
	now = now.Add(40 * time.Second)
	noProbe := c
	noProbe.NoProbe = true
	is.Equal(share(tb, now, noProbe, 10)["t0"], 0)
	is.Equal(share(tb, now, c, 10)["t0"], 1)
	end(tb, now, list[0], time.Second, Success) // sent before the last ejection
	end(tb, now.Add(time.Millisecond), list[0], time.Millisecond, Success)
	is.True(share(tb, now.Add(time.Millisecond), c, 40)["t0"] > 5) // reinstated
	is.Equal(tb.Stats(now).Ejections["connection"], uint64(1))
}

// TestSuspectCold guards against regular work for a target that turned cold, and
// against treating an overloaded service as cold.
func TestSuspectCold(t *testing.T) {
	is := is.New(t)
	tb, list := table(), replicas("izmir-a", "izmir-a", "izmir-a")
	c := Choice{Service: "stok-bulucu", Replicas: list}
	tb.Pick(at(0), c)
	end(tb, at(0), list[0], time.Millisecond, Shed)
	is.True(tb.SuspectCold(at(0), list[0]))                 // the first reply
	is.True(!tb.SuspectCold(at(coldFirst), list[0]))        // ends
	end(tb, at(coldFirst), list[0], time.Millisecond, Shed) // still cold
	is.True(tb.SuspectCold(at(2*coldFirst), list[0]))       // for longer
	end(tb, at(coldFirst), list[1], time.Millisecond, Shed)
	end(tb, at(coldFirst), list[2], time.Millisecond, Shed)
	tb.Pick(at(coldFirst), c)
	for _, r := range list {
		is.True(!tb.SuspectCold(at(coldFirst), r)) // all shed: overload
	}
	end(tb, at(coldFirst), list[1], time.Millisecond, ColdReply)
	is.True(tb.SuspectCold(at(coldFirst), list[1])) // said so itself
	for i := range 2 {
		end(tb, at(time.Hour), list[i], time.Millisecond, Shed)
	}
	tb.Pick(at(time.Hour), c)
	end(tb, at(time.Hour), list[2], time.Millisecond, Shed)
	is.True(!tb.SuspectCold(at(time.Hour), list[2])) // both peers shed
	tb.Forget(map[string]bool{"t0": true})
	is.True(!tb.SuspectCold(at(coldFirst), list[1]))
}

// TestBudget guards against extra load beyond the share plus a constant.
func TestBudget(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.3, 1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			is := is.New(t)
			b := table().Budget("stok-bulucu")
			rng := rand.New(rand.NewPCG(3, 4))
			extra, sent := 0, 0
			for range 20000 {
				if rng.Float64() < 0.4 {
					b.CountFirst()
					sent++
				}
				if b.Spend(share) {
					extra++
				}
				is.True(float64(extra) <= share*float64(sent)+burst)
			}
			is.True(float64(extra) >= share*float64(sent)-1) // and all of the share is available
		})
	}
}

// TestHedgeAfterOverload guards against hedges that stay late for many seconds after
// an overload, because its latencies fill the past windows.
func TestHedgeAfterOverload(t *testing.T) {
	is := is.New(t)
	tb, r := table(), replicas("izmir-a")[0]
	now := at(0)
	feed := func(latency time.Duration, n int) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			tb.HedgeAfter(now, r.Service, 0.95)
			end(tb, now, r, latency, Success)
		}
	}
	feed(200*time.Millisecond, 4*windowSamples)
	delay, _ := tb.HedgeAfter(now, r.Service, 0.95)
	is.True(delay > 150*time.Millisecond)
	feed(20*time.Millisecond, 2*windowSamples+refresh)
	delay, ok := tb.HedgeAfter(now, r.Service, 0.95)
	is.True(ok)
	is.True(delay < 30*time.Millisecond)
}

// TestLostProbe guards against a slow target that is probed without a pause, because
// its probes lose against their hedges.
func TestLostProbe(t *testing.T) {
	is := is.New(t)
	tb, list := table(), replicas("izmir-a", "izmir-a")
	for range windowSamples {
		end(tb, at(0), list[1], 10*time.Millisecond, Success)
	}
	delay, ok := tb.HedgeAfter(at(0), list[0].Service, 0.95)
	is.True(ok)
	end(tb, at(0), list[0], time.Millisecond, ConnectFailed) // ejects it
	c := Choice{Service: list[0].Service, Replicas: list}
	due := at(2 * firstInterval)
	r, _ := tb.Pick(due, c)
	is.Equal(r.Name, "t0") // the probe
	due = due.Add(2 * delay)
	end(tb, due, list[0], 2*delay, Cancelled)
	is.Equal(share(tb, due, c, 100)["t0"], 0)
	is.Equal(share(tb, due.Add(3*firstInterval), c, 1)["t0"], 1)
}

// TestEarlyHedges guards against ordinary hedges that use the whole budget, so that
// the sub-requests held by a straggler get none.
func TestEarlyHedges(t *testing.T) {
	is := is.New(t)
	const share = 0.05
	b := table().Budget("stok-bulucu")
	early := 0
	for range 2000 {
		b.CountFirst()
		if b.SpendEarly(share) {
			early++
		}
	}
	is.True(float64(early) <= earlyShare*share*2000+earlyBurst)
	is.True(float64(early) >= earlyShare*share*2000-1)
	for range burst {
		is.True(b.Spend(share)) // the rest is left for those that take longer
	}
	is.True(!b.Spend(share))
	is.True(!b.SpendEarly(share))
}

// TestHedgeAfter guards against hedges without a measured quantile, hedges while
// everything is slow, and a quantile that sinks because its losers are left out.
func TestHedgeAfter(t *testing.T) {
	is := is.New(t)
	tb, r := table(), replicas("izmir-a")[0]
	rng := rand.New(rand.NewPCG(5, 6))
	now := at(0)
	feed := func(n int, latency func() time.Duration) {
		for range n {
			now = now.Add(5 * time.Millisecond)
			took := latency()
			delay, ok := tb.HedgeAfter(now, r.Service, 0.95)
			if ok && took > delay { // the hedge wins
				end(tb, now, r, delay+2*time.Millisecond, Cancelled)
				continue
			}
			end(tb, now, r, took, Success)
		}
	}
	usual := func() time.Duration { return time.Duration(1000+rng.IntN(9000)) * time.Microsecond }
	slow := func() time.Duration { return 10 * usual() }
	feed(windowSamples-1, usual)
	_, ok := tb.HedgeAfter(now, r.Service, 0.95)
	is.True(!ok) // too few samples
	feed(40000, usual)
	delay, ok := tb.HedgeAfter(now, r.Service, 0.95)
	is.True(ok)
	is.True(delay > 9*time.Millisecond && delay < 10*time.Millisecond)
	feed(30, slow)
	_, ok = tb.HedgeAfter(now, r.Service, 0.95)
	is.True(!ok)     // everything is slow
	feed(2500, slow) // for more than a window
	feed(2500, usual)
	delay, ok = tb.HedgeAfter(now, r.Service, 0.95)
	is.True(ok && delay < 10*time.Millisecond)
	feed(20000, slow) // stays slow: becomes usual
	delay, ok = tb.HedgeAfter(now, r.Service, 0.95)
	is.True(ok && delay > 70*time.Millisecond)
}
