package route

import (
	"math"
	"time"

	"wasabirelay/control"
	"wasabirelay/workload"
)

const (
	// remoteFactor is how many times the cost of a remote replica a replica in the same data
	// centre may have before the remote one is preferred. At 2, a replica in the same data
	// centre takes one more concurrent sub-request than a remote one of equal speed before
	// work shifts.
	remoteFactor = 2.0
	// defaultLatency is the assumed latency while no candidate has been measured.
	defaultLatency = time.Millisecond
	// minSampleWeight is the minimum weight of a new latency sample: at any request rate, the
	// estimate covers about the last 10 sub-requests.
	minSampleWeight = 0.1
	// latencyDecayTime is the time constant for the decay of older samples. The estimate of a
	// replica without new samples decays at the same rate, so that a slow replica is tried
	// again.
	latencyDecayTime = 10 * time.Second
	// shedWeight is the weight of one reply in the share of shed replies of a target.
	shedWeight = 0.25
	// shedDecayTime is the time constant for the decay of the share of shed replies.
	shedDecayTime = 2 * time.Second
	// shedCost is the weight of shed replies in the cost: a replica that sheds everything
	// costs 1 + shedCost times as much.
	shedCost = 8.0
)

// targetState is what this host has observed about one incarnation of a target.
type targetState struct {
	name                  string
	incarnation, previous string
	replaced              bool
	inFlight              int
	// work is nil unless Table.Contended is set.
	work *workload.Target

	// latency is the estimated latency in nanoseconds, samples the number of samples in it,
	// and sampled the time of the last one.
	latency float64
	samples int
	sampled time.Time
	// shed is the share of shed replies, and failures the share of failed sub-requests, both
	// as moving averages between 0 and 1. shedAt is the time of the last reply in shed.
	shed, failures float64
	shedAt         time.Time
	// peerShed is the share of shed replies of the other replicas of the shard at the last
	// Pick. noPeers is true if there was no other replica.
	peerShed float64
	noPeers  bool

	ejection
	drainingUntil time.Time
	// coldUntil is the time until which the target is treated as cold, and coldTime the length
	// of that period. reportedCold is true if the target itself replied that it is cold.
	coldUntil    time.Time
	coldTime     time.Duration
	reportedCold bool
}

// observe updates the moving averages with the outcome of a sub-request.
func (s *targetState) observe(now time.Time, latency time.Duration, o Outcome) {
	switch o {
	case Success:
		s.sample(now, latency)
		s.failures *= 1 - failureWeight
		s.observeShed(now, 0)
	case TimedOut, Cancelled:
		// The real latency is at least this long. Without these samples, a replica
		// whose sub-requests are all slower than their hedges would never appear slow.
		if float64(latency) > s.latency {
			s.sample(now, latency)
		}
	case Shed:
		s.observeShed(now, 1)
	}
	if o == TimedOut || o == Failed || o == BadReply {
		s.failures += failureWeight * (1 - s.failures)
	}
}

// sample adds a latency to the estimate. The first samples are weighted as in a plain mean.
func (s *targetState) sample(now time.Time, latency time.Duration) {
	s.samples++
	weight := max(1/float64(s.samples), minSampleWeight)
	if s.samples > 1 {
		weight = max(weight, 1-decay(now.Sub(s.sampled), latencyDecayTime))
	}
	s.latency += weight * (float64(latency) - s.latency)
	s.sampled = now
}

func (s *targetState) observeShed(now time.Time, value float64) {
	shed := s.shedShare(now)
	s.shed = shed + shedWeight*(value-shed)
	s.shedAt = now
}

func (s *targetState) shedShare(now time.Time) float64 {
	return s.shed * decay(now.Sub(s.shedAt), shedDecayTime)
}

// latencyEstimate returns the estimated latency in nanoseconds, which decays with the age of
// the last sample.
func (s *targetState) latencyEstimate(now time.Time) float64 {
	return s.latency * decay(now.Sub(s.sampled), latencyDecayTime)
}

// decay returns the factor that remains of a weight after the given age.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

// candidate is a replica that may be selected.
type candidate struct {
	target *control.Target
	state  *targetState
}

// scored is a candidate with its cost.
type scored struct {
	target *control.Target
	cost   float64
}

// candidates is a list of candidates that allocates only for more than 8 of them.
type candidates struct {
	inline   [8]candidate
	n        int
	overflow []candidate
}

func (f *candidates) add(c candidate) {
	if f.n < len(f.inline) {
		f.inline[f.n] = c
	} else {
		f.overflow = append(f.overflow, c)
	}
	f.n++
}

func (f *candidates) at(i int) candidate {
	if i < len(f.inline) {
		return f.inline[i]
	}
	return f.overflow[i-len(f.inline)]
}

// twoChoices selects by the power of two random choices: it compares two random candidates and
// returns the one with the lower cost.
func (t *Table) twoChoices(now time.Time, f *candidates) (scored, bool) {
	if f.n == 0 {
		return scored{}, false
	}
	unmeasured := f.unmeasuredLatency(now)
	i := t.intN(f.n)
	best := score(now, f.at(i), unmeasured)
	if f.n == 1 {
		return best, true
	}
	j := t.intN(f.n - 1)
	if j >= i {
		j++
	}
	if other := score(now, f.at(j), unmeasured); other.cost < best.cost {
		best = other
	}
	return best, true
}

// unmeasuredLatency returns the latency in nanoseconds that is assumed for a replica without
// samples: that of the fastest candidate, so that the replica gets work and is measured.
func (f *candidates) unmeasuredLatency(now time.Time) float64 {
	lowest := math.Inf(1)
	for i := range f.n {
		if r := f.at(i).state; r.samples > 0 {
			lowest = min(lowest, r.latencyEstimate(now))
		}
	}
	if math.IsInf(lowest, 1) {
		return float64(defaultLatency)
	}
	return lowest
}

func score(now time.Time, c candidate, unmeasured float64) scored {
	latency := unmeasured
	if c.state.samples > 0 {
		latency = c.state.latencyEstimate(now)
	}
	cost := latency * float64(c.state.inFlight+1) * (1 + shedCost*c.state.shedShare(now))
	return scored{c.target, cost}
}
