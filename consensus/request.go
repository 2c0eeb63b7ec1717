package consensus

import "time"

// Change changes one member. A new member is added as a learner. A learner is
// promoted only if its log ends within MaxPromotionLag of the leader's; the
// promotion is complete when Status lists it as a voter and Pending is 0, which
// takes an entry more than the returned one. Until then only a removal is
// accepted, because the promotion may wait for the removal of a failed voter, or
// the joining member itself may have failed. The leader cannot be removed: if it
// failed with the entry in no other log, it would neither vote nor stand for
// election, although its vote may be needed. The errors are *NotLeaderError,
// *TransferringError, *NotReadyError, *PendingChangeError, *MembershipError and
// *BehindError.
func (n *Node) Change(now time.Time, c MembershipChange) (Proposal, Output, error) {
	n.now = now
	members, err := n.configurationAfter(c)
	if err != nil {
		return Proposal{}, Output{}, err
	}
	p := n.appendEntry(Entry{Kind: Configuration, Members: &members})
	return p, n.takeOutput(), nil
}

// configurationAfter returns the configuration after the change, if it is acceptable now.
// Majorities of successive configurations intersect only if the earlier one is
// committed, and only an entry of the leader's own term proves that no other
// leader's change is still uncommitted.
func (n *Node) configurationAfter(c MembershipChange) (Members, error) {
	if err := n.checkAccepting(); err != nil {
		return Members{}, err
	}
	if !n.ready() {
		return Members{}, &NotReadyError{Term: n.hard.Term}
	}
	members, err := n.members().apply(c)
	last := n.log.members()
	switch {
	case last.index > n.commit, n.changePending() && c.Action != Remove:
		return Members{}, &PendingChangeError{Index: last.index}
	case err != nil:
		return Members{}, err
	case c.Action == Promote:
		return members, n.checkPromotable(c.ID)
	case c.Action == Remove && c.ID == n.ID:
		return Members{}, &MembershipError{Change: c, Reason: "it is the leader; transfer leadership first"}
	case c.Action == Remove && !members.majority(n.reachable):
		return Members{}, &MembershipError{Change: c, Reason: "a majority of the remaining voters cannot be reached"}
	}
	return members, nil
}

// changePending reports whether a membership change is in progress.
func (n *Node) changePending() bool {
	last := n.log.members()
	return last.index > n.commit || len(last.members.Joining) > 0
}

// checkPromotable returns an error unless the member is reachable, its log ends
// within MaxPromotionLag of the leader's, and the other reachable voters form a
// majority with it as a voter. Otherwise the promotion would make the group
// depend on the new member, or on failed ones. A group of one voter cannot avoid
// that.
func (n *Node) checkPromotable(id string) error {
	p, last := n.progress[id], n.log.last().index
	if unreachable := !n.reachable(id); unreachable || p.match+MaxPromotionLag < last {
		return &BehindError{ID: id, Match: p.match, Last: last, Unreachable: unreachable}
	}
	others := func(voter string) bool { return voter != id && n.reachable(voter) }
	members := n.members()
	if len(members.Voters) > 1 && !members.withVoter(id).majority(others) {
		return &MembershipError{
			Change: MembershipChange{Action: Promote, ID: id},
			Reason: "the other voters that can be reached would not be a majority; remove failed voters first",
		}
	}
	return nil
}

// completePromotion makes a joining member a voter once it holds the entry that lets it vote.
func (n *Node) completePromotion() {
	if n.checkAccepting() != nil || !n.ready() {
		return
	}
	last := n.log.members()
	if last.index > n.commit || len(last.members.Joining) == 0 {
		return
	}
	id := last.members.Joining[0]
	if n.progress[id].match < last.index || n.checkPromotable(id) != nil {
		return
	}
	members := last.members.withVoter(id)
	n.appendEntry(Entry{Kind: Configuration, Members: &members})
}

// readState is the state of leadership confirmation. A round is confirmed once a
// majority has answered a heartbeat that carries it.
type readState struct {
	// round is the newest round that was started, confirmed the newest one that
	// a majority has answered.
	round, confirmed uint64
	reads            []pendingRead
}

// pendingRead waits for a round that started after the read, and for the commit
// of its index.
type pendingRead struct {
	Read
	round uint64
}

// Read requests the index that a linearizable read has to wait for. It is
// returned in Output.Reads, with the same id, once a majority has confirmed
// that this node was still the leader after the request. The error is a
// *NotLeaderError.
func (n *Node) Read(now time.Time, id uint64) (Output, error) {
	n.now = now
	if n.role != Leader {
		return Output{}, &NotLeaderError{Leader: n.leader}
	}
	// Before an entry of its own term is committed, a leader does not know what
	// earlier leaders have committed, except that it precedes its first entry.
	index := max(n.commit, n.termStart)
	// A round that is in flight may have been answered before this read, so the
	// read waits for the next one. Reads share rounds.
	n.reads = append(n.reads, pendingRead{Read: Read{ID: id, Index: index}, round: n.round + 1})
	if n.round == n.confirmed {
		n.startRound()
	}
	return n.takeOutput(), nil
}

func (n *Node) startRound() {
	n.round++
	n.sendHeartbeats()
	n.confirm()
}

// confirm checks whether a majority has answered the current round.
func (n *Node) confirm() {
	answered := func(id string) bool { return id == n.ID || n.progress[id].round >= n.round }
	if n.confirmed == n.round || !n.members().majority(answered) {
		return
	}
	n.confirmed = n.round
	n.answerReads()
	if k := len(n.reads); k > 0 && n.reads[k-1].round > n.round {
		n.startRound()
	}
}

// answerReads answers the reads whose round is confirmed and whose index is
// committed. Both grow along the list.
func (n *Node) answerReads() {
	for len(n.reads) > 0 && n.reads[0].round <= n.confirmed && n.reads[0].Index <= n.commit {
		n.out.Reads = append(n.out.Reads, n.reads[0].Read)
		n.reads = n.reads[1:]
	}
}

func (n *Node) abortReads() {
	for _, r := range n.reads {
		n.out.Aborted = append(n.out.Aborted, r.ID)
	}
}
