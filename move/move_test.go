package move

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/route"
)

var began = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// behaviour is what a version does with a sub-request: the probability that it
// fails and the factor of its latency.
type behaviour func(route string, share float64, at time.Duration) (fails, slow float64)

func healthy(string, float64, time.Duration) (fails, slow float64) { return 0.002, 1 }

// run is a simulated move: queries of three routes, one of them rare, with
// latencies of a lognormal distribution around 4 ms.
type run struct {
	rand *rand.Rand
	rate float64
	// busy is the utilization of a version that carries all traffic, whose latency
	// grows with it.
	busy     float64
	targets  int
	version  behaviour
	record   control.MoveRecord
	machine  Machine
	now      time.Time
	greatest float64
	// visible is when a sub-request could first show the fault, ended when the move
	// was done or reverted.
	visible, ended time.Time
}

func newRun(seed uint64, by time.Duration, version behaviour) *run {
	return &run{
		rand: rand.New(rand.NewPCG(seed, 1)), rate: 400, targets: 4, version: version, now: began,
		record: control.MoveRecord{Service: "s", Version: "v2", Deadline: began.Add(by), TrialShare: 0.02, Step: control.StepNew},
	}
}

func (r *run) subrequest(parts map[Key]*Counts) {
	route := "a"
	switch u := r.rand.Float64(); {
	case u < 0.02:
		route = "rare"
	case u < 0.3:
		route = "b"
	}
	key := Key{Route: route, New: r.rand.Float64() < r.record.Share}
	fails, slow := healthy("", 0, 0)
	if key.New {
		fails, slow = r.version(route, r.record.Share, r.now.Sub(began))
		if (fails > 0.01 || slow > 1) && r.visible.IsZero() {
			r.visible = r.now
		}
	}
	carried := r.record.Share
	if !key.New {
		carried = 1 - carried
	}
	slow /= 1 - r.busy*carried*r.busy*carried
	c := parts[key]
	if c == nil {
		c = newCounts()
		parts[key] = c
	}
	c.Total++
	if r.rand.Float64() < fails {
		c.Failed++
		c.fail(fmt.Sprint(r.rand.IntN(r.targets)), 1)
		return
	}
	c.observe(time.Duration(float64(4*time.Millisecond) * math.Exp(0.5*r.rand.NormFloat64()) * slow))
}

// simulate runs until the move ends or the time is over.
func (r *run) simulate(length time.Duration) *run {
	for end := r.now.Add(length); r.now.Before(end) && r.ended.IsZero(); {
		r.now = r.now.Add(slotLength)
		counts := map[Key]*Counts{}
		for range int(r.rate * slotLength.Seconds() * (0.5 + r.rand.Float64())) {
			r.subrequest(counts)
		}
		var parts []RouteCounts
		for key, c := range counts {
			parts = append(parts, RouteCounts{Key: key, Counts: *c})
		}
		if Running(&r.record) {
			r.machine.AddEvidence(r.now, parts)
		}
		r.apply(r.machine.Step(r.now, &Input{Record: r.record, Ready: true, Targets: r.targets}))
	}
	return r
}

func (r *run) apply(s *control.StepMove) {
	if s == nil {
		return
	}
	r.record.Step, r.record.Share, r.record.Reverted, r.record.Reason = s.Step, s.Share, s.Revert, s.Reason
	r.greatest = max(r.greatest, s.Share)
	if s.Revert || s.Step == Done {
		r.ended = r.now
	}
}

// bad lists faults of a version with the time within which they must be found,
// from the first sub-request that could show them. A fault of a small share of the
// traffic takes as long as it takes to see it some ten times, at 8 sub-requests per
// second on trial.
var bad = map[string]struct {
	version behaviour
	within  time.Duration
}{
	"fails at once":         {func(string, float64, time.Duration) (float64, float64) { return 1, 1 }, 3 * time.Second},
	"a fifth fails":         {func(string, float64, time.Duration) (float64, float64) { return 0.2, 1 }, 15 * time.Second},
	"a twentieth fails":     {func(string, float64, time.Duration) (float64, float64) { return 0.05, 1 }, 60 * time.Second},
	"slow at once":          {func(string, float64, time.Duration) (float64, float64) { return 0, 4 }, 6 * time.Second},
	"fails later":           {after(25*time.Second, 0.5, 1), 3 * time.Second},
	"slow later":            {after(25*time.Second, 0, 3), 3 * time.Second},
	"fails under load":      {under(0.3, 0.3, 1), 3 * time.Second},
	"slow under load":       {under(0.6, 0, 3), 3 * time.Second},
	"fails on one route":    {on("b", 1, 1), 12 * time.Second},
	"slow on one route":     {on("b", 0, 4), 25 * time.Second},
	"fails on a rare route": {on("rare", 1, 1), 60 * time.Second},
}

func after(d time.Duration, fails, slow float64) behaviour {
	return func(route string, share float64, at time.Duration) (float64, float64) {
		if at < d {
			return healthy(route, share, at)
		}
		return fails, slow
	}
}

func under(least, fails, slow float64) behaviour {
	return func(route string, share float64, at time.Duration) (float64, float64) {
		if share < least {
			return healthy(route, share, at)
		}
		return fails, slow
	}
}

func on(name string, fails, slow float64) behaviour {
	return func(route string, share float64, at time.Duration) (float64, float64) {
		if route != name {
			return healthy(route, share, at)
		}
		return fails, slow
	}
}

// Guards against a bad version that gets all traffic or is taken back late.
func TestBadVersionsAreReverted(t *testing.T) {
	for name, c := range bad {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				r := newRun(seed, time.Minute, c.version).simulate(2 * time.Minute)
				if !r.record.Reverted || r.record.Share != 0 {
					t.Fatalf("seed %d: %+v", seed, r.record)
				}
				if took := r.ended.Sub(r.visible); took > c.within {
					t.Errorf("seed %d: found after %s at share %g: %s", seed, took, r.greatest, r.record.Reason)
				}
				is.True(r.machine.Step(r.now.Add(time.Hour), &Input{Record: r.record, Ready: true}) == nil) // final
			}
		})
	}
}

// Guards against good versions that are reverted or are not done by their time.
func TestGoodVersionsAreDoneInTime(t *testing.T) {
	for _, by := range []time.Duration{30 * time.Second, 2 * time.Minute} {
		for seed := range uint64(3) {
			r := newRun(seed, by, healthy).simulate(by)
			if r.record.Step != Done || r.record.Share != 1 {
				t.Errorf("by %s, seed %d: %+v", by, seed, r.record)
			}
		}
	}
}

// Guards against chance findings that add up over many looks: the version is as
// bad as is tolerated, so that one test in twenty would show it.
func TestManyLooksDoNotRevertATolerableVersion(t *testing.T) {
	edge := func(string, float64, time.Duration) (fails, slow float64) { return 0.007, 1 }
	for seed := uint64(6); seed < 14; seed++ {
		r := newRun(seed, time.Hour, edge)
		r.targets = 1 // so that no failure is left out
		r.record.TrialShare, r.record.Share, r.record.Step = 0.3, 0.3, Trial
		if r.simulate(2 * time.Minute); r.record.Reverted {
			t.Errorf("seed %d: %+v", seed, r.record)
		}
	}
}

// Guards against a good version that is reverted because it carries more of the
// traffic than the old version, whose targets are idle towards the end.
func TestBusyVersionIsNotSlow(t *testing.T) {
	for seed := range uint64(3) {
		r := newRun(seed, time.Minute, healthy)
		r.busy = 0.8
		if r.simulate(time.Minute); r.record.Step != Done {
			t.Errorf("seed %d: %+v", seed, r.record)
		}
	}
}

// Guards against a good version that is reverted because one of its targets dies,
// as the others answer as before.
func TestDeadTargetIsNotAFaultOfItsVersion(t *testing.T) {
	is := is.New(t)
	old := &Counts{Total: 1000, Failed: 2}
	one := &Counts{Total: 100, Failed: 25, FailedByTarget: map[string]int{"1": 25}}
	all := &Counts{Total: 100, Failed: 25, FailedByTarget: map[string]int{"1": 7, "2": 6, "3": 6, "4": 6}}
	c := comparison{targets: 4}
	is.Equal(c.failures(&side{old, one}).p, 1.0)
	is.True(c.failures(&side{old, all}).p < 1e-9)
	c.targets = 1
	is.True(c.failures(&side{old, one}).p < 1e-9)
}

// Guards against steps that come without warm replicas, too early, without
// evidence or after the end.
func TestSteps(t *testing.T) {
	record := func(step string, share float64) control.MoveRecord {
		return control.MoveRecord{Service: "s", Version: "v2", TrialShare: 0.02, Step: step, Share: share, Deadline: began.Add(time.Minute)}
	}
	late := record(Waiting, 0)
	late.Deadline = began
	lateOnTrial := record(Trial, 0.02)
	lateOnTrial.Deadline = began
	reverted := record(control.StepReverted, 0)
	reverted.Reverted = true
	for name, c := range map[string]struct {
		record  control.MoveRecord
		ready   bool
		samples int
		wait    time.Duration
		step    string
		share   float64
	}{
		"no replicas":          {record(control.StepNew, 0), false, 0, 0, Waiting, 0},
		"still no replicas":    {record(Waiting, 0), false, 0, time.Second, "", 0},
		"replicas":             {record(Waiting, 0), true, 0, 0, Trial, 0.02},
		"replicas at once":     {record(control.StepNew, 0), true, 0, 0, Trial, 0.02},
		"replicas gone":        {record(Ramping, 0.04), false, enough, 50 * time.Second, "", 0},
		"too early":            {record(Trial, 0.02), true, enough, time.Second, "", 0},
		"too little":           {record(Trial, 0.02), true, enough - 1, 50 * time.Second, "", 0},
		"growth":               {record(Trial, 0.02), true, enough, 50 * time.Second, Ramping, 0.04},
		"last comparison":      {record(Ramping, 0.64), true, enough, 50 * time.Second, Ramping, 0.9},
		"end":                  {record(Ramping, 0.9), true, enough, 50 * time.Second, Done, 1},
		"late without targets": {late, false, 0, time.Second, Late, 0},
		"late with targets":    {late, true, 0, time.Second, Late, 0.02},
		"late without traffic": {lateOnTrial, true, 0, time.Second, Late, 0.02},
		"late growth":          {lateOnTrial, true, enough, 2 * time.Second, Late, 0.04},
		"late end":             {record(Late, 0.9), true, enough, 70 * time.Second, Done, 1},
		"done":                 {record(Done, 1), true, enough, 50 * time.Second, "", 0},
		"reverted":             {reverted, true, enough, 50 * time.Second, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := Machine{step: c.record.Step, share: c.record.Share, changed: began}
			good := newCounts()
			for range c.samples {
				good.Total++
				good.observe(time.Millisecond)
			}
			now := began.Add(c.wait)
			m.AddEvidence(now, []RouteCounts{{Key: Key{New: true}, Counts: *good}, {Key: Key{}, Counts: *good}})
			s := m.Step(now, &Input{Record: c.record, Ready: c.ready, Targets: 2})
			if c.step == "" {
				is.True(s == nil)
				return
			}
			is.True(s != nil)
			is.Equal(s.Step, c.step)
			is.Equal(s.Share, c.share)
			is.Equal(s.From, c.record.Step)
			is.True(s.Reason != "" || c.samples == 0)
		})
	}
}

// Guards against a p-value that is not the hypergeometric tail. The figures are
// those of tables that can be worked out by hand.
func TestFisher(t *testing.T) {
	is := is.New(t)
	near := func(got, want float64) { is.True(math.Abs(got-want) < 1e-9*want+1e-15) }
	near(fisher(3, 4, 1, 4), 17.0/70)
	near(fisher(5, 5, 0, 5), 1.0/252)
	near(fisher(1, 1, 0, 9), 0.1)
	is.Equal(fisher(0, 5, 5, 5), 1.0)
	is.Equal(fisher(0, 0, 0, 0), 1.0)
}

// BenchmarkErrorRates measures, with a run per iteration, the rate of good versions
// that are reverted, and that of bad ones that are not, of all kinds in turn.
func BenchmarkErrorRates(b *testing.B) {
	b.Run("good", func(b *testing.B) {
		reverted, late := 0, 0
		for i := range b.N {
			r := newRun(uint64(1000+i), time.Minute, healthy).simulate(time.Minute)
			if r.record.Reverted {
				reverted++
			} else if r.record.Step != Done {
				late++
			}
		}
		b.ReportMetric(float64(reverted)/float64(b.N), "reverted/op")
		b.ReportMetric(float64(late)/float64(b.N), "late/op")
	})
	for name, c := range bad {
		b.Run(name, func(b *testing.B) {
			missed, longest, greatest := 0, time.Duration(0), 0.0
			for i := range b.N {
				r := newRun(uint64(1000+i), time.Minute, c.version).simulate(2 * time.Minute)
				if !r.record.Reverted {
					missed++
					continue
				}
				longest, greatest = max(longest, r.ended.Sub(r.visible)), max(greatest, r.greatest)
			}
			b.ReportMetric(float64(missed)/float64(b.N), "missed/op")
			b.ReportMetric(longest.Seconds(), "s-longest")
			b.ReportMetric(greatest, "share")
		})
	}
}

// BenchmarkObserve measures what a sub-request costs on the query path.
func BenchmarkObserve(b *testing.B) {
	v := &control.View{Moves: map[string]control.MoveRecord{"s": {Service: "s", Version: "v2", Step: Trial, Share: 0.02}}}
	for name, service := range map[string]string{"running": "s", "none": "t"} {
		b.Run(name, func(b *testing.B) {
			t := &control.Target{Name: "t", Incarnation: "i", Service: service, Version: "v1"}
			var c Collector
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					c.Observe(v, t, "a", 4*time.Millisecond, route.Success)
				}
			})
		})
	}
}
