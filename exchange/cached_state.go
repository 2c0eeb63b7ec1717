package exchange

import (
	"time"

	"wasabirelay/control"
	"wasabirelay/registry"
)

// CachedState is what a control host keeps over a restart, so that hosts that restart at the
// same time can serve before a leader is elected and before targets and hosts are heard.
type CachedState struct {
	Targets []registry.Record `json:"targets"`
	// Hosts are the entry hosts, Shared is the control state that was in force.
	Hosts        []Host               `json:"hosts"`
	RoutingState control.RoutingState `json:"shared"`
}

// Restore takes what an earlier run knew. Targets count as silent after length unless
// they announce themselves, hosts are gone after Expiry unless they ask.
func (h *Hub) Restore(k *CachedState, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.targets.Restore(now, k.Targets, length)
	for _, host := range k.Hosts {
		h.members[host.Name] = &member{Host: host, heard: now, restored: true}
		h.all.set(host)
	}
	h.young = len(k.Hosts) == 0
	h.shared = k.RoutingState
	h.selectHosts()
	h.wake()
}

// CachedState returns what is worth keeping, and a number that changes with it.
func (h *Hub) CachedState() (k *CachedState, revision [3]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k = &CachedState{Targets: h.targets.Since(h.Clock.Now(), 0), RoutingState: h.shared}
	for _, m := range h.members {
		if !m.IsControl() && !m.Draining {
			k.Hosts = append(k.Hosts, m.Host)
		}
	}
	return k, h.revision()
}

// ChangedSince reports whether there is more to keep than at a revision of Known.
func (h *Hub) ChangedSince(revision [3]uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision() != revision
}

// revision identifies what Known returns. The hub is locked.
func (h *Hub) revision() [3]uint64 {
	return [3]uint64{h.targets.Revision(), h.all.version, h.shared.Revision}
}
