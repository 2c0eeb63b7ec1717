package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxPromotionLag is the largest number of entries by which a learner's log
	// may end behind the leader's when the learner is promoted.
	MaxPromotionLag = 64

	// startTimeoutDivisor divides the election timeout of a node that has just started without
	// a lease. The result allows for some round trips of a pre-vote, and is shorter than the
	// interval within which the processes of a group start.
	startTimeoutDivisor = 4

	defaultBatch    = 64
	defaultInflight = 8
	// defaultTrailing exceeds the minimum number of entries between two snapshots of a control
	// replica, which is 32.
	defaultTrailing = 256
)

// Node is one member of a group. The caller sets the exported fields before Start.
// A Node is not safe for concurrent use.
type Node struct {
	// ID is the identity of this member. It must not be reused after the member has
	// lost its persisted state.
	ID   string
	Rand *rand.Rand
	// Election is the minimum election timeout; each timeout is random between
	// Election and twice Election. Heartbeat is the interval between a leader's
	// heartbeats, at most half of Election.
	Election, Heartbeat time.Duration
	// NoLease is true if nothing relies on a leader's lease. The member may then vote
	// immediately after its start, and starts a pre-vote early: after a restart of all
	// members there is no leader to protect.
	NoLease bool
	// MaxBatch limits the entries in a message (64 if zero), MaxInflight the
	// unacknowledged Append messages per member (8 if zero).
	MaxBatch, MaxInflight int
	// Trailing is the number of entries kept in memory below a snapshot (256 if
	// zero), so that a member that is slightly behind receives entries instead of a
	// snapshot.
	Trailing int

	now           time.Time
	role          Role
	hard          HardState
	persistedHard HardState
	leader        string
	log           *raftLog
	commit        uint64
	applied       uint64
	fault         string
	out           Output

	// deadline is when a voter that is not the leader starts a pre-vote.
	deadline time.Time
	// lastHeard is when the node last heard from the leader, for leader stickiness.
	lastHeard time.Time
	// justStarted is true if the node has started with NoLease and since then has neither
	// voted nor heard from a leader.
	justStarted bool
	votes       map[string]bool

	leaderState
}

// leaderState is the state that only a leader has. It is cleared when the node becomes a
// follower or a leader.
type leaderState struct {
	progress map[string]*progress
	// termStart is the index of the empty entry with which the leader began its term.
	termStart     uint64
	lastHeartbeat time.Time
	transfer      transfer
	readState
}

// Start starts the node with its persisted state, which is zero for a member that
// has none. The errors are *FieldError and *SavedStateError.
func (n *Node) Start(now time.Time, saved SavedState) error {
	if err := n.validate(); err != nil {
		return err
	}
	log, err := newRaftLog(saved)
	if err != nil {
		return err
	}
	n.log, n.hard, n.persistedHard = log, saved.Hard, saved.Hard
	n.commit, n.applied = log.base.index, log.base.index
	n.now, n.role = now, Follower
	// A member that restarts within a leader's term must not help to replace
	// that leader, so it behaves as if it had just heard from the leader.
	n.lastHeard = now
	if n.NoLease {
		n.lastHeard, n.justStarted = time.Time{}, true
	}
	n.resetDeadline()
	return nil
}

func (n *Node) validate() error {
	switch {
	case n.ID == "":
		return &FieldError{Field: "ID", Reason: "is empty"}
	case n.Rand == nil:
		return &FieldError{Field: "Rand", Reason: "is nil"}
	case n.Heartbeat <= 0:
		return &FieldError{Field: "Heartbeat", Reason: "is not positive"}
	case n.Election < 2*n.Heartbeat:
		return &FieldError{Field: "Election", Reason: "is shorter than two heartbeats"}
	}
	for name, field := range map[string]*int{"MaxBatch": &n.MaxBatch, "MaxInflight": &n.MaxInflight, "Trailing": &n.Trailing} {
		if *field < 0 {
			return &FieldError{Field: name, Reason: "is negative"}
		}
	}
	if n.MaxBatch == 0 {
		n.MaxBatch = defaultBatch
	}
	if n.MaxInflight == 0 {
		n.MaxInflight = defaultInflight
	}
	if n.Trailing == 0 {
		n.Trailing = defaultTrailing
	}
	return nil
}

// Tick does the work that is due at the time now. The caller must call it at least
// once per heartbeat interval, or at the time that NextTick returns.
func (n *Node) Tick(now time.Time) Output {
	n.now = now
	switch {
	case n.role == Leader:
		n.tickLeader()
	case !now.Before(n.deadline):
		n.resetDeadline()
		if n.voter() {
			n.campaign(PreCandidate, false)
		}
	}
	return n.takeOutput()
}

// NextTick returns the time at which Tick next has work to do. Other calls may change it.
func (n *Node) NextTick() time.Time {
	if n.role == Leader {
		return n.lastHeartbeat.Add(n.Heartbeat)
	}
	return n.deadline
}

// Propose appends a command to the log. The errors are *NotLeaderError and
// *TransferringError; after an error, nothing has been appended.
func (n *Node) Propose(now time.Time, data []byte) (Proposal, Output, error) {
	n.now = now
	if err := n.checkAccepting(); err != nil {
		return Proposal{}, Output{}, err
	}
	p := n.appendEntry(Entry{Kind: Command, Data: data})
	return p, n.takeOutput(), nil
}

// checkAccepting returns an error unless the node accepts proposals.
func (n *Node) checkAccepting() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.transfer.to != "" {
		return &TransferringError{To: n.transfer.to}
	}
	return nil
}

// appendEntry appends an entry of the leader's term and replicates it.
func (n *Node) appendEntry(e Entry) Proposal {
	e.Index, e.Term = n.log.last().index+1, n.hard.Term
	n.log.append(e)
	n.out.Entries = append(n.out.Entries, e)
	if e.Kind == Configuration {
		n.trackMembers()
	}
	n.advanceCommit()
	n.replicate()
	return Proposal{Index: e.Index, Term: e.Term}
}

// Compact takes a snapshot of the encoded state machine as of index, which must be
// an applied index above the previous snapshot. The caller persists the result of
// Snapshot. The error is a *CompactError.
func (n *Node) Compact(index uint64, state []byte) error {
	first := n.log.base.index + 1
	if n.log.snapshot != nil {
		first = n.log.snapshot.Index + 1
	}
	if index < first || index > n.applied {
		return &CompactError{Index: index, First: first, Applied: n.applied}
	}
	n.log.compact(index, state, uint64(n.Trailing))
	return nil
}

// Snapshot returns the newest snapshot, or nil if there is none.
func (n *Node) Snapshot() *Snapshot { return n.log.snapshot }

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader, Commit: n.commit,
		First: n.log.base.index + 1, Last: n.log.last().index,
		Members: n.members().clone(), Transfer: n.transfer.to, Fault: n.fault,
		LastHeard: n.lastHeard,
	}
	if n.changePending() {
		s.Pending = n.log.members().index
	}
	if n.role != Leader {
		s.Granted = slices.Sorted(maps.Keys(n.votes))
		return s
	}
	s.Ready = n.ready()
	s.Progress = make(map[string]Progress, len(n.progress))
	for id, p := range n.progress {
		s.Progress[id] = p.status()
	}
	return s
}

func (n *Node) members() Members { return n.log.members().members }

func (n *Node) voter() bool { return n.members().Voter(n.ID) }

// resetDeadline starts a random election timeout. It is shorter on a node that has just
// started, which therefore repeats its pre-votes more often: its peers may start a little
// later, and pre-votes do not disturb a leader.
func (n *Node) resetDeadline() {
	timeout := n.Election
	if n.justStarted {
		timeout /= startTimeoutDivisor
	}
	n.deadline = n.now.Add(timeout + time.Duration(n.Rand.Int64N(int64(timeout))))
}

// useFullTimeout ends the short timeouts after a start and resets the deadline.
func (n *Node) useFullTimeout() {
	n.justStarted = false
	n.resetDeadline()
}

func (n *Node) send(m Message) {
	m.From = n.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}

// takeOutput returns the collected output and clears it.
func (n *Node) takeOutput() Output {
	if n.hard != n.persistedHard {
		n.persistedHard = n.hard
		hard := n.hard
		n.out.Hard = &hard
	}
	if n.applied < n.commit {
		n.out.Committed = n.log.between(n.applied+1, n.commit)
		n.applied = n.commit
	}
	out := n.out
	n.out = Output{}
	return out
}
