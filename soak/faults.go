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
	{"harm the link of a host", 4, (*Run).harmHost},
	{"harm the link of callers", 2, (*Run).harmCallers},
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

// heal ends all faults of links and targets. In half of the runs a data centre that is
// out of service stays so.
func (r *Run) heal(ctx context.Context) {
	for _, p := range slices.Concat(r.proxies, r.links, r.callerLinks) {
		p.Set(Pass, false)
	}
	for _, t := range append(r.targets, r.left...) {
		t.SetFault(standin.Healthy)
	}
	if centre := r.evacuated; centre != "" && (r.out == "" || r.rand.IntN(2) == 0) {
		r.out = ""
		r.readmit(ctx, centre)
	}
}

// take returns a machine without a fault, from first to last, and takes it.
func (r *Run) take(first, last int) *standin.Machine {
	m := r.deployment.Machines()[first+r.rand.IntN(last-first)]
	if !m.Reserve() {
		return nil
	}
	if m.Wait(0) {
		r.check.violate("%s has ended by itself", m.Name)
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
	m := r.take(first, last)
	if m == nil {
		return nil
	}
	m.Kill()
	return func() { r.restart(m) }
}

func (r *Run) pause(first, last int) func() {
	m := r.take(first, last)
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

func (r *Run) stopEntry() func() {
	m := r.take(r.ControlHosts, r.ControlHosts+r.EntryHosts)
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
	t.SetFault(standin.Fault(1 + r.rand.IntN(int(standin.WrongReply))))
	return func() { t.SetFault(standin.Healthy) }
}

// replace puts a new target in the place of one, cold in half of the cases.
func (r *Run) replace(i int) {
	old := r.targets[i]
	if err := r.addTarget(old.Service, old.Centre, time.Duration(r.rand.IntN(2))*coldTime); err != nil {
		r.check.violate("target: %v", err)
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
		r.replace(i)
	}
}

// drainTarget lets a target leave that serves on, as long as anybody asks it.
func (r *Run) drainTarget() func() {
	i := r.rand.IntN(len(r.targets))
	old := r.targets[i]
	if r.crashed[i] || !old.Drain() { // no control host answers
		return nil
	}
	r.left = append(r.left, old)
	r.replace(i)
	return func() {}
}

func (r *Run) harmLink() func() {
	return r.harm(r.proxies[r.victim(len(r.proxies))])
}

func (r *Run) harmHost() func() {
	return r.harm(r.links[r.rand.IntN(len(r.links))])
}

func (r *Run) harmCallers() func() {
	return r.harm(r.callerLinks[r.rand.IntN(len(r.callerLinks))])
}

func (r *Run) reload() func() {
	m := r.take(0, r.ControlHosts+r.EntryHosts)
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

func (r *Run) harm(p *Proxy) func() {
	p.Set(Mode(1+r.rand.IntN(int(modes)-1)), r.rand.IntN(2) == 0)
	return func() { p.Set(Pass, false) }
}

// evacuate takes a data centre out of service. At most one is out.
func (r *Run) evacuate() func() {
	if r.evacuated != "" {
		return nil
	}
	r.evacuated = fmt.Sprintf("zone-%d", r.rand.IntN(replicas))
	ctx, cancel := context.WithTimeout(context.Background(), faultLength)
	defer cancel()
	if standin.Evacuate(ctx, r.deployment.OperatorAddresses(), r.evacuated, true) == nil {
		r.out = r.evacuated
	} // without an acknowledgement it may be in force or not
	return func() {}
}

// readmit takes a data centre back into service, in the time that the operator gives it.
func (r *Run) readmit(ctx context.Context, centre string) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if err := standin.Evacuate(ctx, r.deployment.OperatorAddresses(), centre, false); err != nil {
		r.check.violate("order on %s not acknowledged within %s: %v", centre, settleTime, err)
	}
}
