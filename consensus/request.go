package consensus

import "time"

// Change starts a membership change. A new member is added as a learner. A learner
// is promoted only if its log ends within MaxPromotionLag of the leader's; the
// promotion is complete when Status lists it as a voter and Pending is 0, which
// takes one more entry than the returned one. Until then only a removal is
// accepted, because the promotion may wait for the removal of a failed voter, or
// the joining voter itself may have failed. The leader cannot be removed: if it
// failed while no other log held the entry, it would neither vote nor become a
// candidate, although its vote may be needed. The errors are *NotLeaderError,
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

// configurationAfter returns the configuration after the change, or an error if the change
// is not possible now. Majorities of successive configurations intersect only if
// the earlier one is committed, and only a committed entry of the leader's own term
// proves that no change of an earlier leader is still uncommitted.
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
// within MaxPromotionLag of the leader's, and the reachable voters would still be a
// majority after its promotion without its vote. Otherwise the group would depend on
// the new member, or on failed ones. The last condition does not apply to a group of
// one voter, which cannot meet it.
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

// completePromotion makes a joining voter a voter once it holds the entry that lets it vote.
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

// readState is the state of linearizable reads. A leadership confirmation round is
// confirmed once a majority has replied to a heartbeat that carries its number.
type readState struct {
	// round is the newest round that was started; confirmed is the newest round
	// to which a majority has replied.
	round, confirmed uint64
	reads            []pendingRead
}

// pendingRead is a read that waits for the confirmation of a round that started
// after the read, and for the commit of its index.
type pendingRead struct {
	Read
	round uint64
}

// Read requests the index that the state machine must have applied before a
// linearizable read. The index is returned in Output.Reads, with the same id, once a
// majority has confirmed that this node was still the leader after the request. The
// error is a *NotLeaderError.
func (n *Node) Read(now time.Time, id uint64) (Output, error) {
	n.now = now
	if n.role != Leader {
		return Output{}, &NotLeaderError{Leader: n.leader}
	}
	// Until an entry of its own term is committed, a leader does not know which
	// entries earlier leaders have committed, except that they precede its first entry.
	index := max(n.commit, n.termStart)
	// Members may have replied to the current round before this read, so the read
	// waits for the next round. Reads share rounds.
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

// confirm checks whether a majority has replied to the current round. If it has, it
// releases the confirmed reads and starts the next round if a read waits for it.
func (n *Node) confirm() {
	replied := func(id string) bool { return id == n.ID || n.progress[id].round >= n.round }
	if n.confirmed == n.round || !n.members().majority(replied) {
		return
	}
	n.confirmed = n.round
	n.releaseReads()
	if k := len(n.reads); k > 0 && n.reads[k-1].round > n.round {
		n.startRound()
	}
}

// releaseReads adds to the output the reads whose round is confirmed and whose index
// is committed. Rounds and indexes never decrease along the list.
func (n *Node) releaseReads() {
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
