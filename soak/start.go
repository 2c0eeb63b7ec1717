package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// startFaultTime is the time after the first start in which faults begin, maxStartFaults the number of them.
	startFaultTime = 2 * time.Second
	maxStartFaults = 3
	// minStartLoss and maxStartLoss bound how long a control host is lost.
	minStartLoss, maxStartLoss = time.Second, 9 * time.Second
)

// disturbStart injects faults into the control hosts while the system starts for the first time, once all have read their
// settings: all or some of them are killed, one is paused, and one is lost for longer, with or without its disk. It returns
// once they are over, and the one that was lost, or nil.
func (r *Run) disturbStart(ctx context.Context) (lostHost *standin.Machine) {
	random := rand.New(rand.NewPCG(r.Seed, 2)) // the other faults of a seed remain the same
	hosts := r.deployment.Machines()[:r.ControlHosts]
	for _, m := range hosts {
		for ctx.Err() == nil && !isListening(ctx, m.Address(standin.Operators)) {
			time.Sleep(5 * time.Millisecond)
		}
	}
	within := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := make([]sync.Mutex, len(hosts))
	later := func(begin time.Duration, i int, fault func(m *standin.Machine)) {
		wg.Go(func() {
			if sleep(ctx, begin) {
				busy[i].Lock()
				defer busy[i].Unlock()
				fault(hosts[i])
			}
		})
	}
	restart := func(down time.Duration, wipe bool) func(*standin.Machine) {
		return func(m *standin.Machine) {
			m.Kill()
			sleep(ctx, down)
			if wipe {
				if err := m.Wipe(); err != nil {
					r.check.addViolation("failed to wipe %s: %v", m.Name, err)
				}
			}
			if err := m.Start(); err != nil {
				r.check.addViolation("failed to start %s: %v", m.Name, err)
			}
		}
	}
	lost := random.IntN(2 * len(hosts)) // in half of the runs, none
	if lost < len(hosts) {
		wipe := random.IntN(2) == 0
		lostHost = hosts[lost]
		r.Logf("seed %d: lose %s at the first start, wiped: %t", r.Seed, hosts[lost].Name, wipe)
		later(within(startFaultTime), lost, restart(minStartLoss+within(maxStartLoss-minStartLoss), wipe))
	}
	begin, most := time.Duration(0), startFaultTime/maxStartFaults
	for range random.IntN(maxStartFaults + 1) {
		at, down, some := begin+within(most/2), within(most/2), random.IntN(len(hosts))
		begin += most
		if random.IntN(4) == 0 {
			for i, m := range hosts {
				if i == some && i != lost {
					r.Logf("seed %d: pause %s at the first start", r.Seed, m.Name)
					later(at, i, func(m *standin.Machine) {
						m.Signal(syscall.SIGSTOP)
						sleep(ctx, down)
						m.Signal(syscall.SIGCONT)
					})
				}
			}
			continue
		}
		r.Logf("seed %d: kill all control hosts but %d at the first start", r.Seed, some)
		for i := range hosts {
			if i != lost && i >= some {
				later(at, i, restart(down, false))
			}
		}
	}
	return lostHost
}

func isListening(ctx context.Context, address netip.AddrPort) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	c.Close()
	return true
}
