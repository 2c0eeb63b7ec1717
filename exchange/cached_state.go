package exchange

import (
	"time"

	"wasabirelay/control"
	"wasabirelay/registry"
)

// CachedState is the state that a control host saves for its next start. With it, hosts that
// all restart at the same time can serve before a leader is elected and before targets and
// hosts have contacted the control hosts again.
type CachedState struct {
	Targets []registry.Record `json:"targets"`
	// Hosts lists the entry hosts, RoutingState is the state that was in force.
	Hosts        []Host               `json:"hosts"`
	RoutingState control.RoutingState `json:"shared"`
}

// Restore loads the cached state of an earlier run. Targets count as silent after silentAfter
// unless they announce themselves; hosts are removed after Expiry unless they poll.
func (h *Hub) Restore(s *CachedState, silentAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.targets.Restore(now, s.Targets, silentAfter)
	for _, host := range s.Hosts {
		h.members[host.Name] = &member{Host: host, lastPoll: now, restored: true}
		h.all.set(host)
	}
	h.starting = len(s.Hosts) == 0
	h.routingState = s.RoutingState
	h.selectHosts()
	h.wake()
}

// CachedState returns the state to save, and a revision that changes with it.
func (h *Hub) CachedState() (s *CachedState, revision [3]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s = &CachedState{Targets: h.targets.Since(h.Clock.Now(), 0), RoutingState: h.routingState}
	for _, m := range h.members {
		if !m.IsControl() && !m.Draining {
			s.Hosts = append(s.Hosts, m.Host)
		}
	}
	return s, h.revision()
}

// ChangedSince reports whether the state to save differs from the one at the revision.
func (h *Hub) ChangedSince(revision [3]uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision() != revision
}

// revision identifies the state that CachedState returns. The caller holds h.mu.
func (h *Hub) revision() [3]uint64 {
	return [3]uint64{h.targets.Revision(), h.all.revision, h.routingState.Revision}
}
