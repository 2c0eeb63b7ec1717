package answer

import (
	"maps"
	"slices"

	"wasabirelay/control"
)

// maxShards bounds the shard count of a snapshot; the size to design for has 90.
// An announcement with a larger count is treated as a disagreement.
const maxShards = 1 << 14

// index holds what one view says about a service. It is immutable.
type index struct {
	view *control.View
	// targets holds all targets of the service by name.
	targets map[string]*control.Target
	// snapshots are ordered from the newest to the oldest.
	snapshots []*snapshot
	// limits holds the shares of versions that a running move limits.
	limits map[string]float64
}

// snapshot is one snapshot of a service with the replicas that may get work.
type snapshot struct {
	number uint64
	// total is the snapshot's own shard count.
	total int
	// disputed states that targets announce different shard counts.
	disputed bool
	// shards holds the replicas of each shard.
	shards [][]*control.Target
}

// newIndex reads the targets of a service. Targets that drain or are in a data
// centre that is out hold no shard, but they take part in the check of counts.
func newIndex(v *control.View, service string) *index {
	byNumber := map[uint64]*snapshot{}
	for number, total := range v.ShardCounts[service] {
		count(byNumber, control.Snapshot{Number: number, Shards: total})
	}
	for _, t := range v.Targets[service] {
		for _, n := range t.Snapshots {
			count(byNumber, n)
		}
	}
	for _, s := range byNumber {
		if !s.disputed {
			s.shards = make([][]*control.Target, s.total)
		}
	}
	for _, t := range v.Targets[service] {
		if takesWork(v, t) {
			place(byNumber, t)
		}
	}
	ix := &index{view: v, targets: map[string]*control.Target{}, limits: v.Shares[service]}
	for _, t := range v.Targets[service] {
		ix.targets[t.Name] = t
	}
	for _, number := range slices.Backward(slices.Sorted(maps.Keys(byNumber))) {
		ix.snapshots = append(ix.snapshots, byNumber[number])
	}
	return ix
}

func count(byNumber map[uint64]*snapshot, n control.Snapshot) {
	s := byNumber[n.Number]
	if s == nil {
		s = &snapshot{number: n.Number, total: n.Shards}
		byNumber[n.Number] = s
	}
	if s.total != n.Shards || n.Shards <= 0 || n.Shards > maxShards {
		s.disputed = true
	}
}

func place(byNumber map[uint64]*snapshot, t *control.Target) {
	for _, n := range t.Snapshots {
		s := byNumber[n.Number]
		for _, shard := range t.Shards {
			// After a repartitioning, a target has shards that only one of its snapshots has.
			if shard >= 0 && shard < len(s.shards) {
				s.shards[shard] = append(s.shards[shard], t)
			}
		}
	}
}

// takesWork reports whether the view permits new work for the target.
func takesWork(v *control.View, t *control.Target) bool {
	if t.State == control.Draining {
		return false
	}
	return v.Inventory == nil || !v.Inventory.Centres[t.Centre].Out
}

// find returns the snapshot with the number, or nil.
func (ix *index) find(number uint64) *snapshot {
	for _, s := range ix.snapshots {
		if s.number == number {
			return s
		}
	}
	return nil
}

// disputed returns the numbers of the snapshots whose shard counts disagree.
func (ix *index) disputed() []uint64 {
	var out []uint64
	for _, s := range ix.snapshots {
		if s.disputed {
			out = append(out, s.number)
		}
	}
	return out
}

// draw returns the limited version that a query uses, given a number u from 0 to
// below 1, or "" for the versions without a limit.
func (ix *index) draw(u float64) string {
	for _, version := range slices.Sorted(maps.Keys(ix.limits)) {
		if share := ix.limits[version]; u < share {
			return version
		} else if share > 0 {
			u -= share
		}
	}
	return ""
}

// serves reports whether a target of that version answers queries that drew drawn.
func (ix *index) serves(version, drawn string) bool {
	limit, limited := ix.limits[version]
	if drawn == "" {
		return !limited
	}
	// A share of 0 takes effect on queries that drew the version earlier.
	return version == drawn && (!limited || limit > 0)
}

// choose returns the newest snapshot of which every shard has a usable replica.
// Without one it returns the snapshot with the best coverage, and of those the
// newest. covered is its number of shards with a usable replica. The result is
// nil if no snapshot remains.
func (ix *index) choose(usable func(*control.Target) bool, skip map[uint64]bool) (best *snapshot, covered int) {
	for _, s := range ix.snapshots {
		if s.disputed || skip[s.number] {
			continue
		}
		n := s.covered(usable)
		if best == nil || n*best.total > covered*s.total {
			best, covered = s, n
		}
		if n == s.total {
			return s, n
		}
	}
	return best, covered
}

// covered counts the shards with a usable replica.
func (s *snapshot) covered(usable func(*control.Target) bool) int {
	n := 0
	for _, replicas := range s.shards {
		if slices.ContainsFunc(replicas, usable) {
			n++
		}
	}
	return n
}
