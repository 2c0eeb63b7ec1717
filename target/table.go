package target

import (
	"reflect"
	"slices"
	"time"

	"wasabirelay/control"
	"wasabirelay/inventory"
)

// freeze is the longest gap between two calls that counts as normal operation.
// It is four check periods, which leaves room for a busy scheduler.
const freeze = 4 * period

// Input is what the table decides on.
type Input struct {
	Now  time.Time
	View *control.View
	// Addresses holds the caller addresses of the hosts that serve. Nil means
	// that they are not known.
	Addresses []string
}

// Decision is what to do with an announcement.
type Decision int

// Values of Decision.
const (
	// Acknowledge means that the announcement says nothing new.
	Acknowledge Decision = iota
	// Propose means that it changes the control state.
	Propose
	// Decline means that this host does not serve, so that the target has to
	// renew through another one.
	Decline
)

// Table tracks the targets that renew through one host. It is pure and not safe
// for concurrent use.
type Table struct {
	Host string

	entries map[string]*entry
	serving serving
	last    time.Time // time of the last call
	floor   time.Time // silence before this time does not count
}

type entry struct {
	incarnation string
	seen        time.Time     // last renewal, or when this host took the target over
	told        time.Duration // expiry that the target was told
	accepted    control.Target
	index       uint64             // log index of accepted
	at          time.Time          // when it was accepted
	dropped     []control.Snapshot // snapshots of accepted that the log did not take over
	proposed    time.Time          // when the last leave was proposed
}

// Renew records an announcement and decides what to do with it.
func (t *Table) Renew(s Input, a *control.Target) Decision {
	if !t.observe(s) {
		return Decline
	}
	known := s.find(a.Service, a.Name)
	e := t.entries[a.Name]
	if e != nil && e.index > s.View.Revision {
		known = &e.accepted // The view does not show the last accepted announcement yet.
	}
	if known == nil || known.Incarnation != a.Incarnation {
		return Propose
	}
	if e == nil || e.incarnation != a.Incarnation {
		e = t.watch(a.Name, a.Incarnation)
	}
	// A change that can't be committed is a sign of life as well.
	e.seen, e.told = s.Now, s.expire()
	if e.says(s, known, a) {
		return Acknowledge
	}
	return Propose
}

// Accept records that the announcement was committed with the result.
func (t *Table) Accept(s Input, a *control.Target, r control.Result) {
	t.observe(s)
	e := t.watch(a.Name, a.Incarnation)
	e.seen, e.told, e.accepted, e.index, e.at, e.dropped = s.Now, s.expire(), *a, r.Index, s.Now, r.Dropped
}

// says reports whether the announcement says what is known. Snapshots that the
// log did not take over do not count for a while, so that they are proposed once
// per expiry period and not with each renewal.
func (e *entry) says(s Input, known, a *control.Target) bool {
	k, said := *known, *a
	k.Since = said.Since // Set by the state machine.
	if len(e.dropped) > 0 && s.Now.Sub(e.at) < s.expire() {
		dropped := func(n control.Snapshot) bool { return slices.Contains(e.dropped, n) }
		k.Snapshots = slices.DeleteFunc(slices.Clone(k.Snapshots), dropped)
		said.Snapshots = slices.DeleteFunc(slices.Clone(said.Snapshots), dropped)
	}
	return reflect.DeepEqual(&k, &said)
}

// Expire returns the leaves of the targets that missed their renewals. A target
// whose home does not serve any more is watched by one of the hosts that do.
func (t *Table) Expire(s Input) []control.Leave {
	if !t.observe(s) {
		return nil
	}
	t.serving.update(s)
	watched := map[string]bool{}
	var leaves []control.Leave
	for _, list := range s.View.Targets {
		for _, known := range list {
			if !t.responsible(known) {
				continue
			}
			watched[known.Name] = true
			if t.overdue(s, known) {
				leaves = append(leaves, control.Leave{
					Target: known.Name, Incarnation: known.Incarnation, Reason: control.Expired, Home: known.Home,
				})
			}
		}
	}
	for name, e := range t.entries {
		if !watched[name] && e.index <= s.View.Revision {
			delete(t.entries, name)
		}
	}
	return leaves
}

// observe notes the time of a call. It reports whether this host serves. The
// time during which the process was frozen or did not serve is not held against
// the targets, because their renewals had no chance to arrive.
func (t *Table) observe(s Input) bool {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	serves := s.serves(t.Host)
	gap := s.Now.Sub(t.last)
	if !serves || gap > freeze || gap < 0 {
		t.floor = s.Now
	}
	t.last = s.Now
	return serves
}

func (t *Table) watch(name, incarnation string) *entry {
	e := &entry{incarnation: incarnation}
	t.entries[name] = e
	return e
}

// responsible reports whether this host has to expire the target.
func (t *Table) responsible(known *control.Target) bool {
	if known.Home == t.Host {
		return true
	}
	return t.serving.known() && !t.serving.names[known.Home] && t.serving.successor(known.Name) == t.Host
}

// overdue reports whether a leave of the target has to be proposed now.
func (t *Table) overdue(s Input, known *control.Target) bool {
	e := t.entries[known.Name]
	if e != nil && e.index > s.View.Revision {
		return false
	}
	if e == nil || e.incarnation != known.Incarnation {
		e = t.watch(known.Name, known.Incarnation)
		e.seen = s.Now
	}
	since := e.seen
	if t.floor.After(since) || since.After(s.Now) { // The second after the clock was set back.
		since = t.floor
	}
	// A target that was told a longer expiry than the rule has now keeps it
	// until its next renewal.
	if s.Now.Sub(since) < max(e.told, s.expire()) || s.Now.Sub(e.proposed) < s.renew() {
		return false
	}
	e.proposed = s.Now
	return true
}

func (s Input) find(service, name string) *control.Target {
	for _, t := range s.View.Targets[service] {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// serves reports whether the host is among those that serve. A host that the
// inventory does not list has no address to look for and is taken as serving.
func (s Input) serves(host string) bool {
	h, listed := s.View.Inventory.Hosts[host]
	return s.Addresses == nil || !listed || slices.Contains(s.Addresses, h.Caller.String())
}

func (s Input) renew() time.Duration {
	if d := s.View.Inventory.Rules.Renew.Duration; d > 0 {
		return d
	}
	return inventory.DefaultRenew
}

func (s Input) expire() time.Duration {
	if d := s.View.Inventory.Rules.Expire.Duration; d > 0 {
		return d
	}
	return inventory.DefaultExpire
}
