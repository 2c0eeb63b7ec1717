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

var startTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// behaviour returns the probability that a sub-request to a version fails, and the factor
// of its latency.
type behaviour func(route string, share float64, at time.Duration) (fails, slow float64)

func healthy(string, float64, time.Duration) (fails, slow float64) { return 0.002, 1 }

// simulation simulates a move with queries on three routes, one of them rare. The latencies
// follow a lognormal distribution around 4 ms.
type simulation struct {
	rand *rand.Rand
	rate float64
	// utilization is that of a version that carries all traffic. The latency grows with it.
	utilization float64
	targets     int
	version     behaviour
	record      control.MoveRecord
	machine     Machine
	now         time.Time
	maxShare    float64
	// faultVisible is the time of the first sub-request that could show the fault. ended
	// is when the move was done or reverted.
	faultVisible, ended time.Time
}

func newSimulation(seed uint64, by time.Duration, version behaviour) *simulation {
	return &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), rate: 400, targets: 4, version: version, now: startTime,
		record: control.MoveRecord{Service: "s", Version: "v2", Deadline: startTime.Add(by), TrialShare: 0.02, Step: control.StepNew},
	}
}

func (r *simulation) subrequest(counts map[Key]*Counts) {
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
		fails, slow = r.version(route, r.record.Share, r.now.Sub(startTime))
		if (fails > 0.01 || slow > 1) && r.faultVisible.IsZero() {
			r.faultVisible = r.now
		}
	}
	carried := r.record.Share
	if !key.New {
		carried = 1 - carried
	}
	slow /= 1 - r.utilization*carried*r.utilization*carried
	c := counts[key]
	if c == nil {
		c = newCounts()
		counts[key] = c
	}
	c.Total++
	if r.rand.Float64() < fails {
		c.Failed++
		c.addFailures(fmt.Sprint(r.rand.IntN(r.targets)), 1)
		return
	}
	c.observe(time.Duration(float64(4*time.Millisecond) * math.Exp(0.5*r.rand.NormFloat64()) * slow))
}

// simulate runs the simulation until the move ends, at most for length.
func (r *simulation) simulate(length time.Duration) *simulation {
	for end := r.now.Add(length); r.now.Before(end) && r.ended.IsZero(); {
		r.now = r.now.Add(slotLength)
		counts := map[Key]*Counts{}
		for range int(r.rate * slotLength.Seconds() * (0.5 + r.rand.Float64())) {
			r.subrequest(counts)
		}
		var evidence []RouteCounts
		for key, c := range counts {
			evidence = append(evidence, RouteCounts{Key: key, Counts: *c})
		}
		if Running(&r.record) {
			r.machine.AddEvidence(r.now, evidence)
		}
		r.apply(r.machine.Step(r.now, &Input{Record: r.record, Ready: true, Targets: r.targets}))
	}
	return r
}

func (r *simulation) apply(s *control.StepMove) {
	if s == nil {
		return
	}
	r.record.Step, r.record.Share, r.record.Reverted, r.record.Reason = s.Step, s.Share, s.Revert, s.Reason
	r.maxShare = max(r.maxShare, s.Share)
	if s.Revert || s.Step == Done {
		r.ended = r.now
	}
}

// badVersions lists faults of a version and the time within which they must be found,
// counted from the first sub-request that could show them. A fault in a small share of
// the traffic is found after it has shown about ten times, at 8 sub-requests per second
// in the trial step.
var badVersions = map[string]struct {
	version behaviour
	within  time.Duration
}{
	"fails at once":         {func(string, float64, time.Duration) (float64, float64) { return 1, 1 }, 3 * time.Second},
	"a fifth fails":         {func(string, float64, time.Duration) (float64, float64) { return 0.2, 1 }, 15 * time.Second},
	"a twentieth fails":     {func(string, float64, time.Duration) (float64, float64) { return 0.05, 1 }, 60 * time.Second},
	"slow at once":          {func(string, float64, time.Duration) (float64, float64) { return 0, 4 }, 6 * time.Second},
	"fails later":           {faultyAfter(25*time.Second, 0.5, 1), 3 * time.Second},
	"slow later":            {faultyAfter(25*time.Second, 0, 3), 3 * time.Second},
	"fails under load":      {faultyAboveShare(0.3, 0.3, 1), 3 * time.Second},
	"slow under load":       {faultyAboveShare(0.6, 0, 3), 3 * time.Second},
	"fails on one route":    {faultyOnRoute("b", 1, 1), 12 * time.Second},
	"slow on one route":     {faultyOnRoute("b", 0, 4), 25 * time.Second},
	"fails on a rare route": {faultyOnRoute("rare", 1, 1), 60 * time.Second},
}

func faultyAfter(d time.Duration, fails, slow float64) behaviour {
	return func(route string, share float64, at time.Duration) (float64, float64) {
		if at < d {
			return healthy(route, share, at)
		}
		return fails, slow
	}
}

func faultyAboveShare(minShare, fails, slow float64) behaviour {
	return func(route string, share float64, at time.Duration) (float64, float64) {
		if share < minShare {
			return healthy(route, share, at)
		}
		return fails, slow
	}
}

func faultyOnRoute(name string, fails, slow float64) behaviour {
	return func(route string, share float64, at time.Duration) (float64, float64) {
		if route != name {
			return healthy(route, share, at)
		}
		return fails, slow
	}
}

// Guards against a bad version that gets all traffic or is reverted late.
func TestBadVersionsAreReverted(t *testing.T) {
	for name, c := range badVersions {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				r := newSimulation(seed, time.Minute, c.version).simulate(2 * time.Minute)
				if !r.record.Reverted || r.record.Share != 0 {
					t.Fatalf("seed %d: %+v", seed, r.record)
				}
				if took := r.ended.Sub(r.faultVisible); took > c.within {
					t.Errorf("seed %d: found after %s at share %g: %s", seed, took, r.maxShare, r.record.Reason)
				}
				is.True(r.machine.Step(r.now.Add(time.Hour), &Input{Record: r.record, Ready: true}) == nil) // Reverted is final.
			}
		})
	}
}

// Guards against good versions that are reverted or not done by the deadline.
func TestGoodVersionsAreDoneByDeadline(t *testing.T) {
	for _, by := range []time.Duration{30 * time.Second, 2 * time.Minute} {
		for seed := range uint64(3) {
			r := newSimulation(seed, by, healthy).simulate(by)
			if r.record.Step != Done || r.record.Share != 1 {
				t.Errorf("by %s, seed %d: %+v", by, seed, r.record)
			}
		}
	}
}

// Guards against false positives that accumulate over many looks. The version is as bad
// as is tolerated, so that without correction about one test in twenty would find a fault.
func TestManyLooksDoNotRevertATolerableVersion(t *testing.T) {
	edge := func(string, float64, time.Duration) (fails, slow float64) { return 0.007, 1 }
	for seed := uint64(6); seed < 14; seed++ {
		r := newSimulation(seed, time.Hour, edge)
		r.targets = 1 // With one target, no failures are excluded.
		r.record.TrialShare, r.record.Share, r.record.Step = 0.3, 0.3, Trial
		if r.simulate(2 * time.Minute); r.record.Reverted {
			t.Errorf("seed %d: %+v", seed, r.record)
		}
	}
}

// Guards against a good version that is reverted because it carries more traffic than the
// old version, whose targets are idle towards the end of the move.
func TestBusyVersionIsNotReverted(t *testing.T) {
	for seed := range uint64(3) {
		r := newSimulation(seed, time.Minute, healthy)
		r.utilization = 0.8
		if r.simulate(time.Minute); r.record.Step != Done {
			t.Errorf("seed %d: %+v", seed, r.record)
		}
	}
}

// Guards against a good version that is reverted because one of its targets dies while
// the others respond normally.
func TestDeadTargetIsNotAFaultOfItsVersion(t *testing.T) {
	is := is.New(t)
	old := &Counts{Total: 1000, Failed: 2}
	one := &Counts{Total: 100, Failed: 25, FailedByTarget: map[string]int{"1": 25}}
	all := &Counts{Total: 100, Failed: 25, FailedByTarget: map[string]int{"1": 7, "2": 6, "3": 6, "4": 6}}
	c := comparison{targets: 4}
	is.Equal(c.compareFailures(&versionPair{old, one}).p, 1.0)
	is.True(c.compareFailures(&versionPair{old, all}).p < 1e-9)
	c.targets = 1
	is.True(c.compareFailures(&versionPair{old, one}).p < 1e-9)
}

// Guards against failures that don't count because hosts ask mostly one target of the version,
// as after its other targets were ejected.
func TestMainTargetCounts(t *testing.T) {
	is := is.New(t)
	counts := func(asked map[string]int, failed map[string]int) *Counts {
		c := &Counts{TotalByTarget: asked, FailedByTarget: failed}
		for _, n := range asked {
			c.Total += n
		}
		for _, n := range failed {
			c.Failed += n
		}
		return c
	}
	for name, c := range map[string]struct {
		counts        *Counts
		total, failed int
	}{
		"the main target fails":   {counts(map[string]int{"1": 90, "2": 5, "3": 5}, map[string]int{"1": 36, "2": 2}), 100, 38},
		"a target is dead":        {counts(map[string]int{"1": 20, "2": 40, "3": 40}, map[string]int{"1": 20, "2": 1}), 80, 1},
		"few sub-requests so far": {counts(map[string]int{"1": 9, "2": 1}, map[string]int{"1": 9}), 1, 0},
		"all targets fail":        {counts(map[string]int{"1": 30, "2": 30, "3": 30}, map[string]int{"1": 9, "2": 5, "3": 5}), 90, 19},
		"one target fails more":   {counts(map[string]int{"1": 30, "2": 30, "3": 30}, map[string]int{"1": 19, "2": 4, "3": 4}), 60, 8},
	} {
		total, failed := c.counts.withoutWorstTarget(3)
		if total != c.total || failed != c.failed {
			t.Errorf("%s: %d of %d, want %d of %d", name, failed, total, c.failed, c.total)
		}
	}
	bad := RouteCounts{Counts: Counts{Total: 2, Failed: 1, FailedByTarget: map[string]int{"1": 1, "2": 1}}}
	is.True(bad.Decode() != nil)
}

// Guards against steps that are taken without warm targets, too early, without evidence
// or after the end of the move.
func TestSteps(t *testing.T) {
	record := func(step string, share float64) control.MoveRecord {
		return control.MoveRecord{Service: "s", Version: "v2", TrialShare: 0.02, Step: step, Share: share, Deadline: startTime.Add(time.Minute)}
	}
	late := record(Waiting, 0)
	late.Deadline = startTime
	lateOnTrial := record(Trial, 0.02)
	lateOnTrial.Deadline = startTime
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
		"replicas from start":  {record(control.StepNew, 0), true, 0, 0, Trial, 0.02},
		"replicas removed":     {record(Ramping, 0.04), false, minSubrequests, 50 * time.Second, "", 0},
		"too early":            {record(Trial, 0.02), true, minSubrequests, time.Second, "", 0},
		"too few sub-requests": {record(Trial, 0.02), true, minSubrequests - 1, 50 * time.Second, "", 0},
		"growth":               {record(Trial, 0.02), true, minSubrequests, 50 * time.Second, Ramping, 0.04},
		"max partial share":    {record(Ramping, 0.64), true, minSubrequests, 50 * time.Second, Ramping, 0.9},
		"end":                  {record(Ramping, 0.9), true, minSubrequests, 50 * time.Second, Done, 1},
		"late without targets": {late, false, 0, time.Second, Late, 0},
		"late with targets":    {late, true, 0, time.Second, Late, 0.02},
		"late without traffic": {lateOnTrial, true, 0, time.Second, Late, 0.02},
		"late growth":          {lateOnTrial, true, minSubrequests, 2 * time.Second, Late, 0.04},
		"late end":             {record(Late, 0.9), true, minSubrequests, 70 * time.Second, Done, 1},
		"done":                 {record(Done, 1), true, minSubrequests, 50 * time.Second, "", 0},
		"reverted":             {reverted, true, minSubrequests, 50 * time.Second, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := Machine{step: c.record.Step, share: c.record.Share, changedAt: startTime}
			good := newCounts()
			for range c.samples {
				good.Total++
				good.observe(time.Millisecond)
			}
			now := startTime.Add(c.wait)
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

// Guards against a p-value that is not the tail of the hypergeometric distribution. The
// expected values can be computed by hand.
func TestFisher(t *testing.T) {
	is := is.New(t)
	near := func(got, want float64) { is.True(math.Abs(got-want) < 1e-9*want+1e-15) }
	near(fisher(3, 4, 1, 4), 17.0/70)
	near(fisher(5, 5, 0, 5), 1.0/252)
	near(fisher(1, 1, 0, 9), 0.1)
	is.Equal(fisher(0, 5, 5, 5), 1.0)
	is.Equal(fisher(0, 0, 0, 0), 1.0)
}

// BenchmarkErrorRates measures, with one simulation per iteration, the rate of good versions
// that are reverted, and for each fault the rate of bad versions that are not.
func BenchmarkErrorRates(b *testing.B) {
	b.Run("good", func(b *testing.B) {
		reverted, late := 0, 0
		for i := range b.N {
			r := newSimulation(uint64(1000+i), time.Minute, healthy).simulate(time.Minute)
			if r.record.Reverted {
				reverted++
			} else if r.record.Step != Done {
				late++
			}
		}
		b.ReportMetric(float64(reverted)/float64(b.N), "reverted/op")
		b.ReportMetric(float64(late)/float64(b.N), "late/op")
	})
	for name, c := range badVersions {
		b.Run(name, func(b *testing.B) {
			missed, longest, maxShare := 0, time.Duration(0), 0.0
			for i := range b.N {
				r := newSimulation(uint64(1000+i), time.Minute, c.version).simulate(2 * time.Minute)
				if !r.record.Reverted {
					missed++
					continue
				}
				longest, maxShare = max(longest, r.ended.Sub(r.faultVisible)), max(maxShare, r.maxShare)
			}
			b.ReportMetric(float64(missed)/float64(b.N), "missed/op")
			b.ReportMetric(longest.Seconds(), "s-longest")
			b.ReportMetric(maxShare, "share")
		})
	}
}

// BenchmarkObserve measures the cost of Observe, which runs for each sub-request on the
// query path.
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
