package consensus_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	. "wasabirelay/consensus"
)

// faultActions are the events of a random schedule with their probabilities in percent.
var faultActions = []struct {
	name   string
	weight int
	do     func(g *group)
}{
	{"run", 10, func(g *group) { g.run(2 * heartbeat) }},
	{"wait", 10, func(g *group) { g.run(2 * election) }},
	{"propose", 6, func(g *group) { g.propose(g.randomMember(), 1+g.rand.IntN(20)) }},
	{"burst", 8, func(g *group) { g.propose(g.leaderOrRandom(), 20+g.rand.IntN(80)) }},
	{"read", 6, func(g *group) { g.read(g.randomMember()) }},
	{"reads", 6, func(g *group) { id := g.leaderOrRandom(); g.read(id); g.run(step); g.read(id) }},
	{"crash", 3, func(g *group) { g.members[g.randomMember()].up = false }},
	{"restart", 8, func(g *group) { g.restart(g.randomMember()) }},
	{"freeze", 3, func(g *group) { g.members[g.leaderOrRandom()].frozen = true }},
	{"resume", 6, func(g *group) { g.members[g.randomMember()].frozen = false }},
	{"cut", 2, func(g *group) { g.isolate(g.randomMember(), true, true) }},
	{"cutin", 2, func(g *group) { g.isolate(g.leaderOrRandom(), true, false) }},
	{"cutout", 2, func(g *group) { g.isolate(g.randomMember(), false, true) }},
	{"heal", 6, func(g *group) { clear(g.cut) }},
	{"transfer", 3, func(g *group) { g.transfer(g.leaderOrRandom(), g.randomMember()) }},
	{"lose", 5, func(g *group) { g.loseDisk(g.randomMember()) }},
	{"repair", 10, func(g *group) { g.repair(g.leaderOrRandom()) }},
	{"remove", 4, func(g *group) { g.remove(g.leaderOrRandom(), g.randomMember()) }},
}

// randomAction performs a random action and returns its name.
func (g *group) randomAction() string {
	for k := g.rand.IntN(100); ; {
		for _, a := range faultActions {
			if k -= a.weight; k < 0 {
				a.do(g)
				return a.name
			}
		}
	}
}

// randomMember returns a random member whose disk is not lost.
func (g *group) randomMember() string {
	ids := g.ids()
	return ids[g.rand.IntN(len(ids))]
}

// leaderOrRandom returns the leader, or a random member if there is none.
func (g *group) leaderOrRandom() string {
	if id := g.leader(); id != "" {
		return id
	}
	return g.randomMember()
}

func (g *group) restart(id string) {
	if m := g.members[id]; !m.up {
		m.frozen = false
		g.start(id)
	}
}

func (g *group) transfer(id, to string) {
	if g.running(id) {
		out, _ := g.members[id].node.Transfer(g.now, to)
		g.handle(id, out)
	}
}

// keepsMajority reports whether the voters whose disks are not lost, without id, are a
// majority of the current voters, and of the voters after a pending promotion. Without
// such a majority, any protocol would lose data.
func (g *group) keepsMajority(m Members, id string) bool {
	majority := func(voters []string) bool {
		alive := slices.DeleteFunc(slices.Clone(voters), func(v string) bool { return g.members[v] == nil || v == id })
		return len(alive) > len(voters)/2
	}
	return majority(m.Voters) && majority(slices.Concat(m.Voters, m.Joining))
}

// loseDisk deletes the disk of a member, unless that would lose the majority. The host
// returns without saved state, under a new identity.
func (g *group) loseDisk(id string) {
	for _, m := range g.members {
		if known := m.disk.Members(); len(known.Voters) > 0 && !g.keepsMajority(known, id) {
			return
		}
	}
	delete(g.members, id)
	g.nextID++
	g.join(fmt.Sprintf("%s.%d", id[:2], g.nextID), SavedState{})
}

// repair requests the next change towards a configuration of exactly the existing members.
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

// remove removes a member if at least three voters remain, and those whose disks are
// not lost are a majority of them.
func (g *group) remove(leader, id string) {
	rest := g.status(leader).Members
	rest.Voters = slices.DeleteFunc(rest.Voters, func(voter string) bool { return voter == id })
	if len(rest.Voters) >= 3 && g.keepsMajority(rest, "") {
		_ = g.change(leader, Remove, id)
	}
}

// checkRecovery ends all faults. It fails if the group stays unavailable or cannot be
// repaired, or if committed entries are lost.
func (g *group) checkRecovery() {
	g.faulty = false
	clear(g.cut)
	for _, id := range g.ids() {
		g.members[id].frozen = false
		g.restart(id)
	}
	g.run(20 * election)
	for range 2 * len(g.members) * 3 {
		g.repair(g.elect())
		g.run(heartbeat)
	}
	leader := g.elect()
	read := g.read(leader)
	g.propose(leader, 3)
	g.run(4 * election)
	leader = g.elect()
	s := g.status(leader)
	if !g.confirmed[read] {
		g.t.Fatalf("a read is not confirmed although all faults have ended")
	}
	if s.Commit != s.Last || s.Commit != uint64(len(g.history)-1) {
		g.t.Fatalf("the leader has committed %d of %d entries; %d had been committed before", s.Commit, s.Last, len(g.history)-1)
	}
	if !slices.Equal(s.Members.Voters, g.ids()) {
		g.t.Fatalf("the voters are %v instead of %v", s.Members.Voters, g.ids())
	}
	for _, id := range s.Members.Voters {
		if m := g.members[id]; m.applied != s.Commit {
			g.t.Fatalf("%s has applied %d of %d entries: %+v", id, m.applied, s.Commit, s.Progress[id])
		}
	}
}

// TestSchedules runs random schedules of requests and faults. The group checks its
// invariants after each call, and checkRecovery checks the group at the end. The seed
// determines the complete schedule, and rapid searches for the shortest failing one.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 2, 3, 3, 4, 5}).Draw(t, "voters")
		g := newGroup(t, rapid.Uint64().Draw(t, "seed"), []string{"h1", "h2", "h3", "h4", "h5"}[:voters]...)
		g.elect()
		g.faulty = true
		for range rapid.IntRange(20, 150).Draw(t, "actions") {
			t.Log(g.randomAction())
			g.run(step)
		}
		g.checkRecovery()
	})
}
