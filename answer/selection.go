package answer

import (
	"maps"
	"slices"

	"wasabirelay/control"
)

// maxShards is the maximum shard count of a snapshot; the design size has 90 shards. A snapshot
// that is announced with a larger count is treated as disputed.
const maxShards = 1 << 14

// index holds the targets and snapshots of a service in one view. It is immutable.
type index struct {
	view *control.View
	// targets holds all targets of the service by name.
	targets map[string]*control.Target
	// snapshots is ordered from the newest to the oldest.
	snapshots []*snapshot
	// limits holds the traffic shares of the versions that a running move limits.
	limits map[string]float64
}

// snapshot is a snapshot of a service with the replicas that may get work.
type snapshot struct {
	number uint64
	// total is the shard count of this snapshot.
	total int
	// disputed is true if the announced shard counts differ or are out of range.
	disputed bool
	// shards holds the replicas of each shard.
	shards [][]*control.Target
}

// newIndex builds the index of a service. Targets that drain, or whose data centre is taken out
// of service, are not replicas of any shard, but their shard counts are compared as well.
func newIndex(v *control.View, service string) *index {
	byNumber := map[uint64]*snapshot{}
	for number, total := range v.ShardCounts[service] {
		addShardCount(byNumber, control.Snapshot{Number: number, Shards: total})
	}
	for _, t := range v.Targets[service] {
		for _, n := range t.Snapshots {
			addShardCount(byNumber, n)
		}
	}
	for _, s := range byNumber {
		if !s.disputed {
			s.shards = make([][]*control.Target, s.total)
		}
	}
	for _, t := range v.Targets[service] {
		if acceptsWork(v, t) {
			addReplica(byNumber, t)
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

// addShardCount adds an announced snapshot and marks it as disputed if its shard count is out of
// range or differs from an earlier one.
func addShardCount(byNumber map[uint64]*snapshot, n control.Snapshot) {
	s := byNumber[n.Number]
	if s == nil {
		s = &snapshot{number: n.Number, total: n.Shards}
		byNumber[n.Number] = s
	}
	if s.total != n.Shards || n.Shards <= 0 || n.Shards > maxShards {
		s.disputed = true
	}
}

// addReplica adds a target to the shards that it holds of each of its snapshots.
func addReplica(byNumber map[uint64]*snapshot, t *control.Target) {
	for _, n := range t.Snapshots {
		s := byNumber[n.Number]
		for _, shard := range t.Shards {
			// After a repartitioning, the target may hold a shard that exists in only one of its
			// snapshots.
			if shard >= 0 && shard < len(s.shards) {
				s.shards[shard] = append(s.shards[shard], t)
			}
		}
	}
}

// acceptsWork reports whether the view permits new work for the target.
func acceptsWork(v *control.View, t *control.Target) bool {
	if t.State == control.Draining {
		return false
	}
	return v.Inventory == nil || !v.Inventory.Centres[t.Centre].OutOfService
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

// drawVersion returns the limited version that a query uses for a random number u in [0, 1), or
// "" for the versions without a limit.
func (ix *index) drawVersion(u float64) string {
	for _, version := range slices.Sorted(maps.Keys(ix.limits)) {
		if share := ix.limits[version]; u < share {
			return version
		} else if share > 0 {
			u -= share
		}
	}
	return ""
}

// servesVersion reports whether a target of the given version may answer a query that drew
// drawnVersion.
func (ix *index) servesVersion(version, drawnVersion string) bool {
	limit, limited := ix.limits[version]
	if drawnVersion == "" {
		return !limited
	}
	// A share of 0 also applies to queries that drew the version before the share was set.
	return version == drawnVersion && (!limited || limit > 0)
}

// fallback reports whether queries that drew the version may use the versions without a limit.
// A version with all traffic has no fallback: its move is done, and the targets of the other
// versions may be stopped at any time.
func (ix *index) fallback(drawnVersion string) bool {
	return drawnVersion != "" && ix.limits[drawnVersion] < 1
}

// replicasOf returns the replicas of a shard that may answer queries that drew drawnVersion.
func (ix *index) replicasOf(s *snapshot, shard int, drawnVersion string) []*control.Target {
	if len(ix.limits) == 0 {
		return s.shards[shard]
	}
	var replicas []*control.Target
	for _, t := range s.shards[shard] {
		if ix.servesVersion(t.Version, drawnVersion) {
			replicas = append(replicas, t)
		}
	}
	return replicas
}

// choose returns the newest snapshot in which every shard has a usable replica. If there is
// none, it returns the snapshot with the best coverage, the newest of several. covered is the
// number of its shards that have a usable replica. best is nil if no snapshot remains.
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

// covered returns the number of shards that have a usable replica.
func (s *snapshot) covered(usable func(*control.Target) bool) int {
	n := 0
	for _, replicas := range s.shards {
		if slices.ContainsFunc(replicas, usable) {
			n++
		}
	}
	return n
}
