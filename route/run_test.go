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

// event is a step of a simulation at a time after its start.
type event struct {
	at time.Duration
	do func()
}

// simulatedReplica is a replica with 2 slots. It sheds sub-requests beyond maxInFlight.
type simulatedReplica struct {
	factor      float64 // of the processing time of a sub-request, 0 if the replica is down
	maxInFlight int
	slots       [2]time.Duration // time at which each slot is free
	inFlight    int
}

// simulation is a seeded simulation of one shard with 3 replicas, as seen by one host.
type simulation struct {
	table    *Table
	rng      *rand.Rand
	targets  []*control.Target
	replicas map[string]*simulatedReplica
	now      time.Duration
	queue    []event // sorted by time, the next event last

	firstSent, extraSent int
	// sent and shed count sub-requests since the fault began.
	sent      map[string]int
	shed      int
	latencies []time.Duration // of the answered queries
}

const (
	queryDeadline = 82 * time.Millisecond
	simulatedTime = 15 * time.Second
	budgetShare   = 0.05
)

func (s *simulation) after(d time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(s.queue, s.now+d, func(e event, t time.Duration) int { return cmp.Compare(t, e.at) })
	s.queue = slices.Insert(s.queue, i, event{s.now + d, do})
}

// query sends a first sub-request, hedges it and retries it within the budget.
func (s *simulation) query() {
	s.firstSent++
	began, done, excluded := s.now, false, map[string]bool{}
	budget := s.table.Budget("stok-bulucu")
	budget.CountFirst()
	var send func()
	sendExtra := func() {
		if !done && s.now-began < queryDeadline && budget.Spend(time.Time{}, budgetShare) {
			s.extraSent++
			send()
		}
	}
	send = func() {
		allow := func(t *control.Target) bool { return !s.table.SuspectCold(timeAt(s.now), t) }
		r, ok := s.table.Pick(timeAt(s.now), Choice{Service: "stok-bulucu", Replicas: s.targets, Exclude: excluded, Allow: allow})
		if !ok {
			return
		}
		excluded[r.Name] = true
		s.table.Start(timeAt(s.now), r)
		sent, ended := s.now, false
		end := func(o Outcome) {
			if !ended {
				ended = true
				s.table.Done(timeAt(s.now), r, r.Service, s.now-sent, o)
			}
		}
		took, o := s.serve(r)
		s.after(min(took, began+queryDeadline-s.now), func() {
			switch {
			case took > began+queryDeadline-sent:
				end(TimedOut)
			case o != Success:
				end(o)
				sendExtra()
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
	if delay, ok := s.table.HedgeAfter(timeAt(s.now), "stok-bulucu", 0.95); ok {
		s.after(delay, sendExtra)
	}
}

// serve returns the time that the replica needs for a sub-request that arrives now, and the
// outcome.
func (s *simulation) serve(r *control.Target) (time.Duration, Outcome) {
	b := s.replicas[r.Name]
	s.sent[r.Name]++
	if b.factor == 0 {
		return 500 * time.Microsecond, ConnectFailed
	}
	if b.inFlight >= b.maxInFlight {
		s.shed++
		return 300 * time.Microsecond, Shed
	}
	slot := slices.Index(b.slots[:], slices.Min(b.slots[:]))
	work := b.factor * float64(time.Millisecond) * (2 + 2*s.rng.ExpFloat64())
	b.slots[slot] = max(b.slots[slot], s.now) + time.Duration(work)
	b.inFlight++
	took := b.slots[slot] - s.now
	s.after(took, func() { b.inFlight-- })
	return took, Success
}

// simulate runs queries at a rate and calls change after 5 s.
func simulate(seed uint64, perSecond float64, change func(b map[string]*simulatedReplica)) *simulation {
	s := &simulation{table: newTable(), rng: rand.New(rand.NewPCG(seed, 9)), sent: map[string]int{}, replicas: map[string]*simulatedReplica{}}
	s.targets = newReplicas("izmir-a", "izmir-a", "izmir-a")
	for _, r := range s.targets {
		s.replicas[r.Name] = &simulatedReplica{factor: 1, maxInFlight: 8}
	}
	var arrive func()
	arrive = func() {
		s.query()
		if s.now < simulatedTime {
			s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/perSecond), arrive)
		}
	}
	s.after(0, arrive)
	s.after(5*time.Second, func() {
		change(s.replicas)
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

// TestReplicaFaults guards against a fault of one replica, or of all of them, that affects the
// answers or multiplies the load. 3 replicas with 2 slots and 4 ms per sub-request process
// 1,500 sub-requests per second.
func TestReplicaFaults(t *testing.T) {
	all := func(factor float64) func(map[string]*simulatedReplica) {
		return func(b map[string]*simulatedReplica) {
			for _, r := range b {
				r.factor = factor
			}
		}
	}
	tests := []struct {
		name        string
		perSecond   float64
		change      func(b map[string]*simulatedReplica)
		minAnswered float64       // minimum share of queries
		maxP99      time.Duration // maximum
		maxShareT0  float64       // maximum share of sub-requests to t0 since the fault began
	}{
		{"no fault", 500, all(1), 0.9999, 15 * time.Millisecond, 0.4},
		{"one replica 20 times slower", 500, func(b map[string]*simulatedReplica) { b["t0"].factor = 20 }, 0.999, 15 * time.Millisecond, 0.01},
		{"one replica goes down", 500, func(b map[string]*simulatedReplica) { b["t0"].factor = 0 }, 0.999, 15 * time.Millisecond, 0.01},
		{"one replica becomes cold", 500, func(b map[string]*simulatedReplica) { b["t0"].maxInFlight = 1 }, 0.999, 15 * time.Millisecond, 0.01},
		{"all replicas 3 times slower", 300, all(3), 0.999, 50 * time.Millisecond, 0.4},
		{"twice the capacity", 3000, all(1), 0.45, 50 * time.Millisecond, 0.4},
	}
	for _, test := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				is := is.New(t)
				s := simulate(seed, test.perSecond, test.change)
				answered := float64(len(s.latencies)) / float64(s.firstSent)
				p99 := s.latencies[len(s.latencies)*99/100]
				t0 := float64(s.sent["t0"]) / float64(s.sent["t0"]+s.sent["t1"]+s.sent["t2"])
				t.Logf("answered %.4f, p99 %s, extra %.4f, t0 %.4f, shed %d of %d", answered, p99,
					float64(s.extraSent)/float64(s.firstSent), t0, s.shed, s.firstSent)
				is.True(answered >= test.minAnswered)
				is.True(p99 <= test.maxP99)
				is.True(t0 <= test.maxShareT0)
				is.True(float64(s.extraSent) <= budgetShare*float64(s.firstSent)+defaultCapacity)
			})
		}
	}
}
