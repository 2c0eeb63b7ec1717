package consensus_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	. "wasabirelay/consensus"
)

// newThreeMembers returns a group of three members and their identities, the leader first.
func newThreeMembers(t testing.TB) (g *group, leader, second, third string) {
	t.Helper()
	g = newGroup(t, 7, "h1", "h2", "h3")
	leader = g.elect()
	g.run(election)
	rest := g.others(leader)
	return g, leader, rest[0], rest[1]
}

// Guards against an election that replaces a leader that a majority can reach
// (pre-vote and leader stickiness), and against a leader that does not step down
// without a majority (check-quorum).
func TestPartition(t *testing.T) {
	tests := map[string]struct {
		cut     func(g *group, leader, second, third string)
		replace bool
	}{
		"follower isolated":         {func(g *group, _, second, _ string) { g.isolate(second, true, true) }, false},
		"follower receives nothing": {func(g *group, _, second, _ string) { g.isolate(second, true, false) }, false},
		"follower sends nothing":    {func(g *group, _, second, _ string) { g.isolate(second, false, true) }, false},
		"one link is cut":           {func(g *group, leader, second, _ string) { g.cut[[2]string{leader, second}] = true }, false},
		"leader isolated":           {func(g *group, leader, _, _ string) { g.isolate(leader, true, true) }, true},
		"leader receives nothing":   {func(g *group, leader, _, _ string) { g.isolate(leader, true, false) }, true},
		"leader sends nothing":      {func(g *group, leader, _, _ string) { g.isolate(leader, false, true) }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, leader, second, third := newThreeMembers(t)
			term := g.status(leader).Term
			test.cut(g, leader, second, third)
			g.run(10 * election)
			is.Equal(g.status(leader).Role != Leader, test.replace)
			is.Equal(g.elect() != leader, test.replace)
			clear(g.cut)
			g.run(10 * election)
			is.Equal(g.status(g.elect()).Term != term, test.replace)
		})
	}
}

// Guards against a read that a replaced leader confirms from its outdated log, and
// against reads that are never confirmed.
func TestRead(t *testing.T) {
	is := is.New(t)
	g, old, second, _ := newThreeMembers(t)
	first, later := g.read(old), g.read(old) // in two rounds
	g.run(heartbeat)
	is.True(g.confirmed[first] && g.confirmed[later])
	is.Equal(g.read(second), uint64(0))
	g.read(old)
	g.run(step) // the replies were sent before the stale read, but arrive after it
	g.members[old].frozen = true
	g.run(4 * election)
	g.propose(g.elect(), 5)
	g.run(election)
	g.members[old].frozen = false
	stale := g.read(old) // fails in group.handle if it is confirmed
	g.run(4 * election)
	is.True(!g.confirmed[stale])
}

// Guards against followers that learn of a commit only from the next regular
// heartbeat: until then, hosts that receive the state from them would act on an
// outdated state.
func TestFollowersAreNotifiedOfCommits(t *testing.T) {
	is := is.New(t)
	g, leader, _, _ := newThreeMembers(t)
	for range 20 {
		g.propose(leader, 1)
		g.run(4 * step) // entry to the follower, acknowledgement, commit index to the follower
		for _, id := range g.ids() {
			is.Equal(g.members[id].applied, g.members[leader].applied)
		}
		is.Equal(g.members[leader].applied, g.status(leader).Last)
		g.run(heartbeat + step)
	}
	g.run(election)
	heartbeats := g.count(func(m Message) bool { return m.Kind == Heartbeat })
	g.run(10 * heartbeat)
	is.True(*heartbeats <= 2*11) // only the regular heartbeats while nothing is committed
}

// Guards against a member that votes, or counts as a voter, before it holds the
// log, and against a promotion that makes the group depend on failed members.
func TestPromote(t *testing.T) {
	is := is.New(t)
	g, leader, second, third := newThreeMembers(t)
	g.join("h4", SavedState{})
	vote := Message{Kind: Vote, From: leader, To: "h4", Term: 9, Index: 9, LogTerm: 9}
	is.True(g.members["h4"].node.Step(g.now.Add(2*election), vote).Messages[0].Reject)
	vote.To = "h4, before its disk was lost"
	is.Equal(len(g.members["h4"].node.Step(g.now.Add(2*election), vote).Messages), 0)
	g.start("h4")
	g.isolate("h4", true, true)
	is.NoErr(g.change(leader, Add, "h4"))
	is.True(errors.As(g.change(leader, Remove, third), new(*PendingChangeError)))
	g.compact(leader)
	is.True(!g.members[leader].node.Snapshot().Members.Contains("h4"))
	g.propose(leader, MaxPromotionLag)
	g.run(election / 2)
	var behind *BehindError
	is.True(errors.As(g.change(leader, Promote, "h4"), &behind))
	is.True(!behind.Unreachable)
	g.run(2 * election)
	is.True(errors.As(g.change(leader, Promote, "h4"), &behind))
	is.True(behind.Unreachable)

	clear(g.cut)
	g.run(election)
	g.isolate(third, true, true)
	g.run(2 * election)
	is.True(errors.As(g.change(leader, Promote, "h4"), new(*MembershipError)))
	is.True(errors.As(g.change(leader, Remove, second), new(*MembershipError)))
	is.NoErr(g.change(leader, Remove, third))
	g.run(election)
	is.NoErr(g.change(leader, Promote, "h4"))
	is.Equal(g.status(leader).Members.Joining, []string{"h4"})
	g.run(election)
	s := g.status(leader)
	is.True(s.Members.Voter("h4") && len(s.Members.Voters) == 3 && s.Pending == 0)
}

// Guards against requests that are accepted although they are invalid, or sent to a
// member that is not the leader or not ready.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	g, leader, second, third := newThreeMembers(t)
	for _, c := range []MembershipChange{{Add, second}, {Add, ""}, {Promote, second}, {Remove, "h9"}, {Remove, leader}, {"swap", second}} {
		err := g.change(leader, c.Action, c.ID)
		is.True(errors.As(err, new(*MembershipError)))
	}
	var notLeader *NotLeaderError
	is.True(errors.As(g.change(second, Add, "h4"), &notLeader))
	is.Equal(notLeader.Leader, leader)
	_, err := g.members[leader].node.Transfer(g.now, "h9")
	is.True(errors.As(err, new(*TransferError)))
	is.True(errors.As(g.members[second].node.Compact(99, nil), new(*CompactError)))
	// A leader that has not committed an entry of its term does not know the last change.
	for g.members[leader].up = false; g.leader() == ""; {
		g.run(step)
	}
	is.True(errors.As(g.change(g.leader(), Add, third), new(*NotReadyError)))
}

// Guards against a leadership transfer that waits for an election timeout, or that
// blocks the group if the member that is to become the leader has failed.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	g, leader, second, third := newThreeMembers(t)
	g.propose(leader, 30)
	g.transfer(leader, second)
	_, _, err := g.members[leader].node.Propose(g.now, nil)
	is.True(errors.As(err, new(*TransferringError)))
	g.run(election / 2)
	is.Equal(g.leader(), second)
	g.members[third].up = false
	g.transfer(second, third)
	g.run(2 * election)
	g.propose(second, 1)
	g.run(election)
	s := g.status(second)
	is.Equal(s.Transfer, "")
	is.Equal(s.Commit, s.Last)
}

// Guards against the commit of an entry of an earlier term that a majority holds
// but that another leader can still replace.
func TestCommitOwnTerm(t *testing.T) {
	is := is.New(t)
	saved := Bootstrap([]string{"h1", "h2", "h3"})
	saved.Hard.Term = 3
	saved.Entries = append(saved.Entries, Entry{Index: 2, Term: 2})
	g := newGroup(t, 1)
	g.join("h1", saved)
	g.run(3 * election)
	node := g.members["h1"].node
	for _, kind := range []MessageKind{AckPreVote, AckVote} {
		node.Step(g.now, Message{Kind: kind, From: "h2", To: "h1", Term: 4})
	}
	for index, commit := range []uint64{1: 0, 2: 0, 3: 3} {
		node.Step(g.now, Message{Kind: AckAppend, From: "h2", To: "h1", Term: 4, Index: uint64(index)})
		is.Equal(node.Status().Commit, commit)
	}
}

// Guards against one round trip per conflicting entry: a follower with 400
// conflicting entries of two terms must be repaired with one rejection per term.
func TestBacktrack(t *testing.T) {
	is := is.New(t)
	log := func(terms ...uint64) SavedState {
		s := Bootstrap([]string{"h1", "h2", "h3"})
		for _, term := range terms {
			for range 200 {
				s.Entries = append(s.Entries, Entry{Index: uint64(len(s.Entries) + 1), Term: term})
			}
			s.Hard.Term = term
		}
		return s
	}
	g := newGroup(t, 1)
	for id, saved := range map[string]SavedState{"h1": log(4, 5), "h2": log(2, 3), "h3": log(4, 5)} {
		g.members[id] = &member{disk: saved}
	}
	for _, id := range g.ids() {
		g.start(id)
	}
	refusals := g.count(func(m Message) bool { return m.Kind == AckAppend && m.Reject })
	leader := g.elect()
	g.run(2 * election)
	is.Equal(g.members["h2"].applied, g.status(leader).Commit)
	is.True(*refusals > 0 && *refusals <= 3)
}

// Guards against a follower that never catches up because the leader's log no longer holds
// the entries that it lacks.
func TestInstall(t *testing.T) {
	is := is.New(t)
	g, leader, second, _ := newThreeMembers(t)
	g.members[second].up = false
	g.propose(leader, 5*snapshotInterval)
	g.run(election)
	installed := g.count(func(m Message) bool { return m.Kind == Install })
	g.restart(second)
	g.run(election)
	is.Equal(*installed, 1)
	is.Equal(g.members[second].applied, g.status(leader).Commit)
}

// Guards against an unbounded number of messages to a member that does not reply.
func TestInflight(t *testing.T) {
	is := is.New(t)
	g, leader, second, _ := newThreeMembers(t)
	g.isolate(second, false, true)
	sent := g.count(func(m Message) bool { return m.Kind == Append && m.To == second })
	g.propose(leader, 100)
	is.Equal(*sent, 4)
	is.Equal(g.status(leader).Progress[second].Inflight, 4)
	clear(g.cut)
	full := g.count(func(m Message) bool { return len(m.Entries) == 16 })
	large := g.count(func(m Message) bool { return len(m.Entries) > 16 })
	g.run(election)
	is.True(*full > 0 && *large == 0)
	is.Equal(g.members[second].applied, g.status(leader).Commit)
}

// Guards against a start with invalid fields or an inconsistent log.
func TestStart(t *testing.T) {
	is := is.New(t)
	start := func(saved SavedState, change func(n *Node)) error {
		n := &Node{ID: "h1", Rand: rand.New(rand.NewPCG(1, 1)), Election: election, Heartbeat: heartbeat}
		change(n)
		return n.Start(time.Unix(0, 0), saved)
	}
	is.NoErr(start(SavedState{}, func(*Node) {}))
	for _, change := range []func(n *Node){
		func(n *Node) { n.ID = "" },
		func(n *Node) { n.Rand = nil },
		func(n *Node) { n.Heartbeat = 0 },
		func(n *Node) { n.Election = n.Heartbeat },
		func(n *Node) { n.MaxBatch = -1 },
	} {
		is.True(errors.As(start(SavedState{}, change), new(*FieldError)))
	}
	for _, saved := range []SavedState{
		{Hard: HardState{Term: 1}, Entries: []Entry{{Index: 2, Term: 1}}},
		{Hard: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 2}, {Index: 2, Term: 1}}},
		{Entries: []Entry{{Index: 1, Term: 1}}},
		{Hard: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1, Kind: Configuration}}},
	} {
		is.True(errors.As(start(saved, func(*Node) {}), new(*SavedStateError)))
	}
}

// BenchmarkCommit measures the protocol logic: a proposal of 64 bytes is replicated
// to two followers and committed on all three members, without network or disk.
func BenchmarkCommit(b *testing.B) {
	g, leader, _, _ := newThreeMembers(b)
	data := make([]byte, 64)
	for b.Loop() {
		p, out, err := g.members[leader].node.Propose(g.now, data)
		if err != nil {
			b.Fatal(err)
		}
		for queue := out.Messages; len(queue) > 0; queue = queue[1:] {
			queue = append(queue, g.members[queue[0].To].node.Step(g.now, queue[0]).Messages...)
		}
		if p.Index%256 == 0 {
			for _, m := range g.members {
				_ = m.node.Compact(m.node.Status().Commit, data)
			}
		}
	}
}

// Guards against a group without leases that waits for an election timeout after a
// restart of all members, and against a group with leases that does not wait.
func TestNoLease(t *testing.T) {
	for _, tt := range []struct {
		noLease bool
		grants  bool
	}{{true, true}, {false, false}} {
		is := is.New(t)
		now := time.Unix(0, 0)
		saved := Bootstrap([]string{"h1", "h2", "h3"})
		n := &Node{ID: "h1", Rand: rand.New(rand.NewPCG(1, 1)), Election: election, Heartbeat: heartbeat, NoLease: tt.noLease}
		is.NoErr(n.Start(now, saved))
		is.Equal(n.NextTick().Sub(now) < election, tt.noLease)
		out := n.Step(now.Add(heartbeat/2), Message{Kind: PreVote, From: "h2", To: "h1", Term: 2, Index: 1, LogTerm: 1})
		granted := false
		for _, m := range out.Messages {
			granted = granted || m.Kind == AckPreVote && !m.Reject
		}
		is.Equal(granted, tt.grants)
	}
}

// Guards against a group without leases that has no leader for a full election timeout
// because one member starts a little later than the others.
func TestStartingNodeRepeatsPreVotes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	n := &Node{
		ID: "h1", Rand: rand.New(rand.NewPCG(1, 1)), Election: election, Heartbeat: heartbeat, NoLease: true,
	}
	is.NoErr(n.Start(now, Bootstrap([]string{"h1", "h2", "h3"})))
	preVotes := 0
	for now.Sub(time.Unix(0, 0)) < 2*election {
		now = now.Add(step)
		for _, m := range n.Tick(now).Messages {
			is.Equal(m.Kind, PreVote) // no peer replies, so no term begins
			preVotes++
		}
	}
	is.True(preVotes >= 2*2*minPreVoteRounds) // two peers, two election timeouts

	// After a vote it uses the full timeout, which leaves the candidate time to sync its disk.
	n.Step(now, Message{Kind: Vote, From: "h2", To: "h1", Term: 2, Index: 1, LogTerm: 1})
	is.True(n.NextTick().Sub(now) >= election)
}

// minPreVoteRounds is the minimum number of pre-vote rounds per election timeout.
const minPreVoteRounds = 2
