package exchange

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastActive is the least number of entry hosts that callers are sent to. Deployments
	// of today's size use all of theirs; in larger ones the loss of one host ends the
	// requests of a twentieth of the callers at most.
	leastActive = 20
	// activeLoad is the share of an active host's processor that relaying may take. A
	// request to all shards occupies a small host for some 10 ms, and more load than this
	// makes such requests wait for each other; see docs/PLATFORM.md for the measurement.
	activeLoad = 0.1
	// growFactor is how many more hosts are made active than are needed when the number
	// grows: each change of the selection costs connections.
	growFactor = 1.5
	// shrinkFactor is how many times too many hosts must be active, and shrinkAfter for
	// how long, before the number falls: callers that move need new connections.
	shrinkFactor = 1.5
	shrinkAfter  = 30 * time.Second
)

// Active returns the entry hosts that callers are sent to, n of them or slightly more:
// the same number in each data centre. Every host that knows the same hosts selects the
// same ones, and a host that leaves is replaced by one more of its data centre.
func Active(hosts []Host, n int) []Host {
	type candidate struct {
		Host
		rank uint64
	}
	centres := map[string][]candidate{}
	for _, h := range hosts {
		if h.Caller.IsValid() && !h.Draining {
			centres[h.Centre] = append(centres[h.Centre], candidate{h, xxhash.Sum64String(h.Name)})
		}
	}
	var active []Host
	for _, list := range centres {
		slices.SortFunc(list, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
		})
		share := (n + len(centres) - 1) / len(centres)
		for _, c := range list[:min(len(list), share)] {
			active = append(active, c.Host)
		}
	}
	return active
}

// sizing decides how many entry hosts are active.
type sizing struct {
	count int
	// excess is since when fewer hosts would be enough; zero if they would not.
	excess time.Time
}

// step takes the load of all hosts, in processors of one host, and returns the number.
// It grows at once and falls slowly.
func (s *sizing) step(now time.Time, load float64) int {
	needed := max(leastActive, int(math.Ceil(load/activeLoad)))
	enough := max(leastActive, int(math.Ceil(growFactor*load/activeLoad)))
	switch {
	case needed > s.count:
		s.count, s.excess = enough, time.Time{}
	case float64(s.count) <= shrinkFactor*float64(enough):
		s.excess = time.Time{}
	case s.excess.IsZero():
		s.excess = now
	case now.Sub(s.excess) >= shrinkAfter:
		s.count, s.excess = enough, time.Time{}
	}
	return s.count
}
