package route

import (
	"math"
	"time"

	"wasabirelay/control"
)

const (
	// farFactor is how much more a near replica may cost than one of another data
	// centre. At 2, a near replica of equal speed takes one sub-request at a time
	// more than a far one before work moves.
	farFactor = 2.0
	// defaultLatency stands in for replicas while none has been measured.
	defaultLatency = time.Millisecond
	// sampleWeight is the least weight of a new latency sample: the estimate covers
	// about the last 10 sub-requests at any rate.
	sampleWeight = 0.1
	// memory is the time constant with which samples lose their weight, and with
	// which the estimate of a replica without samples decays, so that a replica
	// that was slow is tried again.
	memory = 10 * time.Second
	// shedWeight is the weight of one reply in the share of shed replies.
	shedWeight = 0.25
	// shedMemory is the time constant with which shed replies are forgotten.
	shedMemory = 2 * time.Second
	// shedCost multiplies the cost of a replica that sheds everything by 1 + shedCost.
	shedCost = 8.0
)

// record is what is known about one incarnation of a target.
type record struct {
	name                  string
	incarnation, previous string
	replaced              bool
	inFlight              int

	// latency is the moving estimate in nanoseconds after samples samples, the
	// last of them at sampled.
	latency float64
	samples int
	sampled time.Time
	// shed is the share of shed replies, and failures that of failed sub-requests,
	// as moving averages between 0 and 1.
	shed, failures float64
	shedAt         time.Time
	// peerShed is the share of shed replies of the other replicas of the shard, as
	// of the last Pick; alone states that there was no other replica.
	peerShed float64
	alone    bool

	ejection
	drainingUntil time.Time
	// coldUntil is the time until which the target is treated as cold, coldHold how
	// long that is in all, and saidCold that the target said so.
	coldUntil time.Time
	coldHold  time.Duration
	saidCold  bool
}

// observe updates the moving averages.
func (r *record) observe(now time.Time, latency time.Duration, o Outcome) {
	switch o {
	case Success:
		r.sample(now, latency)
		r.failures *= 1 - failureWeight
		r.observeShed(now, 0)
	case TimedOut, Cancelled:
		// The true latency is at least this long. Without these samples, a replica
		// whose sub-requests all lose against their hedges would never look slow.
		if float64(latency) > r.latency {
			r.sample(now, latency)
		}
	case Shed:
		r.observeShed(now, 1)
	}
	if o == TimedOut || o == Failed || o == BadReply {
		r.failures += failureWeight * (1 - r.failures)
	}
}

// sample adds a latency. Its weight is that of a plain mean for the first samples.
func (r *record) sample(now time.Time, latency time.Duration) {
	r.samples++
	weight := max(1/float64(r.samples), sampleWeight)
	if r.samples > 1 {
		weight = max(weight, 1-decay(now.Sub(r.sampled), memory))
	}
	r.latency += weight * (float64(latency) - r.latency)
	r.sampled = now
}

func (r *record) observeShed(now time.Time, value float64) {
	shed := r.shedShare(now)
	r.shed = shed + shedWeight*(value-shed)
	r.shedAt = now
}

func (r *record) shedShare(now time.Time) float64 {
	return r.shed * decay(now.Sub(r.shedAt), shedMemory)
}

// estimate returns the learned latency in nanoseconds, lower the older it is.
func (r *record) estimate(now time.Time) float64 {
	return r.latency * decay(now.Sub(r.sampled), memory)
}

// decay returns what is left of a weight of 1 after the age.
func decay(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}

// candidate is a replica that may be picked.
type candidate struct {
	target *control.Target
	record *record
}

// priced is a candidate with its cost.
type priced struct {
	target *control.Target
	cost   float64
}

// field is a list of candidates that needs no allocation for up to 8 of them.
type field struct {
	few  [8]candidate
	n    int
	many []candidate
}

func (f *field) add(c candidate) {
	if f.n < len(f.few) {
		f.few[f.n] = c
	} else {
		f.many = append(f.many, c)
	}
	f.n++
}

func (f *field) at(i int) candidate {
	if i < len(f.few) {
		return f.few[i]
	}
	return f.many[i-len(f.few)]
}

// twoChoices compares two random candidates and returns the one of lower cost.
func (t *Table) twoChoices(now time.Time, f *field) (priced, bool) {
	if f.n == 0 {
		return priced{}, false
	}
	unknown := f.unknownLatency(now)
	i := t.intN(f.n)
	best := price(now, f.at(i), unknown)
	if f.n == 1 {
		return best, true
	}
	j := t.intN(f.n - 1)
	if j >= i {
		j++
	}
	if other := price(now, f.at(j), unknown); other.cost < best.cost {
		best = other
	}
	return best, true
}

// unknownLatency is what a replica without samples is taken to need: as much as
// the fastest candidate, so that it gets work and is measured.
func (f *field) unknownLatency(now time.Time) float64 {
	least := math.Inf(1)
	for i := range f.n {
		if r := f.at(i).record; r.samples > 0 {
			least = min(least, r.estimate(now))
		}
	}
	if math.IsInf(least, 1) {
		return float64(defaultLatency)
	}
	return least
}

func price(now time.Time, c candidate, unknown float64) priced {
	latency := unknown
	if c.record.samples > 0 {
		latency = c.record.estimate(now)
	}
	cost := latency * float64(c.record.inFlight+1) * (1 + shedCost*c.record.shedShare(now))
	return priced{c.target, cost}
}
