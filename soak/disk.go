package soak

import (
	"os"
	"path/filepath"
	"time"

	"wasabirelay/platform/standin"
)

// wipeControl removes the data directory of a control host.
func (r *Run) wipeControl() func() {
	return r.loseDisk((*standin.Machine).Wipe)
}

// damageControl flips a bit in a file of a control host, or truncates the file.
func (r *Run) damageControl() func() {
	return r.loseDisk(func(m *standin.Machine) error {
		files, err := filepath.Glob(filepath.Join(m.DataDir(), "*"))
		if err != nil || len(files) == 0 {
			return err
		}
		name := files[r.rand.IntN(len(files))]
		if info, err := os.Stat(name); err != nil || info.IsDir() || info.Size() == 0 {
			return err // a directory contains files that were set aside as damaged
		}
		text, err := os.ReadFile(name) //nolint:gosec // a file of the soak
		if err != nil {
			return err
		}
		at := r.rand.IntN(len(text))
		if r.rand.IntN(2) == 0 {
			return os.WriteFile(name, text[:at], 0o600) //nolint:gosec // a file of the soak
		}
		text[at] ^= 1 << r.rand.IntN(8)
		return os.WriteFile(name, text, 0o600) //nolint:gosec // a file of the soak
	})
}

// loseDisk kills a control host and damages its disk. It reserves all control hosts, because
// no other may be down while the group repairs itself.
func (r *Run) loseDisk(damage func(*standin.Machine) error) func() {
	release := r.reserveControl()
	if release == nil {
		return nil
	}
	victim := r.machine(r.rand.IntN(r.ControlHosts))
	victim.Kill()
	if err := damage(victim); err != nil {
		r.check.addViolation("damage the disk of %s: %v", victim.Name, err)
	}
	if err := victim.Start(); err != nil {
		r.check.addViolation("failed to start %s: %v", victim.Name, err)
	}
	return func() {
		r.awaitRepair(victim)
		release()
	}
}

// reserveControl reserves all control hosts and returns a function that releases them. It returns
// nil if one of them has a fault.
func (r *Run) reserveControl() (release func()) {
	machines := r.deployment.Machines()[:r.ControlHosts]
	for i, m := range machines {
		if !m.Reserve() {
			for _, reserved := range machines[:i] {
				reserved.Release()
			}
			return nil
		}
	}
	return func() {
		for _, m := range machines {
			m.Release()
		}
	}
}

// awaitRepair waits until the host is a voter again: if a second disk is lost before that, a
// document may be lost with the majority of the disks that hold it. The links of hosts have no
// faults meanwhile.
func (r *Run) awaitRepair(m *standin.Machine) {
	for _, p := range r.hostLinks {
		p.Set(Pass, false)
	}
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(documentPause) {
		if m.Voter() {
			return
		}
	}
	r.check.addViolation("%s has an empty disk and is not a voter after %s", m.Name, recoveryTimeout)
}

// exitTimeout bounds the time in which a process ends after a failed write, if it does.
const exitTimeout = time.Second

// fillControl makes the writes of a control host fail. Its process may end because of that.
func (r *Run) fillControl() func() {
	m := r.reserve(0, r.ControlHosts)
	if m == nil {
		return nil
	}
	if err := m.FillDisk(true); err != nil {
		r.check.addViolation("fill the disk of %s: %v", m.Name, err)
	}
	return func() {
		err := m.FillDisk(false)
		if m.Wait(exitTimeout) {
			r.restart(m)
			return
		}
		if err != nil {
			r.check.addViolation("free the disk of %s: %v", m.Name, err)
		}
		m.Release()
	}
}
