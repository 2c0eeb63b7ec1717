package soak

import "syscall"

// replaceControl replaces a control host by an empty one, in half of the cases while the old one
// still runs. It reserves all control hosts, because no other may be down before the new one has
// taken over.
func (r *Run) replaceControl() func() {
	release := r.reserveControl()
	if release == nil {
		return nil
	}
	old := r.machine(r.rand.IntN(r.ControlHosts))
	planned := r.rand.IntN(2) == 0
	if !planned {
		old.Kill()
	}
	successor, err := r.deployment.AddControlHost(old)
	if err != nil {
		r.check.addViolation("failed to start a control host in place of %s: %v", old.Name, err)
	}
	successor.Reserve()
	return func() {
		if planned {
			old.Signal(syscall.SIGTERM)
			if !old.Wait(shutdownTimeout) {
				r.check.addViolation("%s still runs %s after SIGTERM", old.Name, shutdownTimeout)
				old.Kill()
			}
		}
		r.awaitRepair(successor)
		successor.Release()
		release()
	}
}
