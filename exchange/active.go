package exchange

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minActive is the minimum number of entry hosts that callers are sent to. Deployments
	// with fewer entry hosts use all of them; in larger ones the loss of one host aborts the
	// requests of at most a twentieth of the callers.
	minActive = 20
	// activeFraction is the minimum fraction of the entry hosts that callers are sent to: the number
	// is then about right before the load is known, which it is only seconds after the start.
	activeFraction = 1.0 / 6
	// maxHostLoad is the fraction of an active host's processor that relaying may take. A
	// request to all shards occupies a small host for about 10 ms, and at a higher load such
	// requests wait for each other; see docs/PLATFORM.md.
	maxHostLoad = 0.1
	// growFactor is the ratio of active hosts to needed hosts after the number grows. The
	// headroom makes changes rarer: callers open new connections after each change.
	growFactor = 1.5
	// shrinkFactor is how many times the needed number with headroom must be exceeded, and
	// shrinkAfter for how long, before the number falls: callers that are sent to other hosts
	// need new connections.
	shrinkFactor = 1.5
	shrinkAfter  = 30 * time.Second
)

// Active returns the entry hosts that callers are sent to: n of them, divided evenly among the
// data centres and rounded up, or all hosts of a data centre that has fewer than its share. Hosts
// that have the same list select the same active hosts. A host that leaves is replaced by another
// one of its data centre.
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

// sizer computes the number of active entry hosts from their load.
type sizer struct {
	count int
	// excessSince is the time since which fewer hosts would suffice; zero if they would not.
	excessSince time.Time
}

// update returns the number of active hosts of all entry hosts for their total load, where 1 is the
// processor capacity of one host. The number grows at once and falls after shrinkAfter.
func (s *sizer) update(now time.Time, entries int, load float64) int {
	least := max(minActive, int(math.Ceil(activeFraction*float64(entries))))
	needed := max(least, int(math.Ceil(load/maxHostLoad)))
	withHeadroom := max(least, int(math.Ceil(growFactor*load/maxHostLoad)))
	switch {
	case needed > s.count:
		s.count, s.excessSince = withHeadroom, time.Time{}
	case float64(s.count) <= shrinkFactor*float64(withHeadroom):
		s.excessSince = time.Time{}
	case s.excessSince.IsZero():
		s.excessSince = now
	case now.Sub(s.excessSince) >= shrinkAfter:
		s.count, s.excessSince = withHeadroom, time.Time{}
	}
	return s.count
}
