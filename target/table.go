package target

import (
	"reflect"
	"slices"
	"time"

	"wasabirelay/control"
	"wasabirelay/inventory"
)

// maxCallGap is the longest gap between two calls that counts as normal operation. It is
// four check intervals, which allows for scheduling delays.
const maxCallGap = 4 * checkInterval

// Input is the input of a decision of the table.
type Input struct {
	Now  time.Time
	View *control.View
	// Addresses holds the caller addresses of the hosts that serve. It is nil if they are
	// not known.
	Addresses []string
}

// Decision is the action to take on an announcement.
type Decision int

// Values of Decision.
const (
	// Acknowledge means that the announcement changes nothing.
	Acknowledge Decision = iota
	// Propose means that the announcement changes the control state and must be proposed.
	Propose
	// Decline means that this host does not serve. The target must renew through another
	// host.
	Decline
)

// Table tracks the renewals of the targets of one host and decides when they expire. It
// does no I/O, reads no clock and is not safe for concurrent use.
type Table struct {
	Host string

	entries     map[string]*entry
	serving     serving
	lastCall    time.Time // time of the last call of Renew, Accept or Expire
	silenceFrom time.Time // missing renewals before this time do not count
}

type entry struct {
	incarnation     string
	lastRenewal     time.Time     // time of the last renewal, or when this host became responsible
	expirySent      time.Duration // expiry period that was sent to the target
	accepted        control.Target
	acceptedIndex   uint64             // log index of accepted
	acceptedAt      time.Time          // time when accepted was committed
	dropped         []control.Snapshot // snapshots of accepted that the control state did not accept
	leaveProposedAt time.Time          // time of the last proposal of a leave
}

// Renew records an announcement and returns the action to take.
func (t *Table) Renew(in Input, a *control.Target) Decision {
	if !t.recordCall(in) {
		return Decline
	}
	committed := in.find(a.Service, a.Name)
	e := t.entries[a.Name]
	if e != nil && e.acceptedIndex > in.View.Revision {
		committed = &e.accepted // The view does not show the last accepted announcement yet.
	}
	if committed == nil || committed.Incarnation != a.Incarnation {
		return Propose
	}
	if e == nil || e.incarnation != a.Incarnation {
		e = t.track(a.Name, a.Incarnation)
	}
	// An announcement renews even if its change can't be committed.
	e.lastRenewal, e.expirySent = in.Now, in.expire()
	if e.matches(in, committed, a) {
		return Acknowledge
	}
	return Propose
}

// Accept records that the announcement was committed with the result.
func (t *Table) Accept(in Input, a *control.Target, r control.Result) {
	t.recordCall(in)
	e := t.track(a.Name, a.Incarnation)
	e.lastRenewal, e.expirySent, e.accepted, e.acceptedIndex, e.acceptedAt, e.dropped = in.Now, in.expire(), *a, r.Index, in.Now, r.Dropped
}

// matches reports whether the announcement is equal to the committed target. Snapshots that
// the control state did not accept are ignored for one expiry period, so that they are
// proposed once per period and not with each renewal.
func (e *entry) matches(in Input, committed, a *control.Target) bool {
	k, announced := *committed, *a
	k.Since = announced.Since // Set by the state machine.
	if len(e.dropped) > 0 && in.Now.Sub(e.acceptedAt) < in.expire() {
		dropped := func(n control.Snapshot) bool { return slices.Contains(e.dropped, n) }
		k.Snapshots = slices.DeleteFunc(slices.Clone(k.Snapshots), dropped)
		announced.Snapshots = slices.DeleteFunc(slices.Clone(announced.Snapshots), dropped)
	}
	return reflect.DeepEqual(&k, &announced)
}

// Expire returns the leaves of the targets that missed their renewals. If the home of a
// target does not serve, one of the serving hosts is responsible for the target.
func (t *Table) Expire(in Input) []control.Leave {
	if !t.recordCall(in) {
		return nil
	}
	t.serving.update(in)
	ownTargets := map[string]bool{}
	var leaves []control.Leave
	for _, list := range in.View.Targets {
		for _, committed := range list {
			if !t.responsible(committed) {
				continue
			}
			ownTargets[committed.Name] = true
			if t.isOverdue(in, committed) {
				leaves = append(leaves, control.Leave{
					Target: committed.Name, Incarnation: committed.Incarnation, Reason: control.Expired, Home: committed.Home,
				})
			}
		}
	}
	for name, e := range t.entries {
		if !ownTargets[name] && e.acceptedIndex <= in.View.Revision {
			delete(t.entries, name)
		}
	}
	return leaves
}

// recordCall records the time of a call and reports whether this host serves. The time
// during which the process was frozen or did not serve does not count towards expiry,
// because renewals could not arrive.
func (t *Table) recordCall(in Input) bool {
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	serves := in.serves(t.Host)
	gap := in.Now.Sub(t.lastCall)
	if !serves || gap > maxCallGap || gap < 0 {
		t.silenceFrom = in.Now
	}
	t.lastCall = in.Now
	return serves
}

func (t *Table) track(name, incarnation string) *entry {
	e := &entry{incarnation: incarnation}
	t.entries[name] = e
	return e
}

// responsible reports whether this host expires the target.
func (t *Table) responsible(committed *control.Target) bool {
	if committed.Home == t.Host {
		return true
	}
	return t.serving.isKnown() && !t.serving.names[committed.Home] && t.serving.successor(committed.Name) == t.Host
}

// isOverdue reports whether a leave of the target must be proposed now.
func (t *Table) isOverdue(in Input, committed *control.Target) bool {
	e := t.entries[committed.Name]
	if e != nil && e.acceptedIndex > in.View.Revision {
		return false
	}
	if e == nil || e.incarnation != committed.Incarnation {
		e = t.track(committed.Name, committed.Incarnation)
		e.lastRenewal = in.Now
	}
	since := e.lastRenewal
	// since is after the current time if the clock was set back.
	if t.silenceFrom.After(since) || since.After(in.Now) {
		since = t.silenceFrom
	}
	// If the expiry period that was sent to the target is longer than that of the current
	// rule, it applies until the next renewal.
	if in.Now.Sub(since) < max(e.expirySent, in.expire()) || in.Now.Sub(e.leaveProposedAt) < in.renew() {
		return false
	}
	e.leaveProposedAt = in.Now
	return true
}

func (in Input) find(service, name string) *control.Target {
	for _, t := range in.View.Targets[service] {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// serves reports whether the host is one of those that serve. A host that is not in the
// inventory has no known address and counts as serving.
func (in Input) serves(host string) bool {
	h, listed := in.View.Inventory.Hosts[host]
	return in.Addresses == nil || !listed || slices.Contains(in.Addresses, h.Caller.String())
}

func (in Input) renew() time.Duration {
	if d := in.View.Inventory.Rules.RenewInterval.Duration; d > 0 {
		return d
	}
	return inventory.DefaultRenewInterval
}

func (in Input) expire() time.Duration {
	if d := in.View.Inventory.Rules.ExpireAfter.Duration; d > 0 {
		return d
	}
	return inventory.DefaultExpireAfter
}
