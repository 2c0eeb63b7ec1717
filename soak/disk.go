package soak

import (
	"os"
	"path/filepath"
	"time"

	"wasabirelay/platform/standin"
)

// wipeControl removes the data folder of a control host.
func (r *Run) wipeControl() func() {
	return r.loseDisk((*standin.Machine).Wipe)
}

// damageControl flips a bit in a file of a control host, or cuts the file off.
func (r *Run) damageControl() func() {
	return r.loseDisk(func(m *standin.Machine) error {
		files, err := filepath.Glob(filepath.Join(m.DataDir(), "*"))
		if err != nil || len(files) == 0 {
			return err
		}
		name := files[r.rand.IntN(len(files))]
		if info, err := os.Stat(name); err != nil || info.IsDir() || info.Size() == 0 {
			return err // a folder holds what was damaged before
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

// loseDisk kills a control host and harms its disk. It takes all control hosts, because
// no other may be away while the group repairs itself.
func (r *Run) loseDisk(harm func(*standin.Machine) error) func() {
	machines := r.deployment.Machines()[:r.ControlHosts]
	for i, m := range machines {
		if !m.Reserve() {
			for _, taken := range machines[:i] {
				taken.Release()
			}
			return nil
		}
	}
	lost := machines[r.rand.IntN(r.ControlHosts)]
	lost.Kill()
	if err := harm(lost); err != nil {
		r.check.addViolation("disk of %s: %v", lost.Name, err)
	}
	if err := lost.Start(); err != nil {
		r.check.addViolation("%s does not start: %v", lost.Name, err)
	}
	return func() {
		r.awaitRepair(lost)
		for _, m := range machines {
			m.Release()
		}
	}
}

// awaitRepair waits until the group is whole again: a second loss before that may
// cost the majority of the disks that hold a document. The links of hosts are whole
// meanwhile.
func (r *Run) awaitRepair(m *standin.Machine) {
	for _, p := range r.hostLinks {
		p.Set(Pass, false)
	}
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(documentPause) {
		if m.Voter() {
			return
		}
	}
	r.check.addViolation("%s has lost its disk and is no voter again after %s", m.Name, recoveryTimeout)
}

// exitTimeout is how long a process may take to end after a failed write.
const exitTimeout = time.Second

// fillControl lets the writes of a control host fail. It may end by that.
func (r *Run) fillControl() func() {
	m := r.reserve(0, r.ControlHosts)
	if m == nil {
		return nil
	}
	if err := m.FillDisk(true); err != nil {
		r.check.addViolation("disk of %s: %v", m.Name, err)
	}
	return func() {
		err := m.FillDisk(false)
		if m.Wait(exitTimeout) {
			r.restart(m)
			return
		}
		if err != nil {
			r.check.addViolation("disk of %s: %v", m.Name, err)
		}
		m.Release()
	}
}
