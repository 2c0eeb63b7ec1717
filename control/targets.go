package control

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

const (
	// historyTerm is how long the incarnations of a target are remembered after
	// they ended. It bounds how late an old process may resume and be recognized.
	historyTerm = 24 * time.Hour
	// maxHistory bounds the incarnations of one name: 64 allow a restart every
	// 22 minutes for a whole term.
	maxHistory = 64
	// maxShards bounds the shards of a snapshot, for which a bitmap is built.
	maxShards = 1 << 16
)

// replaced is the reason of an incarnation that a newer one ended.
const replaced LeaveReason = "replaced"

// incarnation is one run of a target, in the order of first announcements.
type incarnation struct {
	ID    string    `json:"id"`
	First time.Time `json:"first"`
	// Gone and Reason are set when the incarnation has ended.
	Gone   time.Time   `json:"gone,omitzero"`
	Reason LeaveReason `json:"reason,omitempty"`
}

// departure is a target that left; its history is forgotten after historyTerm.
type departure struct {
	name string
	at   time.Time
}

// announce adds a target or replaces what it announced before.
func (s *State) announce(a *Announce, r *Result) *Refusal {
	t := a.Target
	t.Shards, t.Snapshots = slices.Clone(t.Shards), slices.Clone(t.Snapshots)
	if detail := badTarget(&t); detail != "" {
		return &Refusal{Kind: Invalid, Detail: detail}
	}
	old, live := s.targets.get(t.Name)
	if live && old.Service != t.Service {
		return &Refusal{Kind: Taken, Detail: "the name " + t.Name + " belongs to a target of service " + old.Service}
	}
	history, refusal := s.admit(&t)
	if refusal != nil {
		return refusal
	}
	r.Dropped = s.dropSnapshots(&t)
	if len(t.Snapshots) == 0 {
		return &Refusal{Kind: Conflict, Detail: "other targets announce the snapshots with another number of shards"}
	}
	t.Since = s.clock
	if live && old.Incarnation == t.Incarnation && old.State == t.State {
		t.Since = old.Since
	}
	if history != nil {
		s.histories.set(t.Name, history)
	}
	if live && reflect.DeepEqual(*old, t) {
		return nil
	}
	s.learnSnapshots(&t)
	s.putTarget(&t)
	s.updateService(t.Service)
	return nil
}

// badTarget returns what is wrong with an announcement, or "".
func badTarget(t *Target) string {
	if t.Name == "" || t.Incarnation == "" || t.Service == "" {
		return "a target needs a name, an incarnation and a service"
	}
	if t.State != Cold && t.State != Warm && t.State != Draining {
		return "a state is cold, warm or draining"
	}
	if !t.Address.IsValid() {
		return "a target needs an address"
	}
	if t.Slots < 0 || t.Connections < 0 || t.ColdLimit < 0 || t.ConnectCost.Duration < 0 {
		return "slots, connections, bears and connect are 0 or more"
	}
	counts := map[uint64]int{}
	for _, n := range t.Snapshots {
		if n.Shards < 1 || n.Shards > maxShards {
			return fmt.Sprintf("a snapshot has from 1 to %d shards", maxShards)
		}
		if c, ok := counts[n.Number]; ok && c != n.Shards {
			return fmt.Sprintf("snapshot %d is announced with %d and with %d shards", n.Number, c, n.Shards)
		}
		counts[n.Number] = n.Shards
	}
	for _, shard := range t.Shards {
		if shard < 0 || shard >= maxShards {
			return fmt.Sprintf("a shard is from 0 to %d", maxShards-1)
		}
	}
	return ""
}

// admit decides whether the incarnation may announce, and sets the state of a
// new one: a new incarnation is not warm, whatever it announces. A draining one
// stays draining, because that gives it no work at all. The returned history is
// nil if it does not change.
func (s *State) admit(t *Target) ([]incarnation, *Refusal) {
	history, _ := s.histories.get(t.Name)
	i := slices.IndexFunc(history, func(n incarnation) bool { return n.ID == t.Incarnation })
	switch {
	case i < 0:
		if t.State == Warm {
			t.State = Cold
		}
		return s.extendHistory(history, t.Incarnation), nil
	case i < len(history)-1:
		return nil, &Refusal{Kind: Stale, Detail: "target " + t.Name + " has a newer incarnation"}
	case history[i].Reason == Left:
		return nil, &Refusal{Kind: Stale, Detail: "this incarnation of target " + t.Name + " has left"}
	case history[i].Gone.IsZero():
		return nil, nil
	}
	// An incarnation that expired or was reported dead renews: it was only cut off.
	next := slices.Clone(history)
	next[i].Gone, next[i].Reason = time.Time{}, ""
	return next, nil
}

// extendHistory returns the history with a new incarnation, without those that
// ended more than historyTerm ago.
func (s *State) extendHistory(history []incarnation, id string) []incarnation {
	var next []incarnation
	for _, n := range history {
		if n.Gone.IsZero() {
			n.Gone, n.Reason = s.clock, replaced
		}
		if s.clock.Before(n.Gone.Add(historyTerm)) {
			next = append(next, n)
		}
	}
	next = append(next, incarnation{ID: id, First: s.clock})
	return next[max(0, len(next)-maxHistory):]
}

// leave removes a target.
func (s *State) leave(l *Leave) *Refusal {
	t, ok := s.targets.get(l.Target)
	if !ok || t.Incarnation != l.Incarnation {
		return &Refusal{Kind: Absent, Detail: "no such incarnation of target " + l.Target}
	}
	if l.Home != "" && l.Home != t.Home {
		return &Refusal{Kind: Stale, Detail: "target " + l.Target + " renews through host " + t.Home}
	}
	history, _ := s.histories.get(t.Name)
	next := slices.Clone(history)
	last := &next[len(next)-1]
	last.Gone, last.Reason = s.clock, l.Reason
	s.histories.set(t.Name, next)
	s.departures = append(s.departures, departure{t.Name, s.clock})
	s.removeTarget(t)
	s.updateService(t.Service)
	return nil
}

// expireHistories forgets targets that left more than historyTerm ago.
// departures is in order of time.
func (s *State) expireHistories() {
	for len(s.departures) > 0 && !s.clock.Before(s.departures[0].at.Add(historyTerm)) {
		d := s.departures[0]
		s.departures = s.departures[1:]
		history, _ := s.histories.get(d.name)
		if len(history) > 0 && history[len(history)-1].Gone.Equal(d.at) {
			s.histories.remove(d.name)
		}
	}
}

// putTarget stores the target. The list of its service is replaced, not
// changed, because views hold it.
func (s *State) putTarget(t *Target) {
	s.targets.set(t.Name, t)
	list := s.cache.services[t.Service]
	i, found := slices.BinarySearchFunc(list, t.Name, compareName)
	next := make([]*Target, 0, len(list)+1)
	next = append(append(next, list[:i]...), t)
	if found {
		i++
	}
	s.cache.putService(t.Service, append(next, list[i:]...))
}

func (s *State) removeTarget(t *Target) {
	s.targets.remove(t.Name)
	list := s.cache.services[t.Service]
	i, found := slices.BinarySearchFunc(list, t.Name, compareName)
	if found {
		s.cache.putService(t.Service, slices.Delete(slices.Clone(list), i, i+1))
	}
}

func compareName(t *Target, name string) int { return strings.Compare(t.Name, name) }
