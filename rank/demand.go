package rank

import "time"

const (
	// rateTime is the time constant of the rate at which requests of a rank arrive.
	rateTime = time.Second
	// turnTime is the time constant within which a rank gets its floor.
	turnTime = 5 * time.Second
	// sampleWeight is the weight of one request in the averages of a rank.
	sampleWeight = 0.1
	// expected is the number of requests of higher ranks, within the time for which the last place would be taken, from
	// which on it is kept free: one is then as likely as not to need it.
	expected = 0.5
)

// demand is what is known about the requests of a rank at one target.
type demand struct {
	// arrivals is the number of arrivals that decays with rateTime; offered and served decay with turnTime.
	arrivals, offered, served float64
	arrived, counted          time.Time
	// held is how long a request holds its room, span the time from its arrival to its objective; both are averages.
	held, span time.Duration
}

func (d *demand) arrive(now time.Time, t *Terms) {
	d.arrivals = d.arrivalsAt(now) + 1
	d.arrived = now
	d.advance(now)
	d.offered++
	if !t.Objective.IsZero() {
		d.span = average(d.span, max(1, t.Objective.Sub(now)))
	}
}

func (d *demand) serve(now time.Time) {
	d.advance(now)
	d.served++
}

func (d *demand) observe(held time.Duration) { d.held = average(d.held, held) }

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// advance lets the counts of the floor decay.
func (d *demand) advance(now time.Time) {
	if now.Equal(d.counted) {
		return
	}
	keep := decay(now.Sub(d.counted), turnTime)
	d.offered, d.served, d.counted = d.offered*keep, d.served*keep, now
}

// arrivalsAt returns the decayed number of arrivals.
func (d *demand) arrivalsAt(now time.Time) float64 {
	if d.arrivals == 0 {
		return 0
	}
	return d.arrivals * decay(now.Sub(d.arrived), rateTime)
}

// held returns how long a request of the rank holds its room. A rank that has not been served yet counts like the others.
func (q *Queue[T]) held(r int) time.Duration {
	if held := q.ranks[r].held; held > 0 {
		return held
	}
	var sum time.Duration
	known := 0
	for i := range q.ranks {
		if held := q.ranks[i].held; held > 0 {
			sum, known = sum+held, known+1
		}
	}
	return sum / time.Duration(max(1, known))
}

// belowFloor reports whether the rank is owed a turn: it has been served, by a whole request or more, less than
// floorShare as often as all ranks.
func (q *Queue[T]) belowFloor(now time.Time, r int) bool {
	var offered, served float64
	for i := range q.ranks {
		d := &q.ranks[i]
		d.advance(now)
		offered, served = offered+d.offered, served+d.served
	}
	d := &q.ranks[r]
	return offered > 0 && floorShare*served/offered*d.offered-d.served >= 1
}

// reservedUntil returns when a request may take the last free place; zero if at once. It answers the load of few long
// requests of a low rank beside many short ones of a higher rank: one that takes the last place makes each of the
// others late that comes before a place is free again. The place is kept only if such a request is expected and would
// miss its objective, and not beyond the moment at which the low rank would miss its own.
func (q *Queue[T]) reservedUntil(now time.Time, t *Terms, room Room) time.Time {
	held := q.held(t.index())
	latest := aim(t, q.late(now, t)).Add(-held)
	if !latest.After(now) || q.owed(now, t) {
		return time.Time{}
	}
	taken := held / time.Duration(max(1, room.Limit))
	rate := 0.0
	for r := range t.index() {
		if d := &q.ranks[r]; d.span > 0 && taken+q.held(r) > d.span {
			rate += d.arrivalsAt(now) / rateTime.Seconds()
		}
	}
	if rate*taken.Seconds() < expected {
		return time.Time{}
	}
	if again := now.Add(taken); again.Before(latest) {
		return again
	}
	return latest
}
