package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

// event is a step of a run at a time after its start.
type event struct {
	at time.Duration
	do func()
}

// backend is a simulated replica with 2 slots. It sheds above bears in flight.
type backend struct {
	factor float64 // of the time of a sub-request, 0 if the replica is dead
	bears  int
	slots  [2]time.Duration // when each is free
	load   int
}

// run is a seeded simulation of one shard with 3 replicas on one host.
type run struct {
	table    *Table
	rng      *rand.Rand
	targets  []*control.Target
	backends map[string]*backend
	now      time.Duration
	queue    []event // by time, the next one last

	first, extra int
	// sent and shed count sub-requests since the change.
	sent      map[string]int
	shed      int
	latencies []time.Duration // of the queries that were answered
}

const (
	runDeadline = 82 * time.Millisecond
	runLength   = 15 * time.Second
	runShare    = 0.05
)

func (s *run) after(d time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(s.queue, s.now+d, func(e event, t time.Duration) int { return cmp.Compare(t, e.at) })
	s.queue = slices.Insert(s.queue, i, event{s.now + d, do})
}

// query sends a first sub-request, hedges it and retries it within the budget.
func (s *run) query() {
	s.first++
	began, done, excluded := s.now, false, map[string]bool{}
	budget := s.table.Budget("stok-bulucu")
	budget.CountFirst()
	var send func()
	again := func() {
		if !done && s.now-began < runDeadline && budget.Spend(runShare) {
			s.extra++
			send()
		}
	}
	send = func() {
		allow := func(t *control.Target) bool { return !s.table.SuspectCold(at(s.now), t) }
		r, ok := s.table.Pick(at(s.now), Choice{Service: "stok-bulucu", Replicas: s.targets, Exclude: excluded, Allow: allow})
		if !ok {
			return
		}
		excluded[r.Name] = true
		s.table.Start(at(s.now), r)
		sent, ended := s.now, false
		end := func(o Outcome) {
			if !ended {
				ended = true
				s.table.Done(at(s.now), r, r.Service, s.now-sent, o)
			}
		}
		took, o := s.serve(r)
		s.after(min(took, began+runDeadline-s.now), func() {
			switch {
			case took > began+runDeadline-sent:
				end(TimedOut)
			case o != Success:
				end(o)
				again()
			case done:
				end(Cancelled)
			default:
				done = true
				end(o)
				s.latencies = append(s.latencies, s.now-began)
			}
		})
	}
	send()
	if delay, ok := s.table.HedgeAfter(at(s.now), "stok-bulucu", 0.95); ok {
		s.after(delay, again)
	}
}

// serve returns when the replica answers a sub-request that arrives now, and how.
func (s *run) serve(r *control.Target) (time.Duration, Outcome) {
	b := s.backends[r.Name]
	s.sent[r.Name]++
	if b.factor == 0 {
		return 500 * time.Microsecond, ConnectFailed
	}
	if b.load >= b.bears {
		s.shed++
		return 300 * time.Microsecond, Shed
	}
	slot := slices.Index(b.slots[:], slices.Min(b.slots[:]))
	work := b.factor * float64(time.Millisecond) * (2 + 2*s.rng.ExpFloat64())
	b.slots[slot] = max(b.slots[slot], s.now) + time.Duration(work)
	b.load++
	took := b.slots[slot] - s.now
	s.after(took, func() { b.load-- })
	return took, Success
}

// simulate runs sub-requests at a rate; change is called after 5 s.
func simulate(seed uint64, perSecond float64, change func(b map[string]*backend)) *run {
	s := &run{table: table(), rng: rand.New(rand.NewPCG(seed, 9)), sent: map[string]int{}, backends: map[string]*backend{}}
	s.targets = replicas("izmir-a", "izmir-a", "izmir-a")
	for _, r := range s.targets {
		s.backends[r.Name] = &backend{factor: 1, bears: 8}
	}
	var arrive func()
	arrive = func() {
		s.query()
		if s.now < runLength {
			s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/perSecond), arrive)
		}
	}
	s.after(0, arrive)
	s.after(5*time.Second, func() {
		change(s.backends)
		clear(s.sent)
	})
	for len(s.queue) > 0 {
		e := s.queue[len(s.queue)-1]
		s.queue = s.queue[:len(s.queue)-1]
		s.now = e.at
		e.do()
	}
	slices.Sort(s.latencies)
	return s
}

// TestRuns guards against a fault of one replica, or of all, that reaches the
// answers or multiplies the load. 3 replicas of 2 slots and 4 ms run 1,500
// sub-requests per second.
func TestRuns(t *testing.T) {
	all := func(factor float64) func(map[string]*backend) {
		return func(b map[string]*backend) {
			for _, r := range b {
				r.factor = factor
			}
		}
	}
	tests := []struct {
		name      string
		perSecond float64
		change    func(b map[string]*backend)
		answered  float64       // least share
		p99       time.Duration // largest
		t0        float64       // largest share of sub-requests to t0 since the change
	}{
		{"no fault", 500, all(1), 0.9999, 15 * time.Millisecond, 0.4},
		{"one replica 20 times slower", 500, func(b map[string]*backend) { b["t0"].factor = 20 }, 0.999, 15 * time.Millisecond, 0.01},
		{"one replica dies", 500, func(b map[string]*backend) { b["t0"].factor = 0 }, 0.999, 15 * time.Millisecond, 0.01},
		{"one replica turns cold", 500, func(b map[string]*backend) { b["t0"].bears = 1 }, 0.999, 15 * time.Millisecond, 0.01},
		{"all replicas 3 times slower", 300, all(3), 0.999, 50 * time.Millisecond, 0.4},
		{"twice the capacity", 3000, all(1), 0.45, 50 * time.Millisecond, 0.4},
	}
	for _, test := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				is := is.New(t)
				s := simulate(seed, test.perSecond, test.change)
				answered := float64(len(s.latencies)) / float64(s.first)
				p99 := s.latencies[len(s.latencies)*99/100]
				t0 := float64(s.sent["t0"]) / float64(s.sent["t0"]+s.sent["t1"]+s.sent["t2"])
				t.Logf("answered %.4f, p99 %s, extra %.4f, t0 %.4f, shed %d of %d", answered, p99,
					float64(s.extra)/float64(s.first), t0, s.shed, s.first)
				is.True(answered >= test.answered)
				is.True(p99 <= test.p99)
				is.True(t0 <= test.t0)
				is.True(float64(s.extra) <= runShare*float64(s.first)+burst)
			})
		}
	}
}
