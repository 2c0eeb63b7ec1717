// Package registry holds what targets announce about themselves. Each control host
// has a table of what it heard; every other host follows the tables of all control
// hosts and merges them. Nothing here is in the replicated log: a target must be
// able to register and to leave while the log has no leader. It is pure.
package registry

import (
	"cmp"
	"net/netip"
	"time"
)

// State is what a target says of itself.
type State string

// Values of State. Gone is the state of a target that has said that it ends.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// rank orders the states of one incarnation: a target that leaves never comes back
// under the same incarnation, so a late announcement can't revive it.
func (s State) rank() int {
	switch s {
	case Gone:
		return 2
	case Draining:
		return 1
	}
	return 0
}

// Announcement is one heartbeat or leave of a target.
type Announcement struct {
	Target string `json:"target"`
	// StartUnixMilli is when this incarnation of the target started, in Unix milliseconds by its
	// own clock. It orders the incarnations of a target and the targets of an address.
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

// newer orders announcements of one target.
func (a *Announcement) newer(b *Announcement) bool {
	return cmp.Or(
		cmp.Compare(a.StartUnixMilli, b.StartUnixMilli),
		cmp.Compare(a.State.rank(), b.State.rank()),
		cmp.Compare(a.Sequence, b.Sequence),
	) > 0
}

// Record is an announcement as a control host knows it.
type Record struct {
	Announcement
	// Silent states that the control host has heard nothing for the silence bound.
	Silent bool `json:"silent,omitempty"`
}

// forgetAfter is how long a table remembers targets that are gone or silent, so
// that late announcements do not revive them. It exceeds the delay of messages that
// a partition held up.
const forgetAfter = 2 * time.Minute

// Table is what one control host has heard. Exported fields are set before use. It
// is not safe for concurrent use.
type Table struct {
	// SilenceTimeout is after which time without an announcement a target counts as silent.
	SilenceTimeout time.Duration

	revision uint64
	entries  map[string]*entry
}

type entry struct {
	Record
	revision uint64
	heard    time.Time
	coldEnd  time.Time
}

// Revision is the number of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// Announce takes an announcement. It reports whether hosts need to know of it.
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
		a = e.Announcement // a leave that does not name its incarnation ends the known one
		a.State = Gone
	}
	if e.heard.IsZero() || a.newer(&e.Announcement) {
		return t.replace(now, e, a)
	}
	return false
}

func (t *Table) replace(now time.Time, e *entry, a Announcement) bool {
	old, oldEnd := e.Record, e.coldEnd
	first := e.heard.IsZero()
	e.Announcement, e.Silent = a, false
	e.heard, e.coldEnd = now, now.Add(a.ColdRemaining)
	// The sequence and the remaining cold time change with each heartbeat.
	old.Sequence, old.ColdRemaining = a.Sequence, a.ColdRemaining
	moved := e.coldEnd.Sub(oldEnd).Abs() > coldTolerance && (now.Before(e.coldEnd) || now.Before(oldEnd))
	if !first && old == e.Record && !moved {
		return false
	}
	t.touch(e)
	return true
}

// coldTolerance is the difference in the end of the cold phase that is not worth an
// update: announcements travel for some milliseconds.
const coldTolerance = 200 * time.Millisecond

func (t *Table) touch(e *entry) {
	t.revision++
	e.revision = t.revision
}

// Tick marks targets as silent and forgets old ones. It reports whether hosts need
// to know of a change.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for name, e := range t.entries {
		age := now.Sub(e.heard)
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

// Restore takes records of an earlier run. Those that are not silent become so after
// length unless the target is heard.
func (t *Table) Restore(now time.Time, records []Record, length time.Duration) {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	for _, r := range records {
		e := &entry{Record: r, heard: now.Add(length - t.SilenceTimeout), coldEnd: now.Add(r.ColdRemaining)}
		t.entries[r.Target] = e
		t.touch(e)
	}
}

// Since returns the records that have changed after a revision.
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
