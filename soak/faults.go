package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// maxFaultPause is the maximum pause between two faults, maxFaultDuration the maximum
	// duration of one. Faults overlap.
	maxFaultPause    = 900 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// replacementWeight is the weight of replacements of control hosts, if there are any.
	replacementWeight = 5
	// shutdownTimeout bounds a graceful shutdown: the grace period of the platform's stand-in
	// plus a margin for a loaded machine.
	shutdownTimeout = 6 * time.Second
)

// fault is a kind of fault. begin starts it and returns a function that ends it, or nil.
type fault struct {
	name   string
	weight int
	begin  func(r *Run) (end func())
}

var faults = []fault{
	{"kill a control host", 3, (*Run).killControl},
	{"kill all control hosts", 1, (*Run).killAllControl},
	{"wipe a control host", 1, (*Run).wipeControl},
	{"pause a control host", 2, (*Run).pauseControl},
	{"kill an entry host", 2, (*Run).killEntry},
	{"shut down an entry host", 2, (*Run).shutDownEntry},
	{"pause an entry host", 1, (*Run).pauseEntry},
	{"fault in a target", 4, (*Run).breakTarget},
	{"crash a target", 2, (*Run).crashTarget},
	{"fault on the link of a target", 4, (*Run).faultTargetLink},
	{"fault on the link of a host", 4, (*Run).faultHostLink},
	{"fault on a link of callers", 2, (*Run).faultCallerLink},
	{"reload the settings of a host", 1, (*Run).reload},
	{"drain a target", 2, (*Run).drainTarget},
	{"evacuate a data centre", 1, (*Run).evacuate},
	{"damage the disk of a control host", 1, (*Run).damageControl},
	{"fill the disk of a control host", 1, (*Run).fillControl},
}

// inject starts faults until the duration of the run has passed, then ends them. A machine has
// one fault at a time, and disks are lost one at a time.
func (r *Run) inject(ctx context.Context) {
	kinds := faults
	if r.Replacements {
		kinds = append(slices.Clone(faults), fault{"replace a control host", replacementWeight, (*Run).replaceControl})
	}
	if r.Only != "" {
		kinds = slices.DeleteFunc(slices.Clone(kinds), func(f fault) bool { return !strings.Contains(f.name, r.Only) })
	}
	total := 0
	for _, f := range kinds {
		total += f.weight
	}
	type running struct {
		name  string
		endAt time.Time
		end   func()
	}
	var active []running
	for end := time.Now().Add(r.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		n := r.rand.IntN(max(1, total))
		for _, f := range kinds {
			if n -= f.weight; n >= 0 {
				continue
			}
			if stop := f.begin(r); stop != nil {
				r.Logf("seed %d: %s", r.Seed, f.name)
				active = append(active, running{f.name, time.Now().Add(time.Duration(r.rand.Int64N(int64(maxFaultDuration)))), stop})
			}
			break
		}
		time.Sleep(time.Duration(r.rand.Int64N(int64(maxFaultPause))))
		for i := 0; i < len(active); {
			if time.Now().Before(active[i].endAt) {
				i++
				continue
			}
			active[i].end()
			active = append(active[:i], active[i+1:]...)
		}
	}
	for _, f := range active {
		f.end()
	}
}

// clearFaults ends all faults of links and targets. In half of the runs an acknowledged
// evacuation of a data centre stays in force.
func (r *Run) clearFaults(ctx context.Context) {
	for _, p := range slices.Concat(r.targetLinks, r.hostLinks, r.callerLinks) {
		p.Set(Pass, false)
	}
	for _, t := range append(r.targets, r.leaving...) {
		t.SetFault(standin.Healthy)
	}
	if centre := r.evacuated; centre != "" && (r.ackedEvacuation == "" || r.rand.IntN(2) == 0) {
		r.ackedEvacuation = ""
		r.endEvacuation(ctx, centre)
	}
}

// reserve reserves a random machine in [first, last), or returns nil if that has a fault.
func (r *Run) reserve(first, last int) *standin.Machine {
	m := r.deployment.Machines()[first+r.rand.IntN(last-first)]
	if !m.Reserve() {
		return nil
	}
	if m.Wait(0) {
		r.check.addViolation("the process of %s ended unexpectedly", m.Name)
	}
	return m
}

// restart starts a machine again and releases it.
func (r *Run) restart(m *standin.Machine) {
	if err := m.Start(); err != nil {
		r.check.addViolation("failed to start %s: %v", m.Name, err)
	}
	m.Release()
}

func (r *Run) kill(first, last int) func() {
	m := r.reserve(first, last)
	if m == nil {
		return nil
	}
	m.Kill()
	return func() { r.restart(m) }
}

func (r *Run) pause(first, last int) func() {
	m := r.reserve(first, last)
	if m == nil {
		return nil
	}
	m.Signal(syscall.SIGSTOP)
	return func() {
		m.Signal(syscall.SIGCONT)
		m.Release()
	}
}

func (r *Run) killControl() func()  { return r.kill(0, r.ControlHosts) }
func (r *Run) killEntry() func()    { return r.kill(r.ControlHosts, r.ControlHosts+r.EntryHosts) }
func (r *Run) pauseControl() func() { return r.pause(0, r.ControlHosts) }
func (r *Run) pauseEntry() func()   { return r.pause(r.ControlHosts, r.ControlHosts+r.EntryHosts) }

func (r *Run) killAllControl() func() {
	var killed []*standin.Machine
	for _, m := range r.deployment.Machines()[:r.ControlHosts] {
		if m.Reserve() {
			m.Kill()
			killed = append(killed, m)
		}
	}
	return func() {
		for _, m := range killed {
			r.restart(m)
		}
	}
}

func (r *Run) shutDownEntry() func() {
	m := r.reserve(r.ControlHosts, r.ControlHosts+r.EntryHosts)
	if m == nil {
		return nil
	}
	m.Signal(syscall.SIGTERM)
	return func() {
		if !m.Wait(shutdownTimeout) {
			r.check.addViolation("%s still runs %s after SIGTERM", m.Name, shutdownTimeout)
			m.Kill()
		}
		r.restart(m)
	}
}

// pickVictim returns a random index of n targets or proxies. Half of the time it picks among
// the first ones, which serve the requests that may run only once: a second run can't be
// detected elsewhere.
func (r *Run) pickVictim(n int) int {
	if r.rand.IntN(2) == 0 {
		n = replicas
	}
	return r.rand.IntN(n)
}

func (r *Run) breakTarget() func() {
	t := r.targets[r.pickVictim(len(r.targets))]
	t.SetFault(standin.Fault(1 + r.rand.IntN(int(standin.WrongReply))))
	return func() { t.SetFault(standin.Healthy) }
}

// replaceTarget replaces a target by a new one, which is cold in half of the cases.
func (r *Run) replaceTarget(i int) {
	old := r.targets[i]
	if err := r.addTarget(old.Service, old.Centre, time.Duration(r.rand.IntN(2))*coldDuration); err != nil {
		r.check.addViolation("failed to start a target: %v", err)
		return
	}
	last := len(r.targets) - 1
	r.targets[i], r.targets = r.targets[last], r.targets[:last]
}

// crashTarget crashes a target; the fault ends with a new target of the same service.
func (r *Run) crashTarget() func() {
	i := r.rand.IntN(len(r.targets))
	if r.crashed[i] {
		return nil
	}
	r.crashed[i] = true
	r.targets[i].Crash()
	return func() {
		r.crashed[i] = false
		r.replaceTarget(i)
	}
}

// drainTarget drains and replaces a target. The old one still serves the requests it gets.
func (r *Run) drainTarget() func() {
	i := r.rand.IntN(len(r.targets))
	old := r.targets[i]
	if r.crashed[i] || !old.Drain() { // Drain fails if no control host responds
		return nil
	}
	r.leaving = append(r.leaving, old)
	r.replaceTarget(i)
	return func() {}
}

func (r *Run) faultTargetLink() func() {
	return r.faultLink(r.targetLinks[r.pickVictim(len(r.targetLinks))])
}

func (r *Run) faultHostLink() func() {
	return r.faultLink(r.hostLinks[r.rand.IntN(len(r.hostLinks))])
}

func (r *Run) faultCallerLink() func() {
	return r.faultLink(r.callerLinks[r.rand.IntN(len(r.callerLinks))])
}

func (r *Run) reload() func() {
	m := r.reserve(0, r.ControlHosts+r.EntryHosts)
	if m == nil {
		return nil
	}
	m.Signal(syscall.SIGHUP)
	return func() {
		if m.Wait(0) { // SIGHUP ended the process before its first line ran, as on a real machine
			r.restart(m)
			return
		}
		m.Release()
	}
}

func (r *Run) faultLink(p *Proxy) func() {
	p.Set(Mode(1+r.rand.IntN(int(modeCount)-1)), r.rand.IntN(2) == 0)
	return func() { p.Set(Pass, false) }
}

// evacuate orders the evacuation of a data centre, at most once per run.
func (r *Run) evacuate() func() {
	if r.evacuated != "" {
		return nil
	}
	r.evacuated = fmt.Sprintf("zone-%d", r.rand.IntN(replicas))
	ctx, cancel := context.WithTimeout(context.Background(), maxFaultDuration)
	defer cancel()
	if standin.Evacuate(ctx, r.deployment.OperatorAddresses(), r.evacuated, true) == nil {
		r.ackedEvacuation = r.evacuated
	} // without an acknowledgement the evacuation may or may not be in force
	return func() {}
}

// endEvacuation ends an evacuation, which must be acknowledged within recoveryTimeout.
func (r *Run) endEvacuation(ctx context.Context, centre string) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := standin.Evacuate(ctx, r.deployment.OperatorAddresses(), centre, false); err != nil {
		r.check.addViolation("the end of the evacuation of %s was not acknowledged within %s: %v", centre, recoveryTimeout, err)
	}
}
