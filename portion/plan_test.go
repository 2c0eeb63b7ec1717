package portion

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// deployment returns shards with targets in three of five data centres, and hosts in all of them.
func deployment(shards, hosts int) ([]Shard, map[string][]string) {
	r := rand.New(rand.NewPCG(1, 2))
	centres := []string{"a", "b", "c", "d", "e"}
	list, byCentre := make([]Shard, shards), map[string][]string{}
	for i := range list {
		list[i].Service = fmt.Sprintf("s%03d", i)
		for _, k := range r.Perm(len(centres))[:3] {
			list[i].Centres = append(list[i].Centres, centres[k])
		}
	}
	for i := range hosts {
		centre := centres[i%len(centres)]
		byCentre[centre] = append(byCentre[centre], fmt.Sprintf("h%02d", i))
	}
	return list, byCentre
}

// Guards against shards that nobody asks or that two hosts ask, against portions for hosts without a
// target near them, and against hosts that ask so many shards that callers wait for them.
func TestEachShardIsAskedOnce(t *testing.T) {
	for _, shards := range []int{10, 36, 90, 135, 470} {
		for _, hosts := range []int{5, 20, 50} {
			t.Run(fmt.Sprint(shards, " shards, ", hosts, " hosts"), func(t *testing.T) {
				is := is.New(t)
				list, byCentre := deployment(shards, hosts)
				near := map[string][]string{}
				for _, s := range list {
					near[s.Service] = s.Centres
				}
				p := Planner{Host: "h00", Centre: "a", Hosts: byCentre, Size: 25}
				plan := p.Plan(list)
				is.Equal(plan.Count(), shards)
				seen := map[string]bool{}
				for _, service := range plan.Own {
					seen[service] = true
				}
				for _, part := range plan.Portions {
					is.True(len(part.Shards) >= MinSize && len(part.Hosts) > 0 && !slices.Contains(part.Hosts, "h00"))
					is.True(hosts < 20 || shards > 200 || len(part.Shards) <= p.Size)
					for _, service := range part.Shards {
						is.True(!seen[service])
						seen[service] = true
						for _, host := range part.Hosts {
							is.True(slices.ContainsFunc(near[service], func(c string) bool { return slices.Contains(byCentre[c], host) }))
						}
					}
				}
			})
		}
	}
}

// Guards against targets that get connections from hosts that never ask them, and portions that are
// left to hosts without a share of the connections.
func TestAskersAreTheHostsOfPortions(t *testing.T) {
	is := is.New(t)
	list, byCentre := deployment(90, 50)
	var askers map[string][]string
	for centre, hosts := range byCentre {
		for _, host := range hosts {
			p := Planner{Host: host, Centre: centre, Hosts: byCentre, Size: 25}
			askers = p.Askers(list)
			for _, part := range p.Plan(list).Portions {
				for _, service := range part.Shards {
					for _, h := range part.Hosts {
						is.True(slices.Contains(askers[service], h))
					}
					is.True(!part.Member || slices.Contains(askers[service], host))
				}
			}
		}
	}
	for _, hosts := range askers {
		is.True(len(hosts) < 12) // of 50
	}
}

// Guards against hosts that all change teams, and open new connections, when one of them leaves.
func TestFewHostsChangeTeams(t *testing.T) {
	is := is.New(t)
	hosts := make([]string, 12)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("h%02d", i)
	}
	teamOf := func(hosts []string) map[string]int {
		p := Planner{Hosts: map[string][]string{"a": hosts}}
		out := map[string]int{}
		for team, members := range p.members("a", 4) {
			is.True(len(members) >= len(hosts)/4)
			for _, host := range members {
				out[host] = team
			}
		}
		return out
	}
	before, changed := teamOf(hosts), 0
	for i := range hosts {
		after := teamOf(slices.Delete(slices.Clone(hosts), i, i+1))
		for host, team := range after {
			if before[host] != team {
				changed++
			}
		}
	}
	is.True(changed < 12*4) // of 12 times 11
}

// Guards against requests to few shards that take the way through another host.
func TestFewShardsAreNotDivided(t *testing.T) {
	is := is.New(t)
	list, byCentre := deployment(10, 7)
	p := Planner{Host: "h00", Centre: "a", Hosts: byCentre, Size: 25}
	is.Equal(len(p.Plan(list).Own), 10)
	is.Equal(p.Askers(list), nil)
}

// Guards against a host that asks all shards of a data centre itself, with new connections, because
// the hosts there have failed although others are near other targets.
func TestPortionsAvoidFailedHosts(t *testing.T) {
	is := is.New(t)
	list, byCentre := deployment(90, 50)
	p := Planner{Host: "h00", Centre: "a", Hosts: byCentre, Size: 25, Usable: func(host string) bool {
		return !slices.Contains(byCentre["b"], host) && !slices.Contains(byCentre["c"], host)
	}}
	plan := p.Plan(list)
	is.Equal(plan.Count(), 90)
	onlyLost := 0 // shards with targets in the lost data centres and in one more
	for _, s := range list {
		if !slices.ContainsFunc(s.Centres, func(c string) bool { return c == "a" || c == "d" || c == "e" }) {
			onlyLost++
		}
	}
	is.Equal(onlyLost, 0)
	is.True(len(plan.Own) < 2*MinSize)
	for _, part := range plan.Portions {
		for _, host := range part.Hosts {
			is.True(p.Usable(host))
		}
	}
}
