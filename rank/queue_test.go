package rank

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// kind is a kind of request that callers send to one target at random times.
type kind struct {
	rank                          int
	perSecond                     float64
	objective, deadline, takes    time.Duration
	asked, served, inTime, denied int
}

func suggestions(perSecond float64) *kind {
	return &kind{rank: 0, perSecond: perSecond, objective: 80 * ms, deadline: 800 * ms, takes: 9 * ms}
}

func searches(perSecond float64) *kind {
	return &kind{rank: 1, perSecond: perSecond, objective: 300 * ms, deadline: 2000 * ms, takes: 28 * ms}
}

func lookups(perSecond float64) *kind {
	return &kind{rank: 2, perSecond: perSecond, objective: 1500 * ms, deadline: 8000 * ms, takes: 220 * ms}
}

func (k *kind) share() float64 { return float64(k.served) / float64(k.asked) }

// punctual is the share of the requests that were answered within the objective.
func (k *kind) punctual() float64 { return float64(k.inTime) / float64(k.asked) }

type request struct {
	Terms
	kind *kind
	ends time.Time
}

// play lets the kinds compete for the slots of a target for 20 s. If equal, all have the same rank.
func play(slots int, equal bool, kinds ...*kind) {
	random := rand.New(rand.NewPCG(1, 2))
	var load, running []*request
	for _, k := range kinds {
		for at := start; at.Before(start.Add(20 * time.Second)); k.asked++ {
			at = at.Add(time.Duration(random.ExpFloat64() / k.perSecond * float64(time.Second)))
			t := Terms{Rank: k.rank, Objective: at.Add(k.objective), Deadline: at.Add(k.deadline), Since: at, ID: fmt.Sprint(k.rank, k.asked)}
			if equal {
				t.Rank, t.Objective = 0, time.Time{}
			}
			load = append(load, &request{Terms: t, kind: k})
		}
	}
	slices.SortFunc(load, func(a, b *request) int { return a.Since.Compare(b.Since) })
	var q Queue[*request]
	var again time.Time
	run := func(now time.Time, r *request) {
		r.ends = now.Add(r.kind.takes)
		running = append(running, r)
		slices.SortFunc(running, func(a, b *request) int { return a.ends.Compare(b.ends) })
	}
	for len(load)+len(running)+q.Len() > 0 {
		now := nextEvent(load, running, again)
		for len(running) > 0 && !running[0].ends.After(now) {
			r := running[0]
			running = running[1:]
			q.Observe(r.Rank, r.kind.takes)
			r.kind.served++
			if !now.After(r.Since.Add(r.kind.objective)) {
				r.kind.inTime++
			}
		}
		for len(load) > 0 && !load[0].Since.After(now) {
			r := load[0]
			load = load[1:]
			q.Arrive(now, &r.Terms)
			if q.Take(now, &r.Terms, Room{len(running), slots}) {
				run(now, r)
				continue
			}
			if _, ok := q.Admits(now, &r.Terms, Room{len(running), slots}); ok {
				q.Push(r.Terms, r)
			} else {
				r.kind.denied++
			}
		}
		for _, r := range q.Displace(now, Room{len(running), slots}) {
			r.kind.denied++
		}
		for {
			r, at, ok := q.Next(now, Room{len(running), slots})
			if again = at; !ok {
				break
			}
			run(now, r)
		}
	}
}

func nextEvent(load, running []*request, again time.Time) time.Time {
	next := again
	if len(load) > 0 && (next.IsZero() || load[0].Since.Before(next)) {
		next = load[0].Since
	}
	if len(running) > 0 && (next.IsZero() || running[0].ends.Before(next)) {
		next = running[0].ends
	}
	return next
}

// TestUrgentKindsFirst plays searches and suggestions that ask for nearly half more than a target takes. It guards
// against an order by deadline alone, in which suggestions, which are worth little after 80 ms, wait behind searches
// with 300 ms.
func TestUrgentKindsFirst(t *testing.T) {
	is := is.New(t)
	urgent, other := suggestions(40), searches(38)
	play(1, false, urgent, other)
	is.True(urgent.punctual() >= 0.95)
	is.True(other.share() >= (urgent.share()+other.share())/2/4) // no kind is served less than a quarter as often as all
	is.Equal(other.asked, other.served+other.denied)
	urgent, other = suggestions(40), searches(38)
	play(1, true, urgent, other)
	is.True(urgent.punctual() < 0.5) // the load shows the fault without ranks
}

// TestRanksOfOneKind plays searches of two ranks, as of two organisations, that together ask for half more than a target
// takes. It guards against an order by time alone, which serves both alike.
func TestRanksOfOneKind(t *testing.T) {
	is := is.New(t)
	high, low := searches(25), searches(28)
	low.rank = 2
	play(1, false, high, low)
	is.True(high.punctual() >= 0.95)
	is.True(low.share() >= (high.share()+low.share())/2/4)
}

// TestFloorOfTurns plays suggestions that alone ask for more than a target takes, beside a few searches. It guards
// against a lower rank that is never served, and against one that is served as often as the higher one.
func TestFloorOfTurns(t *testing.T) {
	is := is.New(t)
	urgent, other := suggestions(200), searches(10)
	play(1, false, urgent, other)
	all := float64(urgent.served+other.served) / float64(urgent.asked+other.asked)
	is.True(other.share() >= all/4)
	is.True(other.share() <= urgent.share())
}

// TestFloorOfRefused guards against a lower rank of which every request is refused before it waits at a target, so that
// its floor has nothing to serve.
func TestFloorOfRefused(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	full, high, low := Room{1, 1}, Terms{}, Terms{Rank: 1, Deadline: start.Add(time.Second)}
	q.Observe(0, 10*ms)
	for i := range 200 {
		q.Arrive(start, &high)
		q.Push(high, i)
	}
	for range 100 {
		q.Next(start, Room{0, 1})
	}
	_, ok := q.Admits(start, &low, full)
	is.True(!ok)
	for range 10 {
		q.Refuse(start, &low)
	}
	wait, ok := q.Admits(start, &low, full)
	is.True(ok && wait == 10*ms)
	q.Push(low, -1)
	next, _, _ := q.Next(start, Room{0, 1})
	is.Equal(next, -1)
}

// TestLastPlaceKept plays suggestions and few long lookups at two slots. It guards against lookups that hold both slots,
// so that each suggestion that comes meanwhile is late, and against slots that are kept free although nobody comes.
func TestLastPlaceKept(t *testing.T) {
	is := is.New(t)
	urgent, long := suggestions(40), lookups(4)
	play(2, false, urgent, long)
	is.True(urgent.punctual() >= 0.95)
	is.True(long.punctual() >= 0.95) // they wait no longer than they can
	urgent, long = suggestions(40), lookups(4)
	play(2, true, urgent, long)
	is.True(urgent.punctual() < 0.95)

	var q Queue[int]
	q.Observe(0, 9*ms)
	q.Observe(2, 220*ms)
	for i := range 2 {
		l := Terms{Rank: 2, Objective: start.Add(1500 * ms), Deadline: start.Add(8 * time.Second)}
		is.True(q.Take(start, &l, Room{i, 2})) // no request of a higher rank has come
	}
}

// TestKeptPlaceIsNoWait guards against a request that is refused for its wait although a place is free: the last one,
// which a lower rank is kept from for its sake.
func TestKeptPlaceIsNoWait(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	q.Observe(0, 10*ms)
	q.Push(Terms{Rank: 2, Deadline: start.Add(time.Second)}, 2)
	high, low := Terms{Deadline: start.Add(12 * ms)}, Terms{Rank: 3, Deadline: start.Add(12 * ms)}
	wait, ok := q.Admits(start, &high, Room{1, 2})
	is.True(ok && wait == 0)
	_, ok = q.Admits(start, &low, Room{1, 2}) // the waiter goes first
	is.True(!ok)
}

// TestHopelessRefusedAtOnce guards against a request that waits although it can't be answered before its deadline, as
// behind a burst of a higher rank: its caller would learn that only at the end of its time.
func TestHopelessRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	var q Queue[string]
	full := Room{1, 1}
	q.Observe(0, 10*ms)
	q.Observe(1, 30*ms)
	low := Terms{Rank: 1, Deadline: start.Add(75 * ms), ID: "low"}
	_, ok := q.Admits(start, &low, full)
	is.True(ok)
	q.Push(low, "low")
	for i := range 4 {
		is.Equal(len(q.Displace(start, full)), 0)
		high := Terms{Deadline: start.Add(time.Second), ID: fmt.Sprint(i)}
		q.Push(high, high.ID)
	}
	q.Push(Terms{Deadline: start.Add(time.Second)}, "last")
	is.Equal(q.Displace(start, full), []string{"low"}) // 50 ms of others and 30 ms of its own exceed 75 ms
	is.Equal(q.Counts[1], Counts{Refused: 1, Displaced: 1})
	late := Terms{Rank: 1, Deadline: start.Add(75 * ms)}
	wait, ok := q.Admits(start, &late, full)
	is.True(!ok && wait >= 50*ms)
}

// TestFirstToDrop guards against hedges and late parts that hold places which other callers need: with the same rank or
// a lower one, work that a response needs goes first, and a hedge never waits.
func TestFirstToDrop(t *testing.T) {
	is := is.New(t)
	soon, past, end := start.Add(300*ms), start.Add(-ms), start.Add(time.Second)
	waiting := map[string]Terms{
		"late part": {Rank: 0, Objective: past, Deadline: end, Spare: true},
		"needed":    {Rank: 0, Objective: past, Deadline: start.Add(200 * ms)},
		"in time":   {Rank: 0, Objective: soon, Deadline: end},
		"returned":  {Rank: 0, Objective: soon, Deadline: end, Standing: Returned},
		"repeating": {Rank: 0, Objective: soon, Deadline: end, Standing: Repeating},
		"low":       {Rank: 2, Objective: soon, Deadline: end},
		"hedge":     {Rank: 0, Objective: soon, Deadline: end, Hedge: true},
	}
	var q Queue[string]
	for name, terms := range waiting {
		q.Push(terms, name)
	}
	var order []string
	for q.Len() > 0 {
		name, _, _ := q.Next(start, Room{0, 1})
		order = append(order, name)
	}
	is.Equal(order, []string{"returned", "in time", "needed", "repeating", "low", "late part", "hedge"})
	hedge := waiting["hedge"]
	_, ok := q.Admits(start, &hedge, Room{1, 1})
	is.True(!ok)
	_, ok = q.Admits(start, &hedge, Room{0, 1})
	is.True(ok)
}

// TestSameOrderAtAllTargets guards against two requests to many shards that each get some of the shards first: they
// would both wait for the rest.
func TestSameOrderAtAllTargets(t *testing.T) {
	is := is.New(t)
	var requests []Terms
	for i := range 6 {
		requests = append(requests, Terms{Objective: start.Add(300 * ms), Deadline: start.Add(time.Second), Since: start, ID: fmt.Sprint(i)})
	}
	var first []string
	for range 8 {
		rand.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
		var q Queue[string]
		for _, r := range requests {
			q.Push(r, r.ID)
		}
		id, _, _ := q.Next(start, Room{0, 1})
		first = append(first, id)
	}
	is.Equal(len(slices.Compact(first)), 1)
}

// TestGathering guards against a request to many shards that takes slots at some of them although one that it needs
// has no room in time.
func TestGathering(t *testing.T) {
	terms := &Terms{Deadline: start.Add(100 * ms)}
	free, busy, full := ShardWait{0, 30 * ms}, ShardWait{60 * ms, 30 * ms}, ShardWait{90 * ms, 30 * ms}
	for _, test := range []struct {
		name   string
		shards []ShardWait
		spare  int
		wait   time.Duration
		ok     bool
	}{
		{"room everywhere", []ShardWait{free, free}, 0, 0, true},
		{"the worst shard in time", []ShardWait{free, busy, free}, 0, 60 * ms, true},
		{"one shard without room in time", []ShardWait{free, full, free}, 0, 90 * ms, false},
		{"it can be left out", []ShardWait{free, full, busy}, 1, 60 * ms, true},
		{"two of them can't", []ShardWait{full, full, busy}, 1, 90 * ms, false},
		{"all can", []ShardWait{full}, 1, 0, true},
		{"slow, but without a wait", []ShardWait{{0, time.Second}}, 0, 0, true},
	} {
		wait, ok := Gathering(start, terms, test.shards, test.spare)
		if ok != test.ok || wait != test.wait {
			t.Errorf("%s: %v %v", test.name, wait, ok)
		}
	}
}

// TestRanksBeyondTheLast guards against an index out of range for the ranks that operators may write.
func TestRanksBeyondTheLast(t *testing.T) {
	var q Queue[int]
	for i, r := range []int{math.MinInt, -1, Count, math.MaxInt} {
		terms := Terms{Rank: r, Deadline: start.Add(time.Second)}
		q.Arrive(start, &terms)
		q.Admits(start, &terms, Room{0, 1})
		q.Observe(r, cmp.Or(time.Duration(i), 1))
		q.Push(terms, i)
	}
	value, _, ok := q.Next(start, Room{0, 9})
	is.New(t).True(ok && value <= 1)
}

// BenchmarkDisplace measures the search for waiters to displace while all can be answered in time.
func BenchmarkDisplace(b *testing.B) {
	var q Queue[int]
	for r := range 3 {
		q.Observe(r, 9*ms)
	}
	for i := range 300 {
		q.Push(Terms{Rank: i % 3, Objective: start.Add(time.Duration(i) * ms), Deadline: start.Add(time.Minute)}, i)
	}
	b.ReportAllocs()
	for range b.N {
		q.Displace(start, Room{2, 2})
	}
}
