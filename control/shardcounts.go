package control

import (
	"maps"
	"slices"
)

// dropConflictingSnapshots removes and returns the snapshots that other live targets
// announce with another number of shards. The rest of the announcement is accepted:
// refusing all of it would remove a healthy target because of one faulty one.
func (s *State) dropConflictingSnapshots(t *Target) []Snapshot {
	counts, _ := s.shardCounts.get(t.Service)
	var dropped []Snapshot
	t.Snapshots = slices.DeleteFunc(t.Snapshots, func(n Snapshot) bool {
		count, ok := counts[n.Number]
		conflict := ok && count != n.Shards && s.announcedByOther(t, n.Number)
		if conflict {
			dropped = append(dropped, n)
		}
		return conflict
	})
	return dropped
}

func (s *State) announcedByOther(t *Target, number uint64) bool {
	return slices.ContainsFunc(s.cache.targetLists[t.Service], func(o *Target) bool {
		return o.Name != t.Name && o.announces(number)
	})
}

func (t *Target) announces(number uint64) bool {
	return slices.ContainsFunc(t.Snapshots, func(n Snapshot) bool { return n.Number == number })
}

// recordShardCounts stores the shard counts of the snapshots that the target announces.
func (s *State) recordShardCounts(t *Target) {
	counts, _ := s.shardCounts.get(t.Service)
	next := maps.Clone(counts)
	if next == nil {
		next = map[uint64]int{}
	}
	for _, n := range t.Snapshots {
		next[n.Number] = n.Shards
	}
	s.setShardCounts(t.Service, next)
}

func (s *State) setShardCounts(service string, next map[uint64]int) {
	old, _ := s.shardCounts.get(service)
	if maps.Equal(old, next) {
		return
	}
	s.cache.shardCounts = nil
	if len(next) == 0 {
		s.shardCounts.remove(service)
		return
	}
	s.shardCounts.set(service, next)
}

// updateService removes the shard counts of snapshots that no target of the service
// announces and that are older than a complete one. It also records since when the
// service has no complete snapshot.
func (s *State) updateService(service string) {
	counts, _ := s.shardCounts.get(service)
	newest, complete := s.newestComplete(service, counts)
	next := maps.Clone(counts)
	maps.DeleteFunc(next, func(number uint64, _ int) bool {
		return complete && number < newest && !slices.ContainsFunc(s.cache.targetLists[service], func(t *Target) bool {
			return t.announces(number)
		})
	})
	s.setShardCounts(service, next)
	listed := false
	if s.document != nil {
		_, listed = s.document.Services[service]
	}
	s.setCondition("services/"+service, !complete && (listed || len(s.cache.targetLists[service]) > 0))
}

// newestComplete returns the newest snapshot that has a replica of each shard, not
// counting draining targets.
func (s *State) newestComplete(service string, counts map[uint64]int) (uint64, bool) {
	numbers := slices.Sorted(maps.Keys(counts))
	slices.Reverse(numbers)
	for _, number := range numbers {
		if s.isComplete(service, number, counts[number]) {
			return number, true
		}
	}
	return 0, false
}

func (s *State) isComplete(service string, number uint64, shards int) bool {
	seen := make([]bool, shards)
	left := shards
	for _, t := range s.cache.targetLists[service] {
		if t.State == Draining || !t.announces(number) {
			continue
		}
		for _, shard := range t.Shards {
			if shard < shards && !seen[shard] {
				seen[shard] = true
				left--
			}
		}
	}
	return left == 0
}
