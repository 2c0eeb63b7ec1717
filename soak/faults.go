package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// maxFaultPause is the longest pause between two faults, faultLength the longest time
	// that one lasts. Faults overlap.
	maxFaultPause    = 900 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// shutdownTimeout is how long a planned stop may take: the platform's grace period of the
	// stand-in and a margin for a loaded machine.
	shutdownTimeout = 6 * time.Second
)

// fault is a kind of fault. It begins at once and returns what ends it.
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
	{"stop an entry host", 2, (*Run).shutDownEntry},
	{"pause an entry host", 1, (*Run).pauseEntry},
	{"break a target", 4, (*Run).breakTarget},
	{"crash a target", 2, (*Run).crashTarget},
	{"harm the link of a target", 4, (*Run).faultTargetLink},
	{"harm the link of a host", 4, (*Run).faultHostLink},
	{"harm the link of callers", 2, (*Run).faultCallerLink},
	{"reload the settings of a host", 1, (*Run).reload},
	{"a target leaves", 2, (*Run).drainTarget},
	{"evacuate a data centre", 1, (*Run).evacuate},
	{"damage the disk of a control host", 1, (*Run).damageControl},
	{"fill the disk of a control host", 1, (*Run).fillControl},
}

// inject begins faults until the length of the run has passed. Machines have one
// fault at a time, and disks are lost one at a time.
func (r *Run) inject(ctx context.Context) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	type running struct {
		name string
		at   time.Time
		end  func()
	}
	var open []running
	for end := time.Now().Add(r.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		n := r.rand.IntN(total)
		for _, f := range faults {
			if n -= f.weight; n >= 0 {
				continue
			}
			if stop := f.begin(r); stop != nil {
				r.Logf("seed %d: %s", r.Seed, f.name)
				open = append(open, running{f.name, time.Now().Add(time.Duration(r.rand.Int64N(int64(maxFaultDuration)))), stop})
			}
			break
		}
		time.Sleep(time.Duration(r.rand.Int64N(int64(maxFaultPause))))
		for i := 0; i < len(open); {
			if time.Now().Before(open[i].at) {
				i++
				continue
			}
			open[i].end()
			open = append(open[:i], open[i+1:]...)
		}
	}
	for _, f := range open {
		f.end()
	}
}

// clearFaults ends all faults of links and targets. In half of the runs a data centre that is
// out of service stays so.
func (r *Run) clearFaults(ctx context.Context) {
	for _, p := range slices.Concat(r.targetLinks, r.hostLinks, r.callerLinks) {
		p.Set(Pass, false)
	}
	for _, t := range append(r.targets, r.leaving...) {
		t.SetFault(standin.Healthy)
	}
	if centre := r.evacuated; centre != "" && (r.evacuationAcked == "" || r.rand.IntN(2) == 0) {
		r.evacuationAcked = ""
		r.endEvacuation(ctx, centre)
	}
}

// reserve returns a machine without a fault, from first to last, and takes it.
func (r *Run) reserve(first, last int) *standin.Machine {
	m := r.deployment.Machines()[first+r.rand.IntN(last-first)]
	if !m.Reserve() {
		return nil
	}
	if m.Wait(0) {
		r.check.addViolation("%s has ended by itself", m.Name)
	}
	return m
}

// restart starts a machine again and gives it back.
func (r *Run) restart(m *standin.Machine) {
	if err := m.Start(); err != nil {
		r.check.addViolation("%s does not start: %v", m.Name, err)
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
	var taken []*standin.Machine
	for _, m := range r.deployment.Machines()[:r.ControlHosts] {
		if m.Reserve() {
			m.Kill()
			taken = append(taken, m)
		}
	}
	return func() {
		for _, m := range taken {
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

// pickVictim draws one of n targets or proxies. The first ones serve the requests that may
// run once; they are drawn half of the time, because a second run shows nowhere else.
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

// replaceTarget puts a new target in the place of one, cold in half of the cases.
func (r *Run) replaceTarget(i int) {
	old := r.targets[i]
	if err := r.addTarget(old.Service, old.Centre, time.Duration(r.rand.IntN(2))*coldDuration); err != nil {
		r.check.addViolation("target: %v", err)
		return
	}
	last := len(r.targets) - 1
	r.targets[i], r.targets = r.targets[last], r.targets[:last]
}

// crashTarget replaces a target by a new one of the service.
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

// drainTarget lets a target leave that serves on, as long as anybody asks it.
func (r *Run) drainTarget() func() {
	i := r.rand.IntN(len(r.targets))
	old := r.targets[i]
	if r.crashed[i] || !old.Drain() { // no control host answers
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
		if m.Wait(0) { // it came before the first line of the program, as on a real machine
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

// evacuate takes a data centre out of service. At most one is out.
func (r *Run) evacuate() func() {
	if r.evacuated != "" {
		return nil
	}
	r.evacuated = fmt.Sprintf("zone-%d", r.rand.IntN(replicas))
	ctx, cancel := context.WithTimeout(context.Background(), maxFaultDuration)
	defer cancel()
	if standin.Evacuate(ctx, r.deployment.OperatorAddresses(), r.evacuated, true) == nil {
		r.evacuationAcked = r.evacuated
	} // without an acknowledgement it may be in force or not
	return func() {}
}

// endEvacuation takes a data centre back into service, in the time that the operator gives it.
func (r *Run) endEvacuation(ctx context.Context, centre string) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := standin.Evacuate(ctx, r.deployment.OperatorAddresses(), centre, false); err != nil {
		r.check.addViolation("order on %s not acknowledged within %s: %v", centre, recoveryTimeout, err)
	}
}
