package route

import (
	"slices"
	"time"

	"wasabirelay/control"
)

const (
	// failureWeight is the weight of one sub-request in the moving share of failures: three
	// consecutive failures exceed failureLimit.
	failureWeight = 0.2
	// failureLimit is the share of failures above which a target may be an outlier.
	failureLimit = 0.4
	// failureFactor is how many times the median share of failures of the other replicas a
	// target's share must exceed. A fault that affects all replicas is no reason to eject one.
	failureFactor = 3.0
	// slowFactor is how many times the median latency of the other replicas a target's latency
	// must exceed.
	slowFactor = 5.0
	// slowMargin is the minimum difference in latency. It exceeds the round trip of 2 ms
	// between data centres, so that remote replicas that respond fast are not ejected.
	slowMargin = 5 * time.Millisecond
	// slowSamples is the minimum number of samples for comparing latencies.
	slowSamples = 5
	// minProbeInterval and maxProbeInterval bound the time to the first and to later probes of
	// an ejected target. It doubles with each probe that fails. A target that loses some of
	// its replies passes many probes, and requests fail again each time it is reinstated.
	minProbeInterval = 1500 * time.Millisecond
	maxProbeInterval = 30 * time.Second
	// probeJitter spreads the probes of different hosts over time.
	probeJitter = 0.2
	// intervalReset is how long a target must stay healthy before its probe interval is reset.
	intervalReset = 20 * time.Second
	// probeTimeout is how long a probe blocks further probes of the target if it was selected
	// but never sent.
	probeTimeout = time.Second
	// minColdTime and maxColdTime bound how long a target is treated as cold after it refused
	// or shed a sub-request. The time doubles if the next such reply comes soon after it has
	// passed. It starts short because a warm target with 2 slots occasionally sheds when
	// sub-requests of several hosts coincide.
	minColdTime = 250 * time.Millisecond
	maxColdTime = 16 * time.Second
	// overloadShare is the share of shed replies above which a service or the peers of a
	// replica count as overloaded: 4 consecutive ones for a service, 1 for a replica.
	overloadShare = 0.1
)

// reason is why a target is ejected. Its value is a label of the ejection metric.
type reason string

const (
	reasonConnection reason = "connection"
	reasonFailures   reason = "failures"
	reasonLatency    reason = "latency"
)

// ejection is the part of a target's state that excludes it from regular selection.
type ejection struct {
	ejected bool
	reason  reason
	// since is when the target was ejected or, if it is not ejected, last reinstated.
	since time.Time
	// probeInterval is the current time between probes; nextProbe is when the next one is due.
	probeInterval time.Duration
	nextProbe     time.Time
	// probingUntil is the time until which a probe counts as in progress.
	probingUntil time.Time
}

// assess ejects replicas that are outliers among the replicas of a shard. It leaves at least
// one of them; draining replicas don't count, because they are about to leave.
func (t *Table) assess(now time.Time, replicas []*control.Target) {
	var buffer [8]*targetState
	peers := buffer[:0]
	for _, r := range replicas {
		if state := t.state(r); !state.ejected && r.State != control.Draining && !now.Before(state.drainingUntil) {
			peers = append(peers, state)
		}
	}
	updatePeerShed(now, peers)
	for i := 0; i < len(peers) && len(peers) > 1; i++ {
		why, bad := outlier(now, peers[i], peers)
		// Where work is placed by its completion, a slow replica gets little work anyway, and without it
		// the others may not suffice.
		if bad && (why != reasonLatency || !t.Contended) {
			t.eject(now, peers[i], why)
			peers = slices.Delete(peers, i, i+1)
			i--
		}
	}
}

// updatePeerShed records the median share of shed replies of each replica's peers. If all
// replicas of a shard are suspected to be cold, the cause is overload, and the suspicion is
// cleared for all of them.
func updatePeerShed(now time.Time, peers []*targetState) {
	suspected := 0
	for _, peer := range peers {
		if peer.noPeers = len(peers) < 2; peer.noPeers {
			return
		}
		peer.peerShed = median(peers, peer, func(p *targetState) (float64, bool) { return p.shedShare(now), true })
		if now.Before(peer.coldUntil) && !peer.reportedCold {
			suspected++
		}
	}
	if suspected == len(peers) {
		for _, peer := range peers {
			peer.coldUntil = now
		}
	}
}

// outlier reports whether the replica has far more failures or a far higher latency than its
// peers, and which of the two.
func outlier(now time.Time, s *targetState, peers []*targetState) (reason, bool) {
	if s.failures > failureLimit {
		others := median(peers, s, func(p *targetState) (float64, bool) { return p.failures, true })
		if s.failures > failureFactor*others {
			return reasonFailures, true
		}
	}
	if s.samples < slowSamples {
		return "", false
	}
	others := median(peers, s, func(p *targetState) (float64, bool) { return p.latency, p.samples >= slowSamples })
	if others == 0 {
		return "", false
	}
	latency := s.latencyEstimate(now)
	return reasonLatency, latency > slowFactor*others && latency > others+float64(slowMargin)
}

// median returns the lower median of the values of the peers other than s, or 0 if no other
// peer has a value.
func median(peers []*targetState, s *targetState, value func(*targetState) (float64, bool)) float64 {
	var buffer [8]float64
	values := buffer[:0]
	for _, p := range peers {
		if p == s {
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

// assessOutcome ejects a target on the first connection error. For an ejected target, a
// sub-request that was sent after the ejection either reinstates it or delays the next probe.
// A probe that was slower than its hedge counts as failed. Otherwise a slow target would be
// due for another probe at once, and would have one sub-request of each host in flight at all
// times.
func (t *Table) assessOutcome(now time.Time, s *targetState, sent time.Time, o Outcome, lostToHedge bool) {
	if !s.ejected {
		if o == ConnectFailed || o == Reset {
			t.eject(now, s, reasonConnection)
		}
		return
	}
	if sent.Before(s.since) {
		return
	}
	switch {
	case o == Success:
		t.reinstate(now, s, now.Sub(sent))
	case lostToHedge, o == ConnectFailed, o == Reset, o == BadReply, o == TimedOut, o == Failed:
		t.extend(now, s)
	default:
		s.probingUntil = time.Time{}
	}
}

func (t *Table) eject(now time.Time, s *targetState, why reason) {
	t.counters.addEjection(why)
	if s.probeInterval == 0 || now.Sub(s.since) > intervalReset {
		s.probeInterval = minProbeInterval / 2 // extend doubles it
	}
	s.ejected, s.reason, s.since = true, why, now
	t.extend(now, s)
	t.notify(now, s)
}

// notify passes the current assessment of the target to OnAssessment.
func (t *Table) notify(now time.Time, s *targetState) {
	if t.OnAssessment == nil {
		return
	}
	a := Assessment{
		Target: s.name, Incarnation: s.incarnation, Ejected: s.ejected, Latency: time.Duration(s.latency),
		Failures: s.failures, Shed: s.shedShare(now),
	}
	if s.ejected {
		a.Reason, a.ProbeAfter = string(s.reason), s.nextProbe.Sub(now)
	}
	t.OnAssessment(a)
}

// extend doubles the probe interval and schedules the next probe.
func (t *Table) extend(now time.Time, s *targetState) {
	s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
	jitter := 1 + probeJitter*(2*t.random().Float64()-1)
	s.nextProbe = now.Add(time.Duration(float64(s.probeInterval) * jitter))
	s.probingUntil = time.Time{}
}

// reinstate makes the target available for regular selection again. The latency of the probe
// becomes its estimate, which the next Pick compares with that of its peers.
func (t *Table) reinstate(now time.Time, s *targetState, latency time.Duration) {
	s.ejected, s.since, s.probingUntil = false, now, time.Time{}
	s.failures = 0
	s.latency, s.sampled = float64(latency), now
	t.notify(now, s)
}

// ReinstateAll makes all targets available for regular selection again, after this host had lost its
// links to them.
func (t *Table) ReinstateAll(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.targets {
		s.failures, s.probeInterval = 0, 0
		if s.ejected {
			s.ejected, s.since, s.probingUntil = false, now, time.Time{}
			t.notify(now, s)
		}
	}
}

// pickProbe returns an ejected replica that is due for a probe. Each target has at most one
// probe in progress.
func (t *Table) pickProbe(now time.Time, ejected *candidates) (*control.Target, bool) {
	for i := range ejected.n {
		c := ejected.at(i)
		if now.Before(c.state.nextProbe) || now.Before(c.state.probingUntil) {
			continue
		}
		c.state.probingUntil = now.Add(probeTimeout)
		t.counters.probes++
		return c.target, true
	}
	return nil, false
}

// suspectCold treats the target as cold for a limited time. The parameter reported is true if
// the target itself replied that it is cold.
func (s *targetState) suspectCold(now time.Time, reported bool) {
	switch {
	case now.Before(s.coldUntil):
		reported = reported || s.reportedCold
	case now.Sub(s.coldUntil) < s.coldTime/2:
		s.coldTime = min(2*s.coldTime, maxColdTime)
	default:
		s.coldTime = minColdTime
	}
	s.reportedCold = reported
	s.coldUntil = now.Add(s.coldTime)
}

// peersOverloaded reports whether the peers of the target shed too; a target without peers is
// compared with its service. In that case shed replies do not show that the target is cold,
// and treating it as cold would remove capacity while the service is overloaded.
func (s *targetState) peersOverloaded(service *serviceState) bool {
	if s.noPeers {
		return service.shed > overloadShare
	}
	return s.peerShed > overloadShare
}
