package control

import (
	"maps"
	"time"
)

// sections holds the parts of the last view. A part that is nil is built again.
// Parts are replaced and never changed, because views share them.
type sections struct {
	// services holds the targets by service, ordered by name. It is the working
	// copy of the state; targets is the copy that views hold.
	services map[string][]*Target
	targets  map[string][]*Target
	// amounts holds the live grants by name and holder, likewise with grants as
	// the copy that views hold.
	amounts  map[string]map[string]int
	hosts    []Host
	moves    map[string]MoveRecord
	shares   map[string]map[string]float64
	grants   map[string]map[string]int
	poisoned map[string]time.Time
	// suspected is built together with poisoned.
	suspected map[string]map[int][]Death
	known     map[string]map[uint64]int
	since     map[string]time.Time
}

func (c *sections) putService(service string, list []*Target) {
	c.targets = nil
	if c.services == nil {
		c.services = map[string][]*Target{}
	}
	if len(list) == 0 {
		delete(c.services, service)
		return
	}
	c.services[service] = list
}

func (c *sections) putGrants(name string, live map[string]grant) {
	c.grants = nil
	if c.amounts == nil {
		c.amounts = map[string]map[string]int{}
	}
	if len(live) == 0 {
		delete(c.amounts, name)
		return
	}
	amounts := make(map[string]int, len(live))
	for holder, g := range live {
		amounts[holder] = g.Amount
	}
	c.amounts[name] = amounts
}

// View returns an immutable picture of the state. Parts that have not changed
// are shared with the previous view, and so are the lists of services whose
// targets have not changed.
func (s *State) View() *View {
	c := &s.cache
	if c.targets == nil {
		c.targets = cloned(c.services)
	}
	if c.hosts == nil {
		c.hosts = s.hosts()
	}
	if c.moves == nil {
		c.moves = cloned(s.moves.items)
		c.shares = s.shares()
	}
	if c.grants == nil {
		c.grants = cloned(c.amounts)
	}
	if c.poisoned == nil {
		c.poisoned, c.suspected = s.poisoned()
	}
	if c.known == nil {
		c.known = cloned(s.known.items)
	}
	if c.since == nil {
		c.since = cloned(s.since.items)
	}
	return &View{
		Revision: s.index, Time: s.clock, Version: s.accepted.Version, Accepted: s.accepted, Inventory: s.document,
		Targets: c.targets, Hosts: c.hosts, Moves: c.moves, Shares: c.shares, Grants: c.grants,
		Poisoned: c.poisoned, Suspected: c.suspected, ShardCounts: c.known, Since: c.since,
	}
}

// LongestLease returns the longest lease that a host may hold. A new leader waits
// for this long: the last one may have granted leases under an earlier version of
// the rules. It is 0 without an inventory.
func (v *View) LongestLease(now time.Time) time.Duration {
	if v.Inventory == nil {
		return 0
	}
	longest := v.Accepted.Lease.Duration
	if now.Before(v.Accepted.At.Add(longest + GrantMargin)) {
		return longest
	}
	return v.Inventory.Rules.Lease.Duration
}

// cloned returns a copy of the map that is not nil.
func cloned[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	maps.Copy(out, m)
	return out
}

func (s *State) hosts() []Host {
	hosts := []Host{}
	if s.document == nil {
		return hosts
	}
	for _, name := range sortedKeys(s.document.Hosts) {
		h := s.document.Hosts[name]
		hosts = append(hosts, Host{Name: name, Host: h, Unavailable: h.Out || s.document.Centres[h.Centre].Out})
	}
	return hosts
}

func (s *State) shares() map[string]map[string]float64 {
	shares := map[string]map[string]float64{}
	for service, m := range s.moves.items {
		shares[service] = map[string]float64{m.Version: m.Share}
	}
	return shares
}

func (s *State) poisoned() (map[string]time.Time, map[string]map[int][]Death) {
	poisoned, suspected := map[string]time.Time{}, map[string]map[int][]Death{}
	for fingerprint, v := range s.suspects.items {
		if v.Poisoned {
			poisoned[fingerprint] = v.Until
		} else if shards := v.early(); len(shards) > 0 {
			suspected[fingerprint] = shards
		}
	}
	return poisoned, suspected
}

// early returns the deaths of the shards that have an early one.
func (v *suspect) early() map[int][]Death {
	shards := map[int][]Death{}
	for _, d := range v.Deaths {
		if !d.Early.IsZero() {
			shards[d.Shard] = nil
		}
	}
	for _, d := range v.Deaths {
		if _, ok := shards[d.Shard]; ok {
			shards[d.Shard] = append(shards[d.Shard], Death{d.Target, d.Incarnation})
		}
	}
	return shards
}
