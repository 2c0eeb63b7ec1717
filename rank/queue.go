package rank

import (
	"cmp"
	"slices"
	"time"
)

// floorShare is the share of requests served, relative to that of all ranks, below which a rank gets the next turn
// although higher ranks wait. Callers of no rank may be served less than a quarter as often as all; a third leaves a
// margin, and keeps a lower rank from being served as often as a higher one.
const floorShare = 1.0 / 3

// Room is the room at a target when a decision is made.
type Room struct {
	// InUse counts the sub-requests in flight, Limit is how many may be.
	InUse, Limit int
}

func (r Room) free() int { return r.Limit - r.InUse }

// Queue holds the requests that wait for room at one target. It answers the load of several kinds of requests that
// together ask for more than the target takes: without an order among them, lookups with seconds of time hold the
// slots that suggestions need within milliseconds. It is not safe for concurrent use.
type Queue[T comparable] struct {
	waiters []waiter[T]
	ranks   [Count]demand
	// Counts says what has become of the requests of each rank.
	Counts [Count]Counts
}

// Counts says what has become of the requests of a rank at a target.
type Counts struct {
	// Waiting is the number of requests that wait now.
	Waiting int
	// Served counts the requests that got a turn, Refused those that could not be served in time, Displaced those of
	// them that waited when a request that goes first made that so.
	Served, Refused, Displaced uint64
}

// Add adds the counts of the rank at another target.
func (c *Counts) Add(o Counts) {
	c.Waiting += o.Waiting
	c.Served += o.Served
	c.Refused += o.Refused
	c.Displaced += o.Displaced
}

type waiter[T comparable] struct {
	Terms
	value T
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// Arrive records that a request asks for room, whatever becomes of it.
func (q *Queue[T]) Arrive(now time.Time, t *Terms) { q.ranks[t.index()].arrive(now, t) }

// Observe records for how long a request of the rank held its room.
func (q *Queue[T]) Observe(r int, held time.Duration) { q.ranks[clamp(r)].observe(held) }

// ObserveFailed records for how long a request that was not served held its room: being served takes at least as long.
func (q *Queue[T]) ObserveFailed(r int, held time.Duration) {
	if held > q.ranks[clamp(r)].held {
		q.Observe(r, held)
	}
}

// Take gives a free place to a request that comes while none waits, and reports whether it did. The time that the work
// is likely to take doesn't matter then: refusing it would help nobody.
func (q *Queue[T]) Take(now time.Time, t *Terms, room Room) bool {
	if len(q.waiters) > 0 || room.free() <= 0 || room.free() == 1 && q.reservedUntil(now, t, room).After(now) {
		return false
	}
	q.serve(now, t.index())
	return true
}

func (q *Queue[T]) serve(now time.Time, r int) {
	q.ranks[r].serve(now)
	q.Counts[r].Served++
}

// Push adds a request that waits.
func (q *Queue[T]) Push(t Terms, value T) {
	q.waiters = append(q.waiters, waiter[T]{t, value})
	q.Counts[t.index()].Waiting++
}

// Remove removes a request that waits no longer, and reports whether it waited.
func (q *Queue[T]) Remove(value T) bool {
	i := slices.IndexFunc(q.waiters, func(w waiter[T]) bool { return w.value == value })
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

func (q *Queue[T]) remove(i int) waiter[T] {
	w := q.waiters[i]
	q.Counts[w.index()].Waiting--
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return w
}

// Clear removes and returns all requests.
func (q *Queue[T]) Clear() []T {
	var all []T
	for i := range q.waiters {
		all = append(all, q.waiters[i].value)
	}
	q.waiters = nil
	for i := range q.Counts {
		q.Counts[i].Waiting = 0
	}
	return all
}

// Wait returns how long a request would wait if it came now, and for how long it would hold its room. A rank that has got
// less than its floor goes next.
func (q *Queue[T]) Wait(now time.Time, t *Terms, room Room) (wait, held time.Duration) {
	held = q.held(t.index())
	ahead, before := held, 0 // one of those in flight ends first
	if !q.owed(now, t) {
		for i := range q.waiters {
			if q.compare(now, &q.waiters[i].Terms, t) <= 0 {
				ahead += q.held(q.waiters[i].index())
				before++
			}
		}
	}
	if room.free() > before {
		return 0, held
	}
	return ahead / time.Duration(max(1, room.Limit)), held
}

// Admits reports whether a request that comes now may wait, and how long that takes. It may not if it can't be answered
// before its deadline any more; a hedge may not wait at all, since the shard is being asked already.
func (q *Queue[T]) Admits(now time.Time, t *Terms, room Room) (wait time.Duration, ok bool) {
	wait, held := q.Wait(now, t, room)
	inTime := t.Deadline.IsZero() || !now.Add(wait+held).After(t.Deadline)
	ok = inTime && (!t.Hedge || room.free() > len(q.waiters))
	if !ok {
		q.Counts[t.index()].Refused++
	}
	return wait, ok
}

// Refuse records that a request which needed room here was refused elsewhere, so that its rank still gets its floor.
func (q *Queue[T]) Refuse(now time.Time, t *Terms) {
	q.Arrive(now, t)
	q.Counts[t.index()].Refused++
}

// Displace removes and returns the requests that can't be answered before their deadline any more, given what goes
// first. Nothing of a request that waits has been sent, so that its refusal is true.
func (q *Queue[T]) Displace(now time.Time, room Room) []T {
	if !q.mayDisplace(now, room) {
		return nil
	}
	var out []T
	ahead := time.Duration(0)
	for _, w := range q.order(now) {
		held := q.held(w.index())
		start := now.Add(ahead / time.Duration(max(1, room.Limit)))
		late := !w.Deadline.IsZero() && start.Add(held).After(w.Deadline)
		if late && (ahead == 0 || !q.belowFloor(now, w.index())) {
			q.Remove(w.value)
			q.Counts[w.index()].Displaced++
			q.Counts[w.index()].Refused++
			out = append(out, w.value)
			continue
		}
		ahead += held
	}
	return out
}

// mayDisplace reports whether a request could not be answered before its deadline if all others went first. It is cheap
// beside their order, and mostly false.
func (q *Queue[T]) mayDisplace(now time.Time, room Room) bool {
	all := time.Duration(0)
	for i := range q.waiters {
		all += q.held(q.waiters[i].index())
	}
	for i := range q.waiters {
		w := &q.waiters[i].Terms
		held := q.held(w.index())
		start := now.Add((all - held) / time.Duration(max(1, room.Limit)))
		if !w.Deadline.IsZero() && start.Add(held).After(w.Deadline) {
			return true
		}
	}
	return false
}

// Next removes and returns the request that gets the next free place. It reports false if there is none; again is then
// the time at which a request that was kept from the last place may have it, or zero.
func (q *Queue[T]) Next(now time.Time, room Room) (value T, again time.Time, ok bool) {
	if len(q.waiters) == 0 || room.free() <= 0 {
		return value, again, false
	}
	best := q.first(now)
	w := &q.waiters[best]
	if room.free() == 1 {
		if again = q.reservedUntil(now, &w.Terms, room); again.After(now) {
			return value, again, false
		}
	}
	served := q.remove(best)
	q.serve(now, served.index())
	return served.value, time.Time{}, true
}

// first returns the index of the waiter that goes next: the first one of the order, or that of a rank below its floor.
func (q *Queue[T]) first(now time.Time) int {
	best := -1
	for i := range q.waiters {
		if best < 0 || q.before(now, i, best) {
			best = i
		}
	}
	return best
}

func (q *Queue[T]) before(now time.Time, i, j int) bool {
	a, b := &q.waiters[i].Terms, &q.waiters[j].Terms
	if owedA, owedB := q.owed(now, a), q.owed(now, b); owedA != owedB {
		return owedA
	}
	return q.compare(now, a, b) < 0
}

// owed reports whether a waiter goes first because its rank is below its floor.
func (q *Queue[T]) owed(now time.Time, t *Terms) bool {
	return !t.Hedge && t.Standing != Repeating && q.belowFloor(now, t.index())
}

// order returns the waiters in the order in which they are served, leaving floors aside.
func (q *Queue[T]) order(now time.Time) []waiter[T] {
	return slices.SortedStableFunc(slices.Values(q.waiters), func(a, b waiter[T]) int { return q.compare(now, &a.Terms, &b.Terms) })
}

// compare orders requests by what their callers lose if they go last: first hedges go last, then parts that are late and
// that a response can do without, then lower ranks. In a rank, those go first that still make their objective, of these
// callers that have returned as told, and then by the last moment at which the work can start.
func (q *Queue[T]) compare(now time.Time, a, b *Terms) int {
	lateA, lateB := q.late(now, a), q.late(now, b)
	return cmp.Or(
		compareBool(a.Hedge, b.Hedge),
		compareBool(a.Spare && lateA, b.Spare && lateB),
		cmp.Compare(a.index(), b.index()),
		compareBool(a.Standing == Repeating, b.Standing == Repeating),
		compareBool(lateA, lateB),
		cmp.Compare(a.Standing, b.Standing),
		compareTime(aim(a, lateA), aim(b, lateB)),
		a.Since.Compare(b.Since),
		cmp.Compare(a.ID, b.ID),
	)
}

// late reports whether the work can't make the objective of the request any more.
func (q *Queue[T]) late(now time.Time, t *Terms) bool {
	return !t.Objective.IsZero() && now.Add(q.held(t.index())).After(t.Objective)
}

// aim returns when the request should be answered: the work of a rank takes the same time at a target, so that this
// orders by the last moment at which it can start.
func aim(t *Terms, late bool) time.Time {
	if late || t.Objective.IsZero() {
		return t.Deadline
	}
	return t.Objective
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// compareTime orders the zero time, which stands for none, last.
func compareTime(a, b time.Time) int {
	return cmp.Or(compareBool(a.IsZero(), b.IsZero()), a.Compare(b))
}
