// Package move moves a service's traffic to a new version of its back ends by the
// deadline of a rule, and reverts the move if the new version is at fault. It does
// no I/O and reads no clock: the caller passes records, evidence and times, and
// commits the steps.
//
// The new version is compared with the old versions over the same period, per route
// and over all routes, in windows of 5 s and 60 s. Each comparison runs one-sided
// Fisher exact tests: one of failures and one each of the sub-requests above the
// 0.5, 0.9 and 0.98 quantile of latency. Small differences are tolerated. Fisher's
// test is exact for samples of any size.
//
// Each evaluation of new evidence is a look. The significance level of the tests of
// look k is 0.001/(k(k+1)), divided by the number of tests of that look, so that the
// levels of all looks, windows, routes and tests add up to at most 0.001. This is a
// union bound, which holds although windows overlap. The bound assumes that
// sub-requests fail independently. The target that fails most is excluded, because a dead
// target is not a fault of its version, unless the others fail alike. Sub-requests without a
// reply count for no version while the host that sent them has lost its links to targets.
package move

import (
	"fmt"
	"time"

	"wasabirelay/control"
)

// Steps of a move in addition to control.StepNew and control.StepReverted.
const (
	// Waiting means that no snapshot is complete among warm targets of the version.
	Waiting = "waiting"
	// Trial means that the version gets the trial share of the rule.
	Trial = "trial"
	// Ramping means that the share doubles while the evidence is sufficient and shows no fault.
	Ramping = "ramping"
	// Done means that the version gets all traffic.
	Done = "done"
	// Late means that the deadline of the rule has passed. The move continues as in
	// the other steps.
	Late = "late"
)

const (
	// minPause is the shortest time between two increases of the share. A fault under
	// a larger share shows before the next increase: the pause covers two reports and
	// the requests that they count.
	minPause = 1500 * time.Millisecond
	// maxPause keeps a move with a distant deadline from stalling.
	maxPause = 5 * time.Minute
	// pauseFraction is the fraction of the remaining time that pauses may use. The rest
	// is for steps that wait for evidence.
	pauseFraction = 0.7
	// minSubrequests is the number of sub-requests to the new version that must be
	// counted since its share last changed. If none of them failed, they bound its
	// failure rate below 5%.
	minSubrequests = 60
	// maxPartialShare is the largest share below 1. It leaves the old version enough
	// traffic for a comparison.
	maxPartialShare = 0.9
	// majorityShare is the share above which the new version carries most of the traffic.
	majorityShare = 0.5
)

// Input is the input of a decision about a move.
type Input struct {
	Record control.MoveRecord
	// Ready is true if the warm targets of the version can serve the service: for NewInput, if a
	// snapshot is complete among them.
	Ready bool
	// Targets is the number of the version's targets. ConnectCost is the longest time
	// that it takes to connect to one of them.
	Targets     int
	ConnectCost time.Duration
}

// Machine is the state machine of the move of one service. The zero value has no evidence.
type Machine struct {
	pool  pool
	looks int
	// newEvidence is true if evidence has arrived since the last look. strongest
	// is the strongest finding of that look.
	newEvidence bool
	strongest   finding
	// step and share are those of the last record. changedAt is when they last changed.
	step      string
	share     float64
	changedAt time.Time
	// reference holds the old version's counts by route, and referenceAllRoutes those
	// of all routes, from the last short window in which it carried most of the traffic.
	reference          map[string]*Counts
	referenceAllRoutes *Counts
}

// Running reports whether hosts collect evidence for the move.
func Running(r *control.MoveRecord) bool {
	return !r.Reverted && r.Step != Done && r.Share > 0
}

// AddEvidence adds the evidence of one host.
func (m *Machine) AddEvidence(now time.Time, counts []RouteCounts) {
	m.pool.add(now, counts)
	m.newEvidence = true
}

// Step returns the next step of the move, or nil if the move stays as it is.
func (m *Machine) Step(now time.Time, in *Input) *control.StepMove {
	r := &in.Record
	if r.Reverted || r.Step == Done {
		return nil
	}
	if m.changedAt.IsZero() || m.step != r.Step || m.share != r.Share {
		m.step, m.share, m.changedAt = r.Step, r.Share, now
	}
	if r.Share > 0 {
		level, f := m.look(now, in)
		switch {
		case f.p < level:
			return &control.StepMove{
				Service: r.Service, Version: r.Version, From: r.Step, Step: control.StepReverted, Revert: true, Reason: f.reason,
			}
		case f.p < suspicionLevel:
			return m.keepShare(now, r, "held: "+f.reason)
		}
	}
	return m.advance(now, in)
}

// look runs the tests if there is new evidence. It returns the significance level
// below which a finding is a fault, and the strongest finding.
func (m *Machine) look(now time.Time, in *Input) (level float64, worst finding) {
	if !m.newEvidence {
		return 0, m.strongest // without tests, none of the error bound is used
	}
	m.newEvidence = false
	m.looks++
	worst.p = 1
	tests := 0
	for _, length := range []time.Duration{shortWindow, longWindow} {
		f, n := m.testWindow(now, in, length)
		tests += n
		if f.p < worst.p {
			worst = f
		}
	}
	m.strongest = worst
	k := float64(m.looks)
	return errorBound / (k * (k + 1) * float64(max(tests, 1))), worst
}

// testWindow compares the versions in one window. It returns the strongest finding and
// the number of tests.
func (m *Machine) testWindow(now time.Time, in *Input, length time.Duration) (worst finding, tests int) {
	worst.p = 1
	routes, all := m.pool.window(now.Add(-length))
	if all == nil {
		return worst, 0
	}
	compare := func(route string, s *versionPair, reference *Counts) {
		tests += testsPerComparison
		c := comparison{route: route, targets: in.Targets, connectCost: in.ConnectCost}
		if in.Record.Share > majorityShare {
			c.reference = reference
		}
		if f := c.strongest(s); f.p < worst.p {
			worst = f
		}
	}
	compare("", all, m.referenceAllRoutes)
	if len(routes) > 1 {
		for route, s := range routes {
			compare(route, s, m.reference[route])
		}
	}
	if in.Record.Share <= majorityShare && length == shortWindow {
		m.saveReference(routes, all)
	}
	return worst, tests
}

// saveReference saves the old version's counts while it carries most of the traffic.
func (m *Machine) saveReference(routes map[string]*versionPair, all *versionPair) {
	m.reference, m.referenceAllRoutes = map[string]*Counts{}, all.old
	for route, s := range routes {
		m.reference[route] = s.old
	}
}

// advance returns the step to the next larger share if the pause is over and the
// evidence is sufficient.
func (m *Machine) advance(now time.Time, in *Input) *control.StepMove {
	r := &in.Record
	if !in.Ready {
		return m.keepShare(now, r, "no snapshot is complete among warm targets of the version")
	}
	if r.Share == 0 {
		return newStep(now, r, Trial, r.TrialShare, fmt.Sprintf("%d targets of the version hold a complete snapshot", in.Targets))
	}
	if now.Sub(m.changedAt) < pause(now, r) || m.pool.newVersionTotal(m.changedAt) < minSubrequests {
		return m.keepShare(now, r, r.Reason)
	}
	_, all := m.pool.window(m.changedAt)
	c := comparison{targets: in.Targets}
	if r.Share > majorityShare {
		c.reference = m.referenceAllRoutes
	}
	if f := c.compareFailures(all); f.p < growthLevel {
		return m.keepShare(now, r, "held: "+f.reason)
	}
	reason := fmt.Sprintf("%d of %d sub-requests failed, %d of %d of the old version; median latency %s, %s of the old version",
		all.new.Failed, all.new.Total, all.old.Failed, all.old.Total, latencyAt(all.new, quantiles[0]), latencyAt(all.old, quantiles[0]))
	share := nextShare(r.Share)
	if share >= 1 {
		return &control.StepMove{Service: r.Service, Version: r.Version, From: r.Step, Step: Done, Share: 1, Reason: reason}
	}
	return newStep(now, r, Ramping, share, reason)
}

// keepShare returns a step with the same share if the name of the step changes, else nil.
func (m *Machine) keepShare(now time.Time, r *control.MoveRecord, reason string) *control.StepMove {
	name := r.Step
	if r.Share == 0 {
		name = Waiting
	}
	if next := newStep(now, r, name, r.Share, reason); next.Step != r.Step {
		return next
	}
	return nil
}

// newStep returns a step. Its name is Late if the deadline of the rule has passed.
func newStep(now time.Time, r *control.MoveRecord, name string, share float64, reason string) *control.StepMove {
	if now.After(r.Deadline) {
		name = Late
	}
	return &control.StepMove{Service: r.Service, Version: r.Version, From: r.Step, Step: name, Share: share, Reason: reason}
}

// nextShare returns the share that follows the given one.
func nextShare(share float64) float64 {
	if share >= maxPartialShare {
		return 1
	}
	return min(2*share, maxPartialShare)
}

// pause returns the minimum time between the last increase of the share and the next.
// The pauses of all remaining steps fit into pauseFraction of the remaining time,
// unless minPause is longer.
func pause(now time.Time, r *control.MoveRecord) time.Duration {
	steps := 0
	for share := r.Share; share < 1; share = nextShare(share) {
		steps++
	}
	left := time.Duration(float64(r.Deadline.Sub(now)) * pauseFraction / float64(max(steps, 1)))
	return min(max(left, minPause), maxPause)
}
