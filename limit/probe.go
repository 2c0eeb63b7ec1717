package limit

import (
	"slices"

	"wasabirelay/control"
)

// Probe opens a connection to the target, which it keeps for a sub-request if the share of this
// host allows one more. It returns an error if the target can't be reached.
func (p *Pool) Probe(target *control.Target) error {
	t := p.targetPool(target)
	if t == nil {
		return &RefusedError{Target: target.Name, Reason: NoShare}
	}
	c, err := p.connect(t.address)
	if err != nil {
		return err
	}
	if err := t.checkAccepted(c); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.retired || t.open >= t.share.Connections {
		c.close()
		return nil
	}
	t.open++
	t.stats.Opened++
	t.put(c)
	return nil
}

// IsReachable reports whether an idle connection to the target is open, without sending anything.
func (p *Pool) IsReachable(target *control.Target) bool {
	t := p.targetPool(target)
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.idle, (*connection).usable)
}
