package control

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

const (
	// historyTerm is how long the incarnations of a target are stored after their end. An old
	// process that resumes later than this is not recognized.
	historyTerm = 24 * time.Hour
	// maxHistory limits the incarnations of one name: 64 allow a restart every 22 minutes
	// during historyTerm.
	maxHistory = 64
	// maxShards limits the shards of a snapshot, because a bitmap of them is allocated.
	maxShards = 1 << 16
)

// replaced is the reason when a newer incarnation ends an older one.
const replaced LeaveReason = "replaced"

// incarnation is one run of a target. A history holds them in the order of their first
// announcements.
type incarnation struct {
	ID          string    `json:"id"`
	AnnouncedAt time.Time `json:"first"`
	// EndedAt and Reason are set once the incarnation has ended.
	EndedAt time.Time   `json:"gone,omitzero"`
	Reason  LeaveReason `json:"reason,omitempty"`
}

// departure is a target that was removed; its history is deleted after historyTerm.
type departure struct {
	name string
	at   time.Time
}

// announce adds a target or replaces its previous announcement.
func (s *State) announce(a *Announce, r *Result) *Refusal {
	t := a.Target
	t.Shards, t.Snapshots = slices.Clone(t.Shards), slices.Clone(t.Snapshots)
	if detail := validateTarget(&t); detail != "" {
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
	r.Dropped = s.dropConflictingSnapshots(&t)
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
	s.recordShardCounts(&t)
	s.putTarget(&t)
	s.updateService(t.Service)
	return nil
}

// validateTarget returns the fault of an announcement, or "" if it is valid.
func validateTarget(t *Target) string {
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

// admit decides whether the incarnation may announce itself. A new incarnation that
// announces itself as warm becomes cold. A draining one stays draining, because draining
// targets get no requests at all. The returned history is nil if it does not change.
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
	case history[i].EndedAt.IsZero():
		return nil, nil
	}
	// An incarnation that expired or was reported dead is still alive: it was unreachable.
	next := slices.Clone(history)
	next[i].EndedAt, next[i].Reason = time.Time{}, ""
	return next, nil
}

// extendHistory returns the history with a new incarnation and without those that ended
// more than historyTerm ago.
func (s *State) extendHistory(history []incarnation, id string) []incarnation {
	var next []incarnation
	for _, n := range history {
		if n.EndedAt.IsZero() {
			n.EndedAt, n.Reason = s.clock, replaced
		}
		if s.clock.Before(n.EndedAt.Add(historyTerm)) {
			next = append(next, n)
		}
	}
	next = append(next, incarnation{ID: id, AnnouncedAt: s.clock})
	return next[max(0, len(next)-maxHistory):]
}

// leave removes a target and records why in its history.
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
	last.EndedAt, last.Reason = s.clock, l.Reason
	s.histories.set(t.Name, next)
	s.departures = append(s.departures, departure{t.Name, s.clock})
	s.removeTarget(t)
	s.updateService(t.Service)
	return nil
}

// expireHistories deletes the histories of targets that were removed more than historyTerm
// ago. departures is sorted by time.
func (s *State) expireHistories() {
	for len(s.departures) > 0 && !s.clock.Before(s.departures[0].at.Add(historyTerm)) {
		d := s.departures[0]
		s.departures = s.departures[1:]
		history, _ := s.histories.get(d.name)
		if len(history) > 0 && history[len(history)-1].EndedAt.Equal(d.at) {
			s.histories.remove(d.name)
		}
	}
}

// putTarget stores the target. It replaces the list of the service instead of changing it,
// because views share the list.
func (s *State) putTarget(t *Target) {
	s.targets.set(t.Name, t)
	list := s.cache.targetLists[t.Service]
	i, found := slices.BinarySearchFunc(list, t.Name, compareName)
	next := make([]*Target, 0, len(list)+1)
	next = append(append(next, list[:i]...), t)
	if found {
		i++
	}
	s.cache.setTargets(t.Service, append(next, list[i:]...))
}

func (s *State) removeTarget(t *Target) {
	s.targets.remove(t.Name)
	list := s.cache.targetLists[t.Service]
	i, found := slices.BinarySearchFunc(list, t.Name, compareName)
	if found {
		s.cache.setTargets(t.Service, slices.Delete(slices.Clone(list), i, i+1))
	}
}

func compareName(t *Target, name string) int { return strings.Compare(t.Name, name) }
