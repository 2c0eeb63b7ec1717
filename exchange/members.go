package exchange

import (
	"time"
)

// member is a host that polls this control host.
type member struct {
	Host
	lastPoll time.Time
	load     float64
	// restored is true if the host is from the cached state and has not polled this run yet.
	restored bool
}

// resize adapts the number of active hosts to their load. The caller holds h.mu.
func (h *Hub) resize(now time.Time) {
	load := 0.0
	for _, m := range h.members {
		load += m.load
	}
	before := h.sizer.count
	if after := h.sizer.update(now, h.entries, load); after != before {
		h.Log.Info().Int("active", after).Int("before", before).Float64("load", load).Msg("number of active entry hosts changed")
		h.selectHosts()
	}
}

// selectHosts computes the list that entry hosts receive. An entry host that merges the lists
// of several control hosts selects the same hosts as Active selects from all hosts. The caller
// holds h.mu.
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
	if h.selected.replace(append(control, Active(entries, max(minActive, h.sizer.count))...)) {
		h.wake()
	}
}

// recordHost records a poll of a host. The caller holds h.mu.
func (h *Hub) recordHost(now time.Time, from *Host, load float64) {
	m := h.members[from.Name]
	if m != nil {
		if from.Start < m.Start && now.Sub(m.lastPoll) < PollWait+responseTimeout {
			// A delayed request of an earlier run. If the later run has not polled for this
			// long, it has ended, and its clock may have been ahead.
			return
		}
		m.lastPoll, m.load, m.restored = now, load, false
		if m.Host == *from {
			return
		}
	}
	h.members[from.Name] = &member{Host: *from, lastPoll: now, load: load}
	h.all.set(*from)
	h.wakeControl()
	if m != nil && m.onlyRestarted(from) {
		// The selection stays the same, so it is not computed again: after a power failure,
		// all hosts restart at once.
		if h.selected.has(from.Name) && h.selected.set(*from) {
			h.wake()
		}
		return
	}
	h.selectHosts()
}

// onlyRestarted reports whether the host differs from its previous description only in Start.
func (m *member) onlyRestarted(from *Host) bool {
	previous := m.Host
	previous.Start = from.Start
	return previous == *from
}

// expire removes entry hosts that have not polled within Expiry, and control hosts that have
// not polled within forgetControlAfter. The caller holds h.mu.
func (h *Hub) expire(now time.Time) {
	before := len(h.members)
	for name, m := range h.members {
		age, limit := now.Sub(m.lastPoll), Expiry
		if m.IsControl() {
			limit = forgetControlAfter
		}
		if age < limit {
			continue
		}
		h.Log.Warn().Str("member", name).Dur("age", age).Msg("host removed: it has stopped polling")
		delete(h.members, name)
		h.all.remove(name)
	}
	if len(h.members) < before {
		h.wakeControl()
		h.selectHosts()
	}
}
