package exchange

import (
	"time"
)

// member is a host that asks.
type member struct {
	Host
	heard time.Time
	load  float64
	// restored states that the host has not asked this run yet.
	restored bool
}

// resize adapts the number of active hosts to their load. The hub is locked.
func (h *Hub) resize(now time.Time) {
	load := 0.0
	for _, m := range h.members {
		load += m.load
	}
	before := h.sizing.count
	if after := h.sizing.step(now, load); after != before {
		h.Log.Info().Int("active", after).Int("before", before).Float64("load", load).Msg("number of active entry hosts changed")
		h.selectHosts()
	}
}

// selectHosts computes the list for entry hosts. With the lists of other control hosts
// they select the same hosts as Active would among all. The hub is locked.
func (h *Hub) selectHosts() {
	var control, entries []Host
	for _, m := range h.members {
		if m.IsControl() {
			control = append(control, m.Host)
		} else {
			entries = append(entries, m.Host)
		}
	}
	h.entries = len(entries)
	if h.selected.replace(append(control, Active(entries, max(leastActive, h.sizing.count))...)) {
		h.wake()
	}
}

// note records the host that asks. The hub is locked.
func (h *Hub) note(now time.Time, from *Host, load float64) {
	m := h.members[from.Name]
	if m != nil {
		if from.Start < m.Start && now.Sub(m.heard) < PollWait+answerTimeout {
			// A question of an earlier run that was held up. A run that is silent has
			// ended; its clock may have been ahead.
			return
		}
		m.heard, m.load, m.restored = now, load, false
		if m.Host == *from {
			return
		}
	}
	h.members[from.Name] = &member{Host: *from, heard: now, load: load}
	h.all.set(*from)
	h.wakeControl()
	if m != nil && m.restarted(from) {
		// The selection stays the same. After a loss of power, all hosts come at once.
		if h.selected.has(from.Name) && h.selected.set(*from) {
			h.wake()
		}
		return
	}
	h.selectHosts()
}

// restarted reports whether the host differs from what was known in its run only.
func (m *member) restarted(from *Host) bool {
	known := m.Host
	known.Start = from.Start
	return known == *from
}

// expire removes hosts that have not asked lately. The hub is locked.
func (h *Hub) expire(now time.Time) {
	before := len(h.members)
	for name, m := range h.members {
		age, bound := now.Sub(m.heard), Expiry
		if m.IsControl() {
			bound = forgetControl
		}
		if age < bound {
			continue
		}
		h.Log.Warn().Str("member", name).Dur("age", age).Msg("host not heard from, no longer named to callers")
		delete(h.members, name)
		h.all.remove(name)
	}
	if len(h.members) < before {
		h.wakeControl()
		h.selectHosts()
	}
}
