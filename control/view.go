package control

import (
	"maps"
	"time"
)

// viewCache holds the fields of the last view. A field that is nil is built again for the
// next view. Fields that views share are replaced and never changed in place.
type viewCache struct {
	// targetLists holds the targets by service, sorted by name. The state changes it in
	// place; targets is the copy that views share.
	targetLists map[string][]*Target
	targets     map[string][]*Target
	// grantAmounts holds the live grants by name and holder. The state changes it in place;
	// grants is the copy that views share.
	grantAmounts map[string]map[string]int
	hosts        []Host
	moves        map[string]MoveRecord
	shares       map[string]map[string]float64
	grants       map[string]map[string]int
	poisoned     map[string]time.Time
	// suspected is built together with poisoned.
	suspected      map[string]map[int][]Death
	shardCounts    map[string]map[uint64]int
	conditionSince map[string]time.Time
}

func (c *viewCache) setTargets(service string, list []*Target) {
	c.targets = nil
	if c.targetLists == nil {
		c.targetLists = map[string][]*Target{}
	}
	if len(list) == 0 {
		delete(c.targetLists, service)
		return
	}
	c.targetLists[service] = list
}

func (c *viewCache) setGrants(name string, live map[string]grant) {
	c.grants = nil
	if c.grantAmounts == nil {
		c.grantAmounts = map[string]map[string]int{}
	}
	if len(live) == 0 {
		delete(c.grantAmounts, name)
		return
	}
	amounts := make(map[string]int, len(live))
	for holder, g := range live {
		amounts[holder] = g.Amount
	}
	c.grantAmounts[name] = amounts
}

// View returns an immutable copy of the state. It shares the fields that have not changed
// with the previous view, and the target lists of the services whose targets have not
// changed.
func (s *State) View() *View {
	c := &s.cache
	if c.targets == nil {
		c.targets = nonNilClone(c.targetLists)
	}
	if c.hosts == nil {
		c.hosts = s.hosts()
	}
	if c.moves == nil {
		c.moves = nonNilClone(s.moves.items)
		c.shares = s.shares()
	}
	if c.grants == nil {
		c.grants = nonNilClone(c.grantAmounts)
	}
	if c.poisoned == nil {
		c.poisoned, c.suspected = s.poisoned()
	}
	if c.shardCounts == nil {
		c.shardCounts = nonNilClone(s.shardCounts.items)
	}
	if c.conditionSince == nil {
		c.conditionSince = nonNilClone(s.conditionSince.items)
	}
	return &View{
		Revision: s.index, Time: s.clock, Version: s.accepted.Version, Accepted: s.accepted, Inventory: s.document,
		Targets: c.targets, Hosts: c.hosts, Moves: c.moves, Shares: c.shares, Grants: c.grants,
		Poisoned: c.poisoned, Suspected: c.suspected, ShardCounts: c.shardCounts, Since: c.conditionSince,
	}
}

// LongestLease returns the longest lease that a host may hold; 0 without an inventory. A
// new leader waits for this long, because the previous leader may have granted leases under
// an earlier version of the rules.
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

// nonNilClone returns a copy of the map, which is not nil even if the map is.
func nonNilClone[K comparable, V any](m map[K]V) map[K]V {
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
		hosts = append(hosts, Host{Name: name, Host: h, Unavailable: h.OutOfService || s.document.Centres[h.Centre].OutOfService})
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
		} else if shards := v.earlyDeaths(); len(shards) > 0 {
			suspected[fingerprint] = shards
		}
	}
	return poisoned, suspected
}

// earlyDeaths returns all deaths, by shard, of the shards that have an early death.
func (v *suspect) earlyDeaths() map[int][]Death {
	shards := map[int][]Death{}
	for _, d := range v.Deaths {
		if !d.EarlyUntil.IsZero() {
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
