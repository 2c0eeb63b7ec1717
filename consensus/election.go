package consensus

import "time"

// becomeFollower makes the node a follower in the term. leader is empty if it is unknown.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	if n.role == Leader {
		n.abortReads()
		// The election timer does not run on a leader.
		n.resetDeadline()
	}
	n.role, n.leader, n.votes, n.leaderState = Follower, leader, nil, leaderState{}
}

// hasLiveLeader reports whether the node is the leader, or has heard from the leader
// within the election timeout.
func (n *Node) hasLiveLeader() bool {
	return n.role == Leader || n.now.Sub(n.lastHeard) < n.Election
}

// campaign starts a pre-vote (PreCandidate) or an election (Candidate). Except
// in a leadership transfer, a new term begins only after a majority has granted a
// pre-vote, so an isolated member cannot raise the term.
func (n *Node) campaign(role Role, force bool) {
	kind, term := PreVote, n.hard.Term+1
	if role == Candidate {
		kind = Vote
		n.hard = HardState{Term: term, Vote: n.ID}
		if n.justStarted {
			n.useFullTimeout() // voters sync their votes to disk before they reply
		}
	}
	n.role, n.leader = role, ""
	n.votes = map[string]bool{n.ID: true}
	if n.tallyVotes() {
		return
	}
	last := n.log.last()
	for _, id := range n.members().Voters {
		if id != n.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: last.index, LogTerm: last.term, Force: force})
		}
	}
}

// tallyVotes moves to the next role if a majority has granted its votes, and reports
// whether it did.
func (n *Node) tallyVotes() bool {
	if !n.members().majority(func(id string) bool { return n.votes[id] }) {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
	} else {
		n.becomeLeader()
	}
	return true
}

// canVoteFor reports whether this member may grant a vote or a pre-vote to a candidate
// whose log ends at p. A member grants none if its own log does not list it as a voter
// or a joining voter: it may have lost the log with which it voted before.
func (n *Node) canVoteFor(p position) bool {
	return n.members().CanVote(n.ID) && n.log.upToDate(p)
}

func (n *Node) stepPreVote(m Message) {
	grant := m.Term > n.hard.Term && !n.hasLiveLeader() && n.canVoteFor(position{m.Index, m.LogTerm})
	ack := Message{Kind: AckPreVote, To: m.From, Reject: !grant}
	if grant {
		ack.Term = m.Term
	}
	n.send(ack)
}

func (n *Node) stepVote(m Message) {
	voteAvailable := n.hard.Vote == "" && n.leader == "" || n.hard.Vote == m.From
	grant := voteAvailable && n.canVoteFor(position{m.Index, m.LogTerm})
	if grant {
		n.hard.Vote = m.From
		n.useFullTimeout()
	}
	n.send(Message{Kind: AckVote, To: m.From, Reject: !grant})
}

// stepAckVote counts a granted vote for the campaign of the given role. Only a
// pre-vote needs a check of the term: it carries the next term, whereas Step has
// already dropped votes of earlier terms.
func (n *Node) stepAckVote(m Message, role Role) {
	if n.role != role || m.Reject {
		return
	}
	if role == PreCandidate && m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	n.tallyVotes()
}

// becomeLeader starts the leadership of the current term by appending an empty entry.
// Entries of earlier terms are committed only together with it.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.ID, nil
	n.leaderState = leaderState{lastHeartbeat: n.now, termStart: n.log.last().index + 1}
	n.trackMembers()
	n.appendEntry(Entry{Kind: Empty})
}

// ready reports whether the leader has committed an entry of its own term.
func (n *Node) ready() bool { return n.commit >= n.termStart }

// tickLeader does the periodic work of a leader: check-quorum, heartbeats and retransmission.
func (n *Node) tickLeader() {
	if !n.hasQuorum() {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if n.transfer.to != "" && !n.now.Before(n.transfer.deadline) {
		n.transfer = transfer{}
	}
	if n.now.Sub(n.lastHeartbeat) < n.Heartbeat {
		return
	}
	n.lastHeartbeat = n.now
	n.sendHeartbeats()
	n.resend()
}

// hasQuorum reports whether the leader has heard from a majority within the election
// timeout. A leader without a quorum steps down, so that callers learn of the partition.
func (n *Node) hasQuorum() bool {
	return n.members().majority(n.reachable)
}

// reachable reports whether the leader has heard from a member within the election timeout.
func (n *Node) reachable(id string) bool {
	return id == n.ID || n.now.Sub(n.progress[id].lastHeard) < n.Election
}

// transfer is a leadership transfer in progress; to is empty if there is none.
type transfer struct {
	to       string
	deadline time.Time
}

// Transfer starts to transfer leadership to a voter. The node refuses proposals
// until the voter has been elected, or an election timeout has passed. The errors
// are *NotLeaderError, *TransferringError and *TransferError.
func (n *Node) Transfer(now time.Time, to string) (Output, error) {
	n.now = now
	if err := n.checkAccepting(); err != nil {
		return Output{}, err
	}
	if to == n.ID {
		return Output{}, &TransferError{To: to, Reason: "already the leader"}
	}
	if !n.members().Voter(to) {
		return Output{}, &TransferError{To: to, Reason: "not a voter"}
	}
	n.transfer = transfer{to: to, deadline: now.Add(n.Election)}
	n.sendCampaign()
	return n.takeOutput(), nil
}

// sendCampaign asks the target of a leadership transfer to start an election once its log
// matches the leader's.
func (n *Node) sendCampaign() {
	if p := n.progress[n.transfer.to]; p != nil && p.match == n.log.last().index {
		n.send(Message{Kind: Campaign, To: n.transfer.to})
	}
}

// stepCampaign starts an election without a pre-vote at the leader's request.
func (n *Node) stepCampaign(m Message) {
	if n.voter() && n.role == Follower && n.leader == m.From {
		n.campaign(Candidate, true)
	}
}
