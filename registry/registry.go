// Package registry holds the announcements of targets. Each control host has a table of the
// announcements that it received; every other host follows the tables of all control hosts and
// merges them. None of this is in the replicated log, because a target must be able to
// register and to leave while the log has no leader. The package does no I/O and reads no clock.
package registry

import (
	"cmp"
	"net/netip"
	"time"
)

// State is the state that a target announces.
type State string

// Values of State. Gone is the state of a target that has left.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// rank orders the states of one incarnation. A target that drains or has left never becomes
// ready again under the same incarnation, so a late announcement can't revive it.
func (s State) rank() int {
	switch s {
	case Gone:
		return 2
	case Draining:
		return 1
	}
	return 0
}

// Announcement is a heartbeat or leave of a target.
type Announcement struct {
	Target string `json:"target"`
	// StartUnixMilli is the start time of this incarnation of the target, in Unix milliseconds
	// by its own clock. It orders the incarnations of a target and the targets that used one
	// address.
	StartUnixMilli int64 `json:"born"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64         `json:"sequence"`
	Service  string         `json:"service"`
	Version  string         `json:"version,omitempty"`
	Centre   string         `json:"centre"`
	Address  netip.AddrPort `json:"address,omitzero"`
	Slots    int            `json:"slots,omitempty"`
	State    State          `json:"state"`
	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration `json:"cold,omitempty"`
}

// newer reports whether a is newer than b, an announcement of the same target.
func (a *Announcement) newer(b *Announcement) bool {
	return cmp.Or(
		cmp.Compare(a.StartUnixMilli, b.StartUnixMilli),
		cmp.Compare(a.State.rank(), b.State.rank()),
		cmp.Compare(a.Sequence, b.Sequence),
	) > 0
}

// Record is the newest announcement of a target at a control host.
type Record struct {
	Announcement
	// Silent is true if the control host has received no announcement of the target within the
	// silence timeout.
	Silent bool `json:"silent,omitempty"`
}

// forgetAfter is how long a table keeps targets that are gone or silent, so that late
// announcements do not revive them. It exceeds the delay of messages that a network partition
// held up.
const forgetAfter = 2 * time.Minute

// Table holds the announcements that one control host received. Exported fields must be set
// before use. It is not safe for concurrent use.
type Table struct {
	// SilenceTimeout is the time without an announcement after which a target is silent.
	SilenceTimeout time.Duration

	revision uint64
	entries  map[string]*entry
}

type entry struct {
	Record
	revision  uint64
	lastHeard time.Time
	coldEnd   time.Time
}

// Revision returns the number of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// Announce processes an announcement. It reports whether the table changed in a way that other
// hosts must learn of.
func (t *Table) Announce(now time.Time, a Announcement) bool {
	e := t.entries[a.Target]
	switch {
	case e == nil:
		if t.entries == nil {
			t.entries = map[string]*entry{}
		}
		e = &entry{}
		t.entries[a.Target] = e
	case a.State == Gone && a.StartUnixMilli == 0:
		a = e.Announcement // a leave without a start time ends the current incarnation
		a.State = Gone
	}
	if e.lastHeard.IsZero() || a.newer(&e.Announcement) {
		return t.replace(now, e, a)
	}
	return false
}

func (t *Table) replace(now time.Time, e *entry, a Announcement) bool {
	old, oldEnd := e.Record, e.coldEnd
	first := e.lastHeard.IsZero()
	e.Announcement, e.Silent = a, false
	e.lastHeard, e.coldEnd = now, now.Add(a.ColdRemaining)
	// The sequence and the remaining cold time change with each heartbeat.
	old.Sequence, old.ColdRemaining = a.Sequence, a.ColdRemaining
	coldEndChanged := e.coldEnd.Sub(oldEnd).Abs() > coldTolerance && (now.Before(e.coldEnd) || now.Before(oldEnd))
	if !first && old == e.Record && !coldEndChanged {
		return false
	}
	t.touch(e)
	return true
}

// coldTolerance is the change of the end of a cold phase that causes no update: announcements
// travel for some milliseconds.
const coldTolerance = 200 * time.Millisecond

func (t *Table) touch(e *entry) {
	t.revision++
	e.revision = t.revision
}

// Tick marks targets as silent and removes old ones. It reports whether other hosts must learn
// of a change.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for name, e := range t.entries {
		age := now.Sub(e.lastHeard)
		if !e.Silent && e.State != Gone && age > t.SilenceTimeout {
			e.Silent = true
			t.touch(e)
			changed = true
		}
		if age > forgetAfter {
			delete(t.entries, name)
		}
	}
	return changed
}

// Restore adds records of an earlier run. Those that are not silent become so after timeout
// unless the target announces itself.
func (t *Table) Restore(now time.Time, records []Record, timeout time.Duration) {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	for _, r := range records {
		e := &entry{Record: r, lastHeard: now.Add(timeout - t.SilenceTimeout), coldEnd: now.Add(r.ColdRemaining)}
		t.entries[r.Target] = e
		t.touch(e)
	}
}

// Since returns the records that changed after the given revision.
func (t *Table) Since(now time.Time, revision uint64) []Record {
	var out []Record
	for _, e := range t.entries {
		if e.revision <= revision {
			continue
		}
		r := e.Record
		r.ColdRemaining = max(0, e.coldEnd.Sub(now))
		out = append(out, r)
	}
	return out
}

// Len returns the number of targets that are neither gone nor silent.
func (t *Table) Len() int {
	n := 0
	for _, e := range t.entries {
		if e.State != Gone && !e.Silent {
			n++
		}
	}
	return n
}
