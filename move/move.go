// Package move moves a service's traffic to a new version of its back ends by the
// time that a rule gives, and takes a version back whose fault has shown. It is
// pure: the caller gives it records, evidence and times, and commits its steps.
//
// A new version is compared with the old ones over the same seconds, per route
// and over all routes, in windows of 5 s and 60 s. Each comparison is a one-sided
// Fisher exact test of failures and of the sub-requests above the 0.5, 0.9 and
// 0.98 quantile of latency, with tolerated differences. Fisher's test is exact for
// samples of any size. The level of the tests of look k is 0.001/(k(k+1)), divided
// by the number of tests of that look, so that the levels of all looks, windows,
// routes and tests add up to at most 0.001 (a union bound, which holds although
// windows overlap). The bound assumes that sub-requests fail independently; the
// failures of the one target that fails most are left out, because a target that
// dies is not a fault of its version.
package move

import (
	"fmt"
	"time"

	"wasabirelay/control"
)

// Steps of a move in addition to control.StepNew and control.StepReverted.
const (
	// Waiting states that no snapshot is complete among warm replicas of the version.
	Waiting = "waiting"
	// Trial states that the version gets the share of the rule.
	Trial = "trial"
	// Ramping states that the share doubles while the evidence is good and enough.
	Ramping = "ramping"
	// Done states that the version gets all traffic.
	Done = "done"
	// Late states that the time of the rule has passed; otherwise it is Ramping.
	Late = "late"
)

const (
	// leastPause lets the fault of a larger share show before the next growth: two
	// reports and the requests that they count.
	leastPause = 1500 * time.Millisecond
	// longestPause keeps a move with a distant time from standing still.
	longestPause = 5 * time.Minute
	// spent is the part of the remaining time that the pauses may use. The rest is
	// for steps that wait for evidence.
	spent = 0.7
	// enough is the number of sub-requests that the version must have answered since
	// its share last changed; without failures they bound its rate below 5%.
	enough = 60
	// lastShare is the largest share below 1. The old version keeps enough traffic
	// to be compared with.
	lastShare = 0.9
	// even is the share above which the old version carries less than the new one.
	even = 0.5
)

// Input is what a machine decides on.
type Input struct {
	Record control.MoveRecord
	// Ready states that a snapshot is complete among warm targets of the version.
	Ready bool
	// Targets is the number of the version's targets, Connect the longest time that
	// a connection to one of them takes.
	Targets     int
	ConnectCost time.Duration
}

// Machine steps the move of one service. The zero value has no evidence.
type Machine struct {
	pool  pool
	looks int
	// fresh states that evidence has arrived since the last look, whose strongest
	// finding is last.
	fresh bool
	last  finding
	// step and share are those of the last record, changed is when they changed.
	step    string
	share   float64
	changed time.Time
	// reference holds the old version's counts by route, and those of all routes,
	// from the last seconds in which it carried most of the traffic.
	reference    map[string]*Counts
	referenceAll *Counts
}

// Running reports whether hosts collect evidence for the move.
func Running(r *control.MoveRecord) bool {
	return !r.Reverted && r.Step != Done && r.Share > 0
}

// AddEvidence takes over the evidence of a host.
func (m *Machine) AddEvidence(now time.Time, parts []RouteCounts) {
	m.pool.add(now, parts)
	m.fresh = true
}

// Step returns the next step of the move, or nil.
func (m *Machine) Step(now time.Time, in *Input) *control.StepMove {
	r := &in.Record
	if r.Reverted || r.Step == Done {
		return nil
	}
	if m.changed.IsZero() || m.step != r.Step || m.share != r.Share {
		m.step, m.share, m.changed = r.Step, r.Share, now
	}
	if r.Share > 0 {
		level, f := m.look(now, in)
		switch {
		case f.p < level:
			return &control.StepMove{
				Service: r.Service, Version: r.Version, From: r.Step, Step: control.StepReverted, Revert: true, Reason: f.reason,
			}
		case f.p < suspicion:
			return m.mark(now, r, "held: "+f.reason)
		}
	}
	return m.advance(now, in)
}

// look runs the tests if there is new evidence. It returns the level of a fault
// and the strongest evidence.
func (m *Machine) look(now time.Time, in *Input) (level float64, worst finding) {
	if !m.fresh {
		return 0, m.last // not tested, so no part of the error bound is spent
	}
	m.fresh = false
	m.looks++
	worst.p = 1
	tests := 0
	for _, length := range []time.Duration{shortWindow, longWindow} {
		f, n := m.test(now, in, length)
		tests += n
		if f.p < worst.p {
			worst = f
		}
	}
	m.last = worst
	k := float64(m.looks)
	return errorBound / (k * (k + 1) * float64(max(tests, 1))), worst
}

// test compares the versions in one window. It returns the number of its tests.
func (m *Machine) test(now time.Time, in *Input, length time.Duration) (worst finding, tests int) {
	worst.p = 1
	routes, all := m.pool.window(now.Add(-length))
	if all == nil {
		return worst, 0
	}
	compare := func(route string, s *side, reference *Counts) {
		tests += testsPerSide
		c := comparison{route: route, targets: in.Targets, connect: in.ConnectCost}
		if in.Record.Share > even {
			c.reference = reference
		}
		if f := c.worst(s); f.p < worst.p {
			worst = f
		}
	}
	compare("", all, m.referenceAll)
	if len(routes) > 1 {
		for route, s := range routes {
			compare(route, s, m.reference[route])
		}
	}
	if in.Record.Share <= even && length == shortWindow {
		m.remember(routes, all)
	}
	return worst, tests
}

// remember keeps the old version's counts while it carries most of the traffic.
func (m *Machine) remember(routes map[string]*side, all *side) {
	m.reference, m.referenceAll = map[string]*Counts{}, all.old
	for route, s := range routes {
		m.reference[route] = s.old
	}
}

// advance returns the next larger share, if it is time for it.
func (m *Machine) advance(now time.Time, in *Input) *control.StepMove {
	r := &in.Record
	if !in.Ready {
		return m.mark(now, r, "no snapshot is complete among warm targets of the version")
	}
	if r.Share == 0 {
		return step(now, r, Trial, r.TrialShare, fmt.Sprintf("%d targets of the version hold a complete snapshot", in.Targets))
	}
	if now.Sub(m.changed) < pause(now, r) || m.pool.answered(m.changed) < enough {
		return m.mark(now, r, r.Reason)
	}
	_, all := m.pool.window(m.changed)
	reason := fmt.Sprintf("%d of %d sub-requests failed, %d of %d of the old version; median latency %s, %s of the old version",
		all.new.Failed, all.new.Total, all.old.Failed, all.old.Total, at(all.new, quantiles[0]), at(all.old, quantiles[0]))
	share := larger(r.Share)
	if share >= 1 {
		return &control.StepMove{Service: r.Service, Version: r.Version, From: r.Step, Step: Done, Share: 1, Reason: reason}
	}
	return step(now, r, Ramping, share, reason)
}

// mark notes a change of the step that leaves the share as it is.
func (m *Machine) mark(now time.Time, r *control.MoveRecord, reason string) *control.StepMove {
	name := r.Step
	if r.Share == 0 {
		name = Waiting
	}
	if next := step(now, r, name, r.Share, reason); next.Step != r.Step {
		return next
	}
	return nil
}

// step returns a step, whose name is Late past the time of the rule.
func step(now time.Time, r *control.MoveRecord, name string, share float64, reason string) *control.StepMove {
	if now.After(r.Deadline) {
		name = Late
	}
	return &control.StepMove{Service: r.Service, Version: r.Version, From: r.Step, Step: name, Share: share, Reason: reason}
}

// larger returns the share after the given one.
func larger(share float64) float64 {
	if share >= lastShare {
		return 1
	}
	return min(2*share, lastShare)
}

// pause returns how long a share is kept at least, so that the remaining steps
// use no more than their part of the time that is left.
func pause(now time.Time, r *control.MoveRecord) time.Duration {
	steps := 0
	for share := r.Share; share < 1; share = larger(share) {
		steps++
	}
	left := time.Duration(float64(r.Deadline.Sub(now)) * spent / float64(max(steps, 1)))
	return min(max(left, leastPause), longestPause)
}
