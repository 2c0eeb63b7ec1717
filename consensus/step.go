package consensus

import "time"

// Step handles a received message. It drops messages for other identities: they
// were sent to a previous member at the same address, whose state is lost.
func (n *Node) Step(now time.Time, m Message) Output {
	n.now = now
	if m.To != n.ID || m.From == n.ID || m.From == "" {
		return Output{}
	}
	switch {
	case m.Term < n.hard.Term:
		n.stepStale(m)
	case m.Term == n.hard.Term || n.acceptLargerTerm(m):
		n.dispatch(m)
	}
	return n.takeOutput()
}

// acceptLargerTerm handles a message with a larger term than the current one, and reports
// whether the message is to be dispatched. PreVote and a granting AckPreVote do not change
// the term.
func (n *Node) acceptLargerTerm(m Message) bool {
	switch {
	case m.Kind == PreVote, m.Kind == AckPreVote && !m.Reject:
		return true // carries the next term, which has not begun
	case m.Kind == Vote && n.hasLiveLeader() && !m.Force:
		return false
	}
	n.becomeFollower(m.Term, "")
	return true
}

// stepStale rejects a message of an earlier term. The reply carries the current
// term to the sender: without it, a member whose term is ahead could neither
// follow the leader nor win a pre-vote.
func (n *Node) stepStale(m Message) {
	switch m.Kind {
	case PreVote:
		n.send(Message{Kind: AckPreVote, To: m.From, Reject: true})
	case Vote:
		n.send(Message{Kind: AckVote, To: m.From, Reject: true})
	case Append, Install, Heartbeat:
		n.send(Message{Kind: AckAppend, To: m.From, Reject: true, Index: m.Index, Hint: n.log.last().index})
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case PreVote:
		n.stepPreVote(m)
	case Vote:
		n.stepVote(m)
	case AckPreVote:
		n.stepAckVote(m, PreCandidate)
	case AckVote:
		n.stepAckVote(m, Candidate)
	case Append, Install, Heartbeat:
		n.stepFromLeader(m)
	case AckAppend, AckHeartbeat:
		n.stepAck(m)
	case Campaign:
		n.stepCampaign(m)
	}
}

// stepFromLeader handles a message from the leader of the current term.
func (n *Node) stepFromLeader(m Message) {
	if n.role == Leader {
		n.fault = "a second leader " + m.From + " in the same term"
		return
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.hard.Term, m.From)
	}
	n.lastHeard = n.now
	n.useFullTimeout()
	switch m.Kind {
	case Append:
		n.stepAppend(m)
	case Install:
		n.stepInstall(m)
	case Heartbeat:
		n.commitTo(min(m.Commit, n.log.last().index))
		n.send(Message{Kind: AckHeartbeat, To: m.From, Round: m.Round})
	}
}

// stepAck handles a member's reply to the leader.
func (n *Node) stepAck(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	reconnected := !n.reachable(m.From)
	p.lastHeard = n.now
	if reconnected {
		// Messages sent while the member was unreachable are lost.
		p.probe(p.match + 1)
		p.resends = 0
		n.sendPending(m.From, p)
	}
	if m.Kind == AckHeartbeat {
		p.round = max(p.round, m.Round)
		n.confirm()
		return
	}
	n.stepAckAppend(m, p)
}
