package soak

import (
	"context"
	"syscall"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// faultPause is the longest pause between two faults, faultLength the longest time
	// that one lasts. Faults overlap.
	faultPause  = 900 * time.Millisecond
	faultLength = 3 * time.Second
	// graceTime is how long a planned stop may take: the platform's grace period of the
	// stand-in and a margin for a loaded machine.
	graceTime = 6 * time.Second
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
	{"stop an entry host", 2, (*Run).stopEntry},
	{"pause an entry host", 1, (*Run).pauseEntry},
	{"break a target", 4, (*Run).breakTarget},
	{"crash a target", 2, (*Run).crashTarget},
	{"harm the link of a target", 4, (*Run).harmLink},
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
	for end := time.Now().Add(r.Length); time.Now().Before(end) && ctx.Err() == nil; {
		n := r.rand.IntN(total)
		for _, f := range faults {
			if n -= f.weight; n >= 0 {
				continue
			}
			if stop := f.begin(r); stop != nil {
				r.Logf("seed %d: %s", r.Seed, f.name)
				open = append(open, running{f.name, time.Now().Add(time.Duration(r.rand.Int64N(int64(faultLength)))), stop})
			}
			break
		}
		time.Sleep(time.Duration(r.rand.Int64N(int64(faultPause))))
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

// heal ends all faults of links and targets.
func (r *Run) heal() {
	for _, p := range r.proxies {
		p.Set(Pass)
	}
	for _, t := range r.targets {
		t.SetFault(standin.Healthy)
	}
}

// machine returns a machine without a fault, from first to last, and takes it.
func (r *Run) machine(first, last int) *standin.Machine {
	m := r.deployment.Machines()[first+r.rand.IntN(last-first)]
	if !m.Take() {
		return nil
	}
	return m
}

// restart starts a machine again and gives it back.
func (r *Run) restart(m *standin.Machine) {
	if err := m.Start(); err != nil {
		r.check.violate("%s does not start: %v", m.Name, err)
	}
	m.Release()
}

func (r *Run) kill(first, last int) func() {
	m := r.machine(first, last)
	if m == nil {
		return nil
	}
	m.Kill()
	return func() { r.restart(m) }
}

func (r *Run) pause(first, last int) func() {
	m := r.machine(first, last)
	if m == nil {
		return nil
	}
	m.Signal(syscall.SIGSTOP)
	return func() {
		m.Signal(syscall.SIGCONT)
		m.Release()
	}
}

func (r *Run) killControl() func()  { return r.kill(0, controls) }
func (r *Run) killEntry() func()    { return r.kill(controls, controls+entries) }
func (r *Run) pauseControl() func() { return r.pause(0, controls) }
func (r *Run) pauseEntry() func()   { return r.pause(controls, controls+entries) }

func (r *Run) killAllControl() func() {
	var taken []*standin.Machine
	for _, m := range r.deployment.Machines()[:controls] {
		if m.Take() {
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

// wipeControl takes all control hosts, because no other may be away while the
// group repairs itself.
func (r *Run) wipeControl() func() {
	machines := r.deployment.Machines()[:controls]
	for i, m := range machines {
		if !m.Take() {
			for _, taken := range machines[:i] {
				taken.Release()
			}
			return nil
		}
	}
	lost := machines[r.rand.IntN(controls)]
	lost.Kill()
	if err := lost.Wipe(); err != nil {
		r.check.violate("wipe: %v", err)
	}
	if err := lost.Start(); err != nil {
		r.check.violate("%s does not start: %v", lost.Name, err)
	}
	return func() {
		r.awaitRepair(lost)
		for _, m := range machines {
			m.Release()
		}
	}
}

// awaitRepair waits until the group is whole again: a second loss before that may
// cost the majority of the disks that hold a document.
func (r *Run) awaitRepair(m *standin.Machine) {
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(operatePause) {
		if m.Voter() {
			return
		}
	}
	r.check.violate("%s has lost its disk and is no voter again after %s", m.Name, settleTime)
}

func (r *Run) stopEntry() func() {
	m := r.machine(controls, controls+entries)
	if m == nil {
		return nil
	}
	m.Signal(syscall.SIGTERM)
	return func() {
		if !m.Wait(graceTime) {
			r.check.violate("%s still runs %s after SIGTERM", m.Name, graceTime)
			m.Kill()
		}
		r.restart(m)
	}
}

// victim draws one of n targets or proxies. The first ones serve the requests that may
// run once; they are drawn half of the time, because a second run shows nowhere else.
func (r *Run) victim(n int) int {
	if r.rand.IntN(2) == 0 {
		n = replicas
	}
	return r.rand.IntN(n)
}

func (r *Run) breakTarget() func() {
	t := r.targets[r.victim(len(r.targets))]
	t.SetFault(standin.Fault(1 + r.rand.IntN(int(standin.Cross))))
	return func() { t.SetFault(standin.Healthy) }
}

// crashTarget replaces a target by a new one of the service.
func (r *Run) crashTarget() func() {
	i := r.rand.IntN(len(r.targets))
	old := r.targets[i]
	old.Crash()
	return func() {
		if err := r.addTarget(old.Service); err != nil {
			r.check.violate("target: %v", err)
			return
		}
		last := len(r.targets) - 1
		r.targets[i], r.targets = r.targets[last], r.targets[:last]
	}
}

func (r *Run) harmLink() func() {
	p := r.proxies[r.victim(len(r.proxies))]
	p.Set(Mode(1 + r.rand.IntN(int(modes)-1)))
	return func() { p.Set(Pass) }
}
