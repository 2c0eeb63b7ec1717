// Package portion divides requests to many shards among entry hosts. The hosts of a data centre
// form teams, one for each group of shards. A host leaves each group to one host of the team in a
// data centre that has targets for it, which returns the greatest records and the signatures of all
// replies together.
package portion

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinSize is the number of shards from which a portion is left to another host: the messages
	// between two hosts take as much processor time as a few requests to targets.
	MinSize = 3
	// divideFrom is the number of shards from which requests are divided. Below it, one host asks
	// all shards before the replies to the first ones arrive.
	divideFrom = 64
	// similarFraction is the fraction of the shards of the best data centre from which another one
	// is as good. Without it, all hosts of a data centre would send their portions to the same one.
	similarFraction = 0.8
)

// Shard is a shard with the data centres that have a target for it.
type Shard struct {
	Service string
	Centres []string
}

// Portion is a part of the shards of a request that one host asks.
type Portion struct {
	Shards []string
	// Hosts are the other hosts that may ask them.
	Hosts []string
	// Member is true if this host belongs to the same team.
	Member bool
}

// Plan says which shards a host asks itself, and which it leaves to others.
type Plan struct {
	Own      []string
	Portions []Portion
}

// Count returns the number of all shards.
func (p *Plan) Count() int {
	n := len(p.Own)
	for i := range p.Portions {
		n += len(p.Portions[i].Shards)
	}
	return n
}

// Planner divides the shards of requests. Exported fields are set before use.
type Planner struct {
	// Host is the name of this host, Centre its data centre.
	Host, Centre string
	// Hosts holds the names of the hosts that take portions, by data centre. Two hosts with the
	// same lists form the same teams.
	Hosts map[string][]string
	// Size is the number of shards that one host asks.
	Size int
	// Usable reports whether a host can be left portions now; nil if all can.
	Usable func(host string) bool
}

// groups returns the number of groups that a request to n shards is divided into, if there are
// enough hosts.
func (p *Planner) groups(n int) int {
	if p.Size <= 0 || n < divideFrom {
		return 1
	}
	return (n + p.Size - 1) / p.Size
}

// Plan divides the shards. It answers two loads: requests to so many shards that asking them
// occupies a small host for a large part of the time that callers allow, and replies from other
// data centres that are larger than the few records that the response needs of them.
func (p *Planner) Plan(shards []Shard) *Plan {
	shards = sorted(shards)
	plan := &Plan{}
	if p.groups(len(shards)) == 1 {
		for i := range shards {
			plan.Own = append(plan.Own, shards[i].Service)
		}
		return plan
	}
	teams := p.allTeams(len(shards))
	centres := p.assign(shards, teams)
	for _, centre := range uniqueOf(centres) {
		for _, part := range p.divide(shards, centres, centre, teams[centre]) {
			if len(part.Shards) < MinSize || len(part.Hosts) == 0 {
				plan.Own = append(plan.Own, part.Shards...)
			} else {
				plan.Portions = append(plan.Portions, part)
			}
		}
	}
	return plan
}

// assign returns the data centre whose hosts ask each of the shards: the own one if it has a target,
// and otherwise as few others as possible. It is empty if no usable host is near a target.
func (p *Planner) assign(shards []Shard, teams map[string][][]string) []string {
	near := make([][]string, len(shards))
	for i, s := range shards {
		for _, centre := range s.Centres {
			if list := teams[centre]; len(list) > 0 && slices.ContainsFunc(list[group(i, len(shards), len(list))], p.isUsable) {
				near[i] = append(near[i], centre)
			}
		}
	}
	centres := make([]string, len(shards))
	var remote []int
	for i := range shards {
		switch {
		case slices.Contains(near[i], p.Centre):
			centres[i] = p.Centre
		case len(near[i]) > 0:
			remote = append(remote, i)
		}
	}
	for len(remote) > 0 {
		centre := p.selectCentre(near, remote)
		remote = slices.DeleteFunc(remote, func(i int) bool {
			if slices.Contains(near[i], centre) {
				centres[i] = centre
			}
			return centres[i] != ""
		})
	}
	return centres
}

func (p *Planner) isUsable(host string) bool {
	return host == p.Host || p.Usable == nil || p.Usable(host)
}

// allTeams returns the teams of all data centres for requests to n shards.
func (p *Planner) allTeams(n int) map[string][][]string {
	teams := make(map[string][][]string, len(p.Hosts))
	for centre := range p.Hosts {
		teams[centre] = p.members(centre, p.teams(centre, n))
	}
	return teams
}

// divide returns the portions of the shards that are assigned to a data centre, one for each of its
// teams. Without a data centre, there is one portion without hosts.
func (p *Planner) divide(shards []Shard, centres []string, centre string, teams [][]string) []Portion {
	parts := make([]Portion, max(1, len(teams)))
	for i := range shards {
		if centres[i] == centre {
			part := &parts[group(i, len(shards), len(parts))]
			part.Shards = append(part.Shards, shards[i].Service)
		}
	}
	for team, members := range teams {
		for _, host := range members {
			switch {
			case host == p.Host:
				parts[team].Member = true
			case p.isUsable(host):
				parts[team].Hosts = append(parts[team].Hosts, host)
			}
		}
	}
	return slices.DeleteFunc(parts, func(part Portion) bool { return len(part.Shards) == 0 })
}

// Askers returns the hosts that ask each of the shards, if requests to them are divided: the teams
// of the data centres that have a target for it. It returns nil if they are not.
func (p *Planner) Askers(shards []Shard) map[string][]string {
	if p.groups(len(shards)) == 1 {
		return nil
	}
	shards = sorted(shards)
	askers := make(map[string][]string, len(shards))
	for centre, teams := range p.allTeams(len(shards)) {
		for i, s := range shards {
			if slices.Contains(s.Centres, centre) {
				askers[s.Service] = append(askers[s.Service], teams[group(i, len(shards), len(teams))]...)
			}
		}
	}
	return askers
}

// group returns the group that the i-th of n shards belongs to.
func group(i, n, groups int) int { return i * groups / n }

// teams returns the number of teams of a data centre for requests to n shards.
func (p *Planner) teams(centre string, n int) int {
	return max(1, min(p.groups(n), len(p.Hosts[centre])))
}

// members divides the hosts of a data centre among teams of equal size. Each host belongs to the
// team with the highest rank for it that has room, so that few hosts change teams when one leaves.
func (p *Planner) members(centre string, teams int) [][]string {
	hosts := slices.SortedFunc(slices.Values(p.Hosts[centre]), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	out := make([][]string, teams)
	for done, host := range hosts {
		room := done/teams + 1
		best := -1
		for t := range out {
			if len(out[t]) < room && (best < 0 || rank(host, byte(t)) > rank(host, byte(best))) {
				best = t
			}
		}
		out[best] = append(out[best], host)
	}
	return out
}

func rank(host string, team byte) uint64 { return xxhash.Sum64(append([]byte(host), 0, team)) }

// selectCentre returns the data centre that is near most of the remaining shards. Among those that
// are nearly as good, the choice differs from host to host.
func (p *Planner) selectCentre(near [][]string, remaining []int) string {
	counts, most := map[string]int{}, 0
	for _, i := range remaining {
		for _, centre := range near[i] {
			counts[centre]++
			most = max(most, counts[centre])
		}
	}
	best, bestRank := "", uint64(0)
	for centre, n := range counts {
		if float64(n) < similarFraction*float64(most) {
			continue
		}
		if r := xxhash.Sum64String(p.Host + "\x00" + centre); best == "" || r > bestRank {
			best, bestRank = centre, r
		}
	}
	return best
}

// sorted returns the shards in order of their names, which routes list in any order.
func sorted(shards []Shard) []Shard {
	return slices.SortedFunc(slices.Values(shards), func(a, b Shard) int { return cmp.Compare(a.Service, b.Service) })
}

func uniqueOf(list []string) []string { return slices.Compact(slices.Sorted(slices.Values(list))) }
