package route

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/workload"
)

// loadKind is a kind of sub-request: its share of the load, and its work on an ordinary target.
type loadKind struct {
	name  string
	share float64
	work  time.Duration
}

// load describes what several hosts send to the replicas of some shards.
type load struct {
	hosts, shards, slots int
	perSecond            float64 // of each shard
	kinds                []loadKind
	speeds               []float64     // of the replicas, which are in different data centres
	slowBy               float64       // of the slow replicas: none, one or two of a shard
	burst                float64       // factor of the load in the third quarter of the time
	pause, pauseEvery    time.Duration // of each replica
	mispredict           float64       // factor up or down of each prediction
	liar                 bool          // one replica of each shard announces 16 times its slots
	shared               bool          // each host knows at once what all have sent and seen
	length               time.Duration
}

// loadTarget is a replica with slots and a queue.
type loadTarget struct {
	*control.Target
	slow  float64
	phase time.Duration
	free  []time.Duration // when each slot is free
	queue int
}

// loadEvent is something that happens at a time.
type loadEvent struct {
	at time.Duration
	do func()
}

type loadEvents []loadEvent

func (q loadEvents) Len() int           { return len(q) }
func (q loadEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q loadEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *loadEvents) Push(x any)        { *q = append(*q, x.(loadEvent)) }
func (q *loadEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// finish returns when the target, which pauses now and then, has done work that begins at a time.
func (l *load) finish(t *loadTarget, begin, work time.Duration) time.Duration {
	if l.pauseEvery == 0 {
		return begin + work
	}
	for {
		cycle := (begin + t.phase) % l.pauseEvery
		if cycle < l.pause {
			begin += l.pause - cycle
			cycle = l.pause
		}
		if left := l.pauseEvery - cycle; work > left {
			begin, work = begin+left, work-left
			continue
		}
		return begin + work
	}
}

// chooser decides which of the replicas gets a sub-request.
type chooser func(replicas []*loadTarget) *loadTarget

// play plays the load and returns the times of the sub-requests of each kind, sorted.
func (l *load) play(seed uint64, contended bool, choose chooser) [][]time.Duration {
	rng := rand.New(rand.NewPCG(seed, 5))
	tables := make([]*Table, l.hosts)
	for i := range tables {
		tables[i] = &Table{
			Centre: fmt.Sprint("c", i%3), Rand: rand.New(rand.NewPCG(seed, uint64(i))), Contended: contended, targets: map[string]*targetState{},
		}
		if l.shared {
			tables[i].targets, tables[i].placed = tables[0].targets, tables[0].placement()
		}
	}
	shards, plain := make([][]*loadTarget, l.shards), make([][]*control.Target, l.shards)
	for s := range shards {
		offset, slowed := rng.IntN(len(l.speeds)), s%7 // all combinations of slow replicas but that of all three
		for r := range l.speeds {
			t := &loadTarget{
				Target: &control.Target{
					Name: fmt.Sprintf("t%d-%d", s, r), Incarnation: "1", Service: fmt.Sprint("s", s), Centre: fmt.Sprint("c", r%3), State: control.Warm, Slots: l.slots,
				},
				slow: l.speeds[(r+offset)%len(l.speeds)], phase: time.Duration(rng.Int64N(int64(l.pauseEvery + 1))), free: make([]time.Duration, l.slots),
			}
			if slowed&(1<<r) != 0 {
				t.slow *= l.slowBy
			}
			if r == 0 && l.liar {
				t.Slots *= 16
			}
			shards[s], plain[s] = append(shards[s], t), append(plain[s], t.Target)
		}
	}
	hosts := float64(l.hosts)
	if l.shared {
		hosts = 1
	}
	times := make([][]time.Duration, len(l.kinds))
	var events loadEvents
	now := time.Duration(0)
	after := func(at time.Duration, do func()) { heap.Push(&events, loadEvent{at, do}) }
	send := func(shard int) {
		host, k, x := rng.IntN(l.hosts), 0, rng.Float64()
		for x -= l.kinds[0].share; x > 0 && k < len(l.kinds)-1; x -= l.kinds[k].share {
			k++
		}
		kind, table := &l.kinds[k], tables[host]
		w := Work{}
		if contended {
			w = table.Estimate(timeAt(now), workload.NewKind(kind.name, "GET", "", "", 0))
			if l.mispredict > 0 {
				f := math.Pow(l.mispredict, float64(2*rng.IntN(2)-1))
				w.Mean, w.Bound = time.Duration(f*float64(w.Mean)), time.Duration(f*float64(w.Bound))
			}
		}
		var t *loadTarget
		if choose != nil {
			t = choose(shards[shard])
		} else {
			picked, ok := table.Pick(timeAt(now), Choice{Service: fmt.Sprint("s", shard), Replicas: plain[shard], Work: w, Hosts: hosts})
			if !ok {
				return
			}
			t = shards[shard][slices.Index(plain[shard], picked)]
		}
		table.StartWork(timeAt(now), t.Target, w)
		hop := 100 * time.Microsecond
		if t.Centre != fmt.Sprint("c", host%3) {
			hop = 1400 * time.Microsecond
		}
		work := float64(kind.work) * t.slow * math.Exp(0.35*rng.NormFloat64()-0.06)
		if rng.IntN(100) == 0 {
			work *= 5
		}
		sent := now
		after(now+hop, func() {
			slot := slices.Index(t.free, slices.Min(t.free))
			t.free[slot] = l.finish(t, max(now, t.free[slot]), time.Duration(work))
			t.queue++
			after(t.free[slot]+hop, func() {
				t.queue--
				took := now - sent
				table.DoneWork(timeAt(now), t.Target, kind.name, w, took, took, Success)
				if sent > l.length/5 { // the hosts know nothing at the start
					times[k] = append(times[k], took)
				}
			})
		})
	}
	for s := range shards {
		var arrive func()
		arrive = func() {
			send(s)
			rate := l.perSecond
			if now > l.length/2 && now < l.length*3/4 {
				rate *= max(1, l.burst)
			}
			if next := now + time.Duration(rng.ExpFloat64()*float64(time.Second)/rate); next < l.length {
				after(next, arrive)
			}
		}
		after(time.Duration(rng.Int64N(int64(10*time.Millisecond))), arrive)
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(loadEvent)
		now = e.at
		e.do()
	}
	for k := range times {
		slices.Sort(times[k])
	}
	return times
}

func mean(times []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range times {
		sum += d
	}
	return sum / time.Duration(max(1, len(times)))
}

func quantile(times []time.Duration, q float64) time.Duration {
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// slower returns the share of the times above a bound.
func slower(times []time.Duration, bound time.Duration) float64 {
	i, _ := slices.BinarySearch(times, bound)
	return 1 - float64(i)/float64(len(times))
}

// shardLoad is a listing and a suggestion on shards whose replicas are of uneven speed and pause now and then.
func shardLoad(hosts int) load {
	return load{
		hosts: hosts, shards: 14, slots: 4, perSecond: 160, kinds: []loadKind{{"listing", 0.75, 20 * time.Millisecond}, {"suggestion", 0.25, 7 * time.Millisecond}},
		speeds: []float64{0.8, 1, 1.3}, slowBy: 3, burst: 1.6, pause: 200 * time.Millisecond, pauseEvery: 4500 * time.Millisecond, length: 20 * time.Second,
	}
}

// lookupLoad is a heavy and a light kind on the same 11 targets.
func lookupLoad(hosts int) load {
	return load{
		hosts: hosts, shards: 2, slots: 4, perSecond: 500, kinds: []loadKind{{"light", 0.85, 8 * time.Millisecond}, {"heavy", 0.15, 180 * time.Millisecond}},
		speeds: []float64{0.8, 1, 1.3, 0.8, 1, 1.3, 0.8, 1, 1.3, 0.8, 1}, slowBy: 3, length: 40 * time.Second,
	}
}

// idleQueue joins a replica that has a free slot, or a random one. It knows the free slots without delay.
func idleQueue() chooser {
	rng := rand.New(rand.NewPCG(1, 77))
	return func(replicas []*loadTarget) *loadTarget {
		var idle []*loadTarget
		for _, t := range replicas {
			if t.queue < len(t.free) {
				idle = append(idle, t)
			}
		}
		if len(idle) == 0 {
			idle = replicas
		}
		return idle[rng.IntN(len(idle))]
	}
}

// TestPlacementUnderLoad guards against a choice that callers gain nothing from: by latency alone, a
// fifth more of the sub-requests take over 100 ms, so that a request to many shards is late. It answers
// the load of uneven replicas of which some are three times slower.
func TestPlacementUnderLoad(t *testing.T) {
	const late = 100 * time.Millisecond
	for _, hosts := range []int{7, 31, 62} {
		l := shardLoad(hosts)
		l.length = 10 * time.Second
		byLatency := l.play(uint64(hosts), false, nil)
		tests := []struct {
			name             string
			mispredict       float64
			liar             bool
			maxMean, maxLate float64 // of those by latency
		}{
			{"placed", 0, false, 0.95, 0.87},
			{"costs mispredicted by 3", 3, false, 1.02, 1},
			{"a target announces 16 times its slots", 0, true, 1.02, 1},
		}
		for _, test := range tests {
			t.Run(fmt.Sprint(test.name, hosts), func(t *testing.T) {
				is := is.New(t)
				l.mispredict, l.liar = test.mispredict, test.liar
				placed := l.play(uint64(hosts), true, nil)
				meanRatio := float64(mean(placed[0])) / float64(mean(byLatency[0]))
				lateRatio := slower(placed[0], late) / slower(byLatency[0], late)
				t.Logf("of those by latency: mean %.3f, late %.3f", meanRatio, lateRatio)
				is.True(meanRatio <= test.maxMean)
				is.True(lateRatio <= test.maxLate)
			})
		}
	}
}

// BenchmarkChoosers reports the times of sub-requests for the choosers that docs/design/placement.md weighs.
func BenchmarkChoosers(b *testing.B) {
	for _, hosts := range []int{7, 31, 62, 300} {
		for name, base := range map[string]load{"shards": shardLoad(hosts), "lookups": lookupLoad(hosts)} {
			run := func(chooser string, change func(*load), contended bool, choose chooserOf) {
				b.Run(fmt.Sprint(name, "/hosts=", hosts, "/", chooser), func(b *testing.B) {
					l := base
					change(&l)
					for b.Loop() {
						for k, times := range l.play(1, contended, choose()) {
							for unit, v := range map[string]time.Duration{"mean": mean(times), "p99": quantile(times, 0.99), "p99.9": quantile(times, 0.999)} {
								b.ReportMetric(float64(v)/float64(time.Millisecond), l.kinds[k].name+"-"+unit+"-ms")
							}
							b.ReportMetric(slower(times, 100*time.Millisecond), l.kinds[k].name+"-late")
						}
					}
				})
			}
			none := func() chooser { return nil }
			run("latency", func(*load) {}, false, none)
			run("idle", func(*load) {}, false, idleQueue)
			run("placed", func(*load) {}, true, none)
			run("mispredicted", func(l *load) { l.mispredict = 3 }, true, none)
			run("liar", func(l *load) { l.liar = true }, true, none)
			run("shared", func(l *load) { l.shared = true }, true, none)
		}
	}
}

type chooserOf func() chooser
