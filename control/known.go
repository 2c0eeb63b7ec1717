package control

import (
	"maps"
	"slices"
)

// dropSnapshots removes the snapshots that other live targets announce with
// another number of shards, and returns them. The announcement as a whole is
// kept: refusing it would take a good target out because of one bad one.
func (s *State) dropSnapshots(t *Target) []Snapshot {
	known, _ := s.known.get(t.Service)
	var dropped []Snapshot
	t.Snapshots = slices.DeleteFunc(t.Snapshots, func(n Snapshot) bool {
		count, ok := known[n.Number]
		conflict := ok && count != n.Shards && s.announcedByOther(t, n.Number)
		if conflict {
			dropped = append(dropped, n)
		}
		return conflict
	})
	return dropped
}

func (s *State) announcedByOther(t *Target, number uint64) bool {
	return slices.ContainsFunc(s.cache.services[t.Service], func(o *Target) bool {
		return o.Name != t.Name && o.announces(number)
	})
}

func (t *Target) announces(number uint64) bool {
	return slices.ContainsFunc(t.Snapshots, func(n Snapshot) bool { return n.Number == number })
}

// learnSnapshots remembers the shard counts of the snapshots.
func (s *State) learnSnapshots(t *Target) {
	known, _ := s.known.get(t.Service)
	next := maps.Clone(known)
	if next == nil {
		next = map[uint64]int{}
	}
	for _, n := range t.Snapshots {
		next[n.Number] = n.Shards
	}
	s.setKnown(t.Service, next)
}

func (s *State) setKnown(service string, next map[uint64]int) {
	old, _ := s.known.get(service)
	if maps.Equal(old, next) {
		return
	}
	s.cache.known = nil
	if len(next) == 0 {
		s.known.remove(service)
		return
	}
	s.known.set(service, next)
}

// updateService forgets the snapshots of a service that no target announces and
// that are older than a complete one, and notes since when none is complete.
func (s *State) updateService(service string) {
	known, _ := s.known.get(service)
	newest, complete := s.newestComplete(service, known)
	next := maps.Clone(known)
	maps.DeleteFunc(next, func(number uint64, _ int) bool {
		return complete && number < newest && !slices.ContainsFunc(s.cache.services[service], func(t *Target) bool {
			return t.announces(number)
		})
	})
	s.setKnown(service, next)
	listed := false
	if s.document != nil {
		_, listed = s.document.Services[service]
	}
	s.mark("services/"+service, !complete && (listed || len(s.cache.services[service]) > 0))
}

// newestComplete returns the newest snapshot that has a replica of each shard
// that does not drain.
func (s *State) newestComplete(service string, known map[uint64]int) (uint64, bool) {
	numbers := slices.Sorted(maps.Keys(known))
	slices.Reverse(numbers)
	for _, number := range numbers {
		if s.isComplete(service, number, known[number]) {
			return number, true
		}
	}
	return 0, false
}

func (s *State) isComplete(service string, number uint64, shards int) bool {
	seen := make([]bool, shards)
	left := shards
	for _, t := range s.cache.services[service] {
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
