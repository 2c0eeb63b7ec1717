package consensus_test

import (
	"fmt"
	"slices"
	"sort"
	"testing"

	"pgregory.net/rapid"

	. "wasabirelay/consensus"
)

// actions are the events of a random schedule. The names show up in the minimal
// schedule that rapid prints for a failure.
var actions = map[string]func(g *group){
	"run":      func(g *group) { g.run(step * 4) },
	"wait":     func(g *group) { g.run(election) },
	"propose":  func(g *group) { g.propose(g.pick(), 1+g.rand.IntN(20)) },
	"burst":    func(g *group) { g.propose(g.leader1(), 400) },
	"read":     func(g *group) { g.read(g.pick()) },
	"reads":    func(g *group) { g.read(g.leader1()); g.run(step); g.read(g.leader1()) },
	"crash":    func(g *group) { g.members[g.pick()].up = false },
	"restart":  func(g *group) { g.restart(g.pick()) },
	"freeze":   func(g *group) { g.members[g.leader1()].frozen = true },
	"resume":   func(g *group) { g.members[g.pick()].frozen = false },
	"cut":      func(g *group) { g.isolate(g.pick(), true, true, true) },
	"cutin":    func(g *group) { g.isolate(g.leader1(), true, true, false) },
	"cutout":   func(g *group) { g.isolate(g.pick(), true, false, true) },
	"heal":     func(g *group) { clear(g.cut) },
	"transfer": func(g *group) { g.transfer(g.leader1(), g.pick()) },
	"lose":     func(g *group) { g.lose(g.pick()) },
	"repair":   func(g *group) { g.repair(g.leader1()) },
	"remove":   func(g *group) { g.remove(g.leader1(), g.pick()) },
}

// pick returns a random member whose disk exists.
func (g *group) pick() string {
	ids := g.ids()
	return ids[g.rand.IntN(len(ids))]
}

// leader1 returns the leader, or any member if there is none.
func (g *group) leader1() string {
	if id := g.leader(); id != "" {
		return id
	}
	return g.pick()
}

func (g *group) restart(id string) {
	if m := g.members[id]; !m.up {
		m.frozen = false
		g.start(id)
	}
}

func (g *group) transfer(id, to string) {
	if !g.running(id) {
		return
	}
	if out, err := g.members[id].node.Transfer(g.now, to); err == nil {
		g.handle(id, out)
	}
}

// survives reports whether the voters whose disks exist, without id, are a
// majority. More losses than that lose data under any protocol.
func (g *group) survives(m Members, id string) bool {
	alive := 0
	for _, voter := range m.Voters {
		if g.members[voter] != nil && voter != id {
			alive++
		}
	}
	return alive >= m.Quorum()
}

// lose destroys a disk. The host comes back blank, under a new identity.
func (g *group) lose(id string) {
	for _, m := range g.members {
		if known := m.disk.Members(); len(known.Voters) > 0 && !g.survives(known, id) {
			return
		}
	}
	delete(g.members, id)
	g.nextID++
	g.join(fmt.Sprintf("%s.%d", id[:2], g.nextID), Saved{})
}

// repair makes the next step towards a configuration of the existing members.
func (g *group) repair(leader string) {
	m := g.status(leader).Members
	for _, id := range g.ids() {
		switch {
		case m.Learner(id):
			_ = g.change(leader, Promote, id)
		case !m.Contains(id):
			_ = g.change(leader, Add, id)
		}
	}
	for _, id := range slices.Concat(m.Voters, m.Joining, m.Learners) {
		if g.members[id] == nil {
			_ = g.change(leader, Remove, id)
		}
	}
}

// remove removes a member if the others can still form a majority without the
// lost ones.
func (g *group) remove(leader, id string) {
	m := g.status(leader).Members
	rest := Members{}
	for _, voter := range m.Voters {
		if voter != id {
			rest.Voters = append(rest.Voters, voter)
		}
	}
	if len(rest.Voters) >= 3 && g.survives(rest, "") {
		_ = g.change(leader, Remove, id)
	}
}

// calm ends all faults.
func (g *group) calm() {
	g.faulty = false
	clear(g.cut)
	for _, id := range g.ids() {
		g.members[id].frozen = false
		g.restart(id)
	}
}

// checkLive guards against a group that stays unavailable after the faults, and
// against committed entries that disappear.
func (g *group) checkLive() {
	g.run(20 * election)
	leader := g.elect()
	read := g.read(leader)
	g.propose(leader, 3)
	g.run(4 * election)
	leader = g.elect()
	s := g.status(leader)
	if !g.done[read] {
		g.t.Fatalf("a read without faults is not confirmed")
	}
	if s.Commit != s.Last || s.Commit != uint64(len(g.history)-1) {
		g.t.Fatalf("the leader has committed %d of %d; %d were committed before", s.Commit, s.Last, len(g.history)-1)
	}
	if k := s.Members.Joining; len(k) > 0 && g.members[k[0]] != nil {
		g.t.Fatalf("%s is still not a voter", k[0])
	}
	for _, id := range slices.Concat(s.Members.Voters, s.Members.Learners) {
		if m := g.members[id]; m != nil && m.applied != s.Commit {
			g.t.Fatalf("%s has applied %d of %d: %+v", id, m.applied, s.Commit, s.Progress[id])
		}
	}
}

// TestSchedules runs random faults, and guards against everything that group
// checks after each call and checkLive at the end.
func TestSchedules(t *testing.T) {
	names := make([]string, 0, len(actions))
	for name := range actions {
		names = append(names, name)
	}
	sort.Strings(names)
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"h1", "h2", "h3", "h4", "h5"}[:rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")]
		g := newGroup(t, rapid.Uint64().Draw(t, "seed"), ids...)
		g.elect()
		g.faulty = true
		for _, name := range rapid.SliceOfN(rapid.SampledFrom(names), 10, 120).Draw(t, "schedule") {
			actions[name](g)
			g.run(step)
		}
		g.calm()
		g.checkLive()
	})
}
