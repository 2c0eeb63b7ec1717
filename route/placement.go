package route

import (
	"time"

	"wasabirelay/control"
	"wasabirelay/workload"
)

// placementChoices is the number of random candidates that are compared. With all of them, hosts that
// know the same would all pick the same target.
const placementChoices = 3

// placementRemoteFactor takes the place of remoteFactor. The expected completion includes the way to
// another data centre, so that it only prevents changes on small differences.
const placementRemoteFactor = 1.5

// minHedgeFactor and maxHedgeFactor bound the effect of the cost of a sub-request on its hedge delay.
const minHedgeFactor, maxHedgeFactor = 0.5, 4.0

// Work is what a sub-request is expected to cost.
type Work struct {
	Kind workload.Kind
	workload.Estimate
}

// HedgeDelay returns the delay after which a sub-request is hedged, from that of its route.
func (w *Work) HedgeDelay(ofRoute time.Duration) time.Duration {
	if w.Relative == 0 {
		return ofRoute
	}
	return time.Duration(min(max(w.Relative, minHedgeFactor), maxHedgeFactor) * float64(ofRoute))
}

// choiceReason is why placement has picked a target. Its value is an index of counters.
type choiceReason int

const (
	choiceNear     choiceReason = iota // the soonest in the same data centre
	choiceRemote                       // in another data centre, where it is done much sooner
	choiceOverdue                      // in another data centre, because replies nearby are overdue
	choiceAvoided                      // one to be avoided or ejected, because there is no other
	choiceDeadline                     // the only ones in time, of all
	choiceLate                         // none, because none would be done in time
	choiceReasons
)

var choiceReasonNames = [choiceReasons]string{"near", "remote", "overdue", "avoided", "deadline", "late"}

// placement is the state of a table with Contended.
type placement struct {
	costs   workload.Costs
	choices [choiceReasons]uint64
}

// Estimate returns the expected cost of sub-requests of the kind.
func (t *Table) Estimate(now time.Time, k workload.Kind) Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Work{Kind: k, Estimate: t.placement().costs.Estimate(now, k)}
}

// HedgeBound returns the time after which a hedge for a sub-request to the target may pay: one in 20 takes
// longer, and another replica would have been done by then. It returns 0 if that is unknown or if there is
// no other replica.
func (t *Table) HedgeBound(now time.Time, target *control.Target, c Choice) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Work.Bound == 0 {
		return 0
	}
	other := time.Duration(0)
	for _, r := range c.Replicas {
		state := t.state(r)
		if r == target || state.ejected || r.State != control.Warm || now.Before(state.drainingUntil) {
			continue
		}
		if cost := forecastOf(now, &c, candidate{r, state}).Cost; other == 0 || cost < other {
			other = cost
		}
	}
	if other == 0 {
		return 0
	}
	work := t.state(target).workload()
	own := work.Forecast(now, c.Work.Estimate, target.Slots, 1).Wait + time.Duration(work.Slowness(now)*float64(c.Work.Bound))
	return max(own, other)
}

// StartWork is Start with what the sub-request is expected to cost.
func (t *Table) StartWork(now time.Time, target *control.Target, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(target)
	state.inFlight++
	if t.Contended {
		state.workload().Start(now, w.Estimate, target.Slots)
	}
}

// DoneWork is Done for a sub-request that StartWork recorded. sinceSent is the part of the latency since
// its first byte was sent. It returns the expected time to the reply; 0 if it is unknown.
func (t *Table) DoneWork(now time.Time, target *control.Target, service string, w Work, latency, sinceSent time.Duration, o Outcome) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done(now, target, service, latency, o)
	if !t.Contended {
		return 0
	}
	work, started := t.state(target).workload(), now.Add(-latency)
	switch o {
	case Success:
		expected := work.End(now, started, true)
		t.placement().costs.Observe(now, w.Kind, work.ObserveSpeed(now, sinceSent, expected))
		return expected.Completion
	case Cancelled, TimedOut:
		// The reply would have taken longer, so that only a time above the expected one says
		// something about the target.
		if expected := work.Abandon(now, started); expected.Completion > 0 && sinceSent > expected.Completion {
			work.ObserveSpeed(now, sinceSent, expected)
		}
	default:
		work.End(now, started, o.HasReply())
	}
	return 0
}

func (t *Table) placement() *placement {
	if t.placed == nil {
		t.placed = &placement{}
	}
	return t.placed
}

func (s *targetState) workload() *workload.Target {
	if s.work == nil {
		s.work = &workload.Target{}
	}
	return s.work
}

// forecast is a candidate with the time at which it is expected to have done the sub-request.
type forecast struct {
	target *control.Target
	workload.Forecast
}

// place selects the target that is expected to be done soonest. One in the same data centre is
// preferred as in choose, unless its replies are overdue or the sub-request is urgent.
func (t *Table) place(now time.Time, c *Choice, local, remote, avoided, ejected *candidates) (*control.Target, bool) {
	best, ok := t.soonest(now, c, local)
	other, otherOK := t.soonest(now, c, remote)
	reason := choiceNear
	switch {
	case ok && otherOK && best.Silence > 0 && other.Cost < best.Cost:
		best, reason = other, choiceOverdue
	case ok && otherOK && (c.Urgent && other.Cost < best.Cost || float64(best.Cost) > placementRemoteFactor*float64(other.Cost)):
		best, reason = other, choiceRemote
	case !ok && otherOK:
		best, ok, reason = other, true, choiceRemote
	case !ok:
		reason = choiceAvoided
		if best, ok = t.soonest(now, c, avoided); !ok {
			best, ok = t.soonest(now, c, ejected)
		}
	}
	if ok && c.isLate(&best) {
		reason = choiceLate
		others := []*candidates{local, remote}
		if local.n+remote.n == 0 {
			others = []*candidates{avoided}
		}
		if best, ok = inTime(now, c, others); ok {
			reason = choiceDeadline
		}
	}
	if !ok && reason != choiceLate {
		return nil, false
	}
	t.placement().choices[reason]++
	return best.target, ok
}

// soonest returns the candidate that is expected to be done first, of some random ones.
func (t *Table) soonest(now time.Time, c *Choice, f *candidates) (forecast, bool) {
	var best forecast
	// The first candidates are drawn without replacement by selection sampling.
	for i, left := 0, min(f.n, placementChoices); left > 0; i++ {
		if f.n-i > left && t.intN(f.n-i) >= left {
			continue
		}
		left--
		if next := forecastOf(now, c, f.at(i)); best.target == nil || next.Cost < best.Cost {
			best = next
		} else if next.Cost == best.Cost && t.intN(2) == 0 {
			best = next
		}
	}
	return best, best.target != nil
}

// isLate reports whether the sub-request would not be done in time, as far as that is known.
func (c *Choice) isLate(f *forecast) bool {
	return c.Within > 0 && c.Work.Fresh && f.Completion-f.Silence > c.Within
}

// inTime returns the candidate that is expected to be done first of all that are in time.
func inTime(now time.Time, c *Choice, all []*candidates) (best forecast, ok bool) {
	for _, f := range all {
		for i := range f.n {
			if next := forecastOf(now, c, f.at(i)); !c.isLate(&next) && (!ok || next.Cost < best.Cost) {
				best, ok = next, true
			}
		}
	}
	return best, ok
}

func forecastOf(now time.Time, c *Choice, f candidate) forecast {
	e := c.Work.Estimate
	if e.Mean == 0 {
		e.Mean = defaultLatency
	}
	out := forecast{f.target, f.state.workload().Forecast(now, e, f.target.Slots, c.Hosts)}
	if shed := f.state.shedShare(now); shed > 0 {
		// A target that sheds counts as one to which all hosts have sent that much more: the work of the others counts
		// for all hosts, too.
		more := shedCost * shed * max(1, c.Hosts) * float64(e.Mean) / float64(max(1, f.target.Slots))
		out.Cost = time.Duration(float64(out.Cost)*(1+shedCost*shed) + more)
	}
	return out
}
