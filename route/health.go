package route

import (
	"slices"
	"time"

	"wasabirelay/control"
)

const (
	// failureWeight is the weight of one sub-request in the share of failures: three
	// failures in a row exceed failureLimit.
	failureWeight = 0.2
	// failureLimit is the share of failures above which a target is an outlier.
	failureLimit = 0.4
	// failureFactor is how far the share of failures must exceed that of the other
	// replicas: a fault that all replicas have is no reason to eject one.
	failureFactor = 3.0
	// slowFactor is how far the latency must exceed that of the other replicas.
	slowFactor = 5.0
	// slowMargin is the least difference in latency. It exceeds the round trip between
	// data centres of 2 ms, which would eject distant replicas that answer fast.
	slowMargin = 5 * time.Millisecond
	// slowSamples is the number of samples that a latency verdict needs.
	slowSamples = 5
	// firstInterval and lastInterval bound the time to the first and later probes
	// of an ejected target. It doubles with each probe that fails. A target that loses a
	// part of its replies passes many probes, and each time fails requests again.
	firstInterval = 1500 * time.Millisecond
	lastInterval  = 30 * time.Second
	// intervalJitter spreads the probes of different hosts.
	intervalJitter = 0.2
	// settle is how long a target must stay healthy for the interval to start over.
	settle = 20 * time.Second
	// probeHold bounds how long a probe that was picked, but never sent, keeps
	// others from being sent.
	probeHold = time.Second
	// coldFirst and coldLast bound how long a target is treated as cold after a
	// reply that says so. The time doubles if the next such reply comes soon after
	// it. It is short at first, because a warm target of 2 slots sheds now and then
	// when the sub-requests of several hosts meet.
	coldFirst = 250 * time.Millisecond
	coldLast  = 16 * time.Second
	// overloadShare is the share of shed replies of the peers above which they count
	// as overloaded: 4 in a row for a service, 1 for a replica.
	overloadShare = 0.1
)

// reason is why a target is ejected; it is the label of the metric.
type reason string

const (
	unreachable reason = "connection"
	failing     reason = "failures"
	slow        reason = "latency"
)

// ejection is the part of a record that takes a target out of selection.
type ejection struct {
	ejected bool
	reason  reason
	// since is when the target was ejected or, if it is healthy, reinstated.
	since time.Time
	// interval is the current time between probes, due the time of the next one.
	interval time.Duration
	due      time.Time
	// probing is the time until which a probe is under way.
	probing time.Time
}

// judge ejects replicas that are outliers among the replicas of a shard. At most
// all but one are ejected.
func (t *Table) judge(now time.Time, replicas []*control.Target) {
	var buffer [8]*record
	peers := buffer[:0]
	for _, r := range replicas {
		if rec := t.record(r); !rec.ejected {
			peers = append(peers, rec)
		}
	}
	compareShed(now, peers)
	for i := 0; i < len(peers) && len(peers) > 1; i++ {
		if why, bad := outlier(now, peers[i], peers); bad {
			t.eject(now, peers[i], why)
			peers = slices.Delete(peers, i, i+1)
			i--
		}
	}
}

// compareShed notes what the peers of each replica shed. If all replicas of a shard
// are suspected to be cold, the cause is overload, and none is.
func compareShed(now time.Time, peers []*record) {
	suspected := 0
	for _, rec := range peers {
		if rec.alone = len(peers) < 2; rec.alone {
			return
		}
		rec.peerShed = median(peers, rec, func(p *record) (float64, bool) { return p.shedShare(now), true })
		if now.Before(rec.coldUntil) && !rec.saidCold {
			suspected++
		}
	}
	if suspected == len(peers) {
		for _, rec := range peers {
			rec.coldUntil = now
		}
	}
}

// outlier compares a replica with its peers.
func outlier(now time.Time, r *record, peers []*record) (reason, bool) {
	if r.failures > failureLimit {
		others := median(peers, r, func(p *record) (float64, bool) { return p.failures, true })
		if r.failures > failureFactor*others {
			return failing, true
		}
	}
	if r.samples < slowSamples {
		return "", false
	}
	others := median(peers, r, func(p *record) (float64, bool) { return p.latency, p.samples >= slowSamples })
	if others == 0 {
		return "", false
	}
	latency := r.estimate(now)
	return slow, latency > slowFactor*others && latency > others+float64(slowMargin)
}

// median returns the lower median of a value of the peers other than r, or 0 if
// none has it.
func median(peers []*record, r *record, value func(*record) (float64, bool)) float64 {
	var buffer [8]float64
	values := buffer[:0]
	for _, p := range peers {
		if p == r {
			continue
		}
		if v, ok := value(p); ok {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// judgeOutcome ejects on the first connection error, and reinstates an ejected
// target or extends its ejection after a sub-request that was sent since. A probe
// that lost against its hedge failed: without that, a slow target gets the next
// probe at once, and has one sub-request of each host at all times.
func (t *Table) judgeOutcome(now time.Time, r *record, sent time.Time, o Outcome, lost bool) {
	if !r.ejected {
		if o == ConnectFailed || o == Reset {
			t.eject(now, r, unreachable)
		}
		return
	}
	if sent.Before(r.since) {
		return
	}
	switch {
	case o == Success:
		t.reinstate(now, r, now.Sub(sent))
	case lost, o == ConnectFailed, o == Reset, o == BadReply, o == TimedOut, o == Failed:
		t.extend(now, r)
	default:
		r.probing = time.Time{}
	}
}

func (t *Table) eject(now time.Time, r *record, why reason) {
	t.counts.ejected(why)
	if r.interval == 0 || now.Sub(r.since) > settle {
		r.interval = firstInterval / 2 // extend doubles it
	}
	r.ejected, r.reason, r.since = true, why, now
	t.extend(now, r)
	t.judged(now, r)
}

// judged reports a change of the ejection of a target.
func (t *Table) judged(now time.Time, r *record) {
	if t.OnAssessment == nil {
		return
	}
	j := Assessment{
		Target: r.name, Incarnation: r.incarnation, Ejected: r.ejected, Latency: time.Duration(r.latency),
		Failures: r.failures, Shed: r.shedShare(now),
	}
	if r.ejected {
		j.Reason, j.ProbeAfter = string(r.reason), r.due.Sub(now)
	}
	t.OnAssessment(j)
}

// extend sets the time of the next probe.
func (t *Table) extend(now time.Time, r *record) {
	r.interval = min(2*r.interval, lastInterval)
	jitter := 1 + intervalJitter*(2*t.random().Float64()-1)
	r.due = now.Add(time.Duration(float64(r.interval) * jitter))
	r.probing = time.Time{}
}

// reinstate returns the target to selection with the latency of the probe, which
// the next Pick compares with that of the peers.
func (t *Table) reinstate(now time.Time, r *record, latency time.Duration) {
	r.ejected, r.since, r.probing = false, now, time.Time{}
	r.failures = 0
	r.latency, r.sampled = float64(latency), now
	t.judged(now, r)
}

// probe returns an ejected replica that is due for a probe. One probe of a target
// is under way at a time.
func (t *Table) probe(now time.Time, out *field) (*control.Target, bool) {
	for i := range out.n {
		c := out.at(i)
		if now.Before(c.record.due) || now.Before(c.record.probing) {
			continue
		}
		c.record.probing = now.Add(probeHold)
		t.counts.probes++
		return c.target, true
	}
	return nil, false
}

// suspect treats the target as cold for a while.
func (r *record) suspect(now time.Time, said bool) {
	switch {
	case now.Before(r.coldUntil):
		said = said || r.saidCold
	case now.Sub(r.coldUntil) < r.coldHold/2:
		r.coldHold = min(2*r.coldHold, coldLast)
	default:
		r.coldHold = coldFirst
	}
	r.saidCold = said
	r.coldUntil = now.Add(r.coldHold)
}

// overloaded reports whether the peers of the target shed as well. In that case
// shed replies do not show that the target is cold: treating it so would take away
// capacity while the service is short of it.
func (r *record) overloaded(s *service) bool {
	if r.alone {
		return s.shed > overloadShare
	}
	return r.peerShed > overloadShare
}
