package consensus

import (
	"fmt"
	"slices"
	"time"
)

// Phase is the way in which a leader sends entries to a member.
type Phase string

const (
	// Probing sends one batch and waits for the reply, because the index up to
	// which the logs match is unknown.
	Probing Phase = "probing"
	// Streaming sends up to MaxInflight batches before it waits for a reply.
	Streaming Phase = "streaming"
	// Installing waits for the acknowledgement of a snapshot.
	Installing Phase = "installing"
)

// progress is a leader's view of another member.
type progress struct {
	match, next uint64
	// notifiedCommit is the largest commit index that messages to the member allow it to apply.
	notifiedCommit uint64
	phase          Phase
	// inflight holds the last index of each unacknowledged Append.
	inflight []uint64
	// lastProgress is when the member last acknowledged a new index, or when the oldest
	// unacknowledged message was sent, whichever is later.
	lastProgress time.Time
	// resends is the number of times that entries were sent again since then.
	resends   int
	lastHeard time.Time
	// round is the newest heartbeat round that the member has acknowledged.
	round uint64
}

func (p *progress) status() Progress {
	return Progress{Match: p.match, Next: p.next, Inflight: len(p.inflight), Phase: p.phase, LastHeard: p.lastHeard}
}

// probe restarts replication at next, or after the last matching index if that is larger.
func (p *progress) probe(next uint64) {
	p.phase, p.next, p.inflight = Probing, max(next, p.match+1), nil
}

// trackMembers updates the set of progress records to the configuration. A new member
// counts as heard from now, so it has an election timeout to reply.
func (n *Node) trackMembers() {
	old := n.progress
	n.progress = map[string]*progress{}
	for _, id := range n.members().others(n.ID) {
		if n.progress[id] = old[id]; old[id] == nil {
			n.progress[id] = &progress{phase: Probing, next: n.log.last().index + 1, lastHeard: n.now, lastProgress: n.now}
		}
	}
}

// replicate sends to each member the entries or the snapshot that it lacks.
func (n *Node) replicate() {
	for _, id := range n.members().others(n.ID) {
		n.sendPending(id, n.progress[id])
	}
}

// sendPending sends a member the entries that its window allows, or the snapshot if
// the log no longer holds them.
func (n *Node) sendPending(id string, p *progress) {
	for p.phase != Installing {
		if p.next <= n.log.base.index {
			n.sendSnapshot(id, p)
			return
		}
		limit := 1
		if p.phase == Streaming {
			limit = n.MaxInflight
		}
		sent := p.next > n.log.last().index && (p.phase == Streaming || p.match+1 == p.next)
		if sent || len(p.inflight) >= limit {
			return
		}
		n.sendAppend(id, p)
	}
}

// sendAppend sends one batch. A probe may be empty: it then only finds the matching index.
func (n *Node) sendAppend(id string, p *progress) {
	prior, _ := n.log.term(p.next - 1)
	m := Message{Kind: Append, To: id, Index: p.next - 1, LogTerm: prior, Commit: n.commit}
	m.Entries = n.log.batch(p.next, n.MaxBatch)
	if len(p.inflight) == 0 {
		p.lastProgress = n.now
	}
	end := p.next - 1 + uint64(len(m.Entries))
	p.inflight = append(p.inflight, end)
	if p.phase == Streaming {
		p.next = end + 1
		p.notifiedCommit = max(p.notifiedCommit, min(n.commit, end))
	}
	n.send(m)
}

func (n *Node) sendSnapshot(id string, p *progress) {
	p.phase, p.inflight, p.lastProgress = Installing, nil, n.now
	n.send(Message{Kind: Install, To: id, Snapshot: n.log.snapshot})
}

// sendHeartbeats sends every member a heartbeat with the commit index up to which the
// member may apply entries, and the current leadership confirmation round.
func (n *Node) sendHeartbeats() {
	for _, id := range n.members().others(n.ID) {
		n.sendHeartbeat(id, n.progress[id])
	}
}

func (n *Node) sendHeartbeat(id string, p *progress) {
	commit := min(n.commit, p.match)
	p.notifiedCommit = max(p.notifiedCommit, commit)
	n.send(Message{Kind: Heartbeat, To: id, Commit: commit, Round: n.round})
}

// notifyCommit sends a heartbeat to each member that holds entries that have been
// committed since the last message to it. Otherwise the follower, and the hosts that
// receive the state from it, would learn of the last commit up to a heartbeat interval
// later. If the message is lost, the next heartbeat replaces it.
func (n *Node) notifyCommit() {
	for _, id := range n.members().others(n.ID) {
		if p := n.progress[id]; min(n.commit, p.match) > p.notifiedCommit && n.reachable(id) {
			n.sendHeartbeat(id, p)
		}
	}
}

// installTimeouts is the number of election timeouts after which an unacknowledged
// snapshot is sent again. At the design size a snapshot has several megabytes, and
// the member syncs it before it replies.
const installTimeouts = 4

// resendDelay is how long the leader waits for the acknowledgement of entries or of a snapshot.
// The delay for entries starts at a heartbeat interval and doubles each time they are sent again:
// a large entry may take longer than that to be sent and synced, and sending it again and again
// would delay it further.
func (n *Node) resendDelay(p *progress) time.Duration {
	longest := installTimeouts * n.Election
	if p.phase == Installing {
		return longest
	}
	delay := n.Heartbeat
	for range p.resends {
		if delay *= 2; delay >= longest {
			return longest
		}
	}
	return delay
}

// resend restarts replication to members that have not replied for too long, see resendDelay.
// An unreachable member is sent only heartbeats until it replies to one.
func (n *Node) resend() {
	for _, id := range n.members().others(n.ID) {
		p := n.progress[id]
		if !n.reachable(id) {
			continue
		}
		waiting := p.phase == Installing || len(p.inflight) > 0
		if waiting && n.now.Sub(p.lastProgress) >= n.resendDelay(p) {
			p.probe(p.match + 1)
			p.resends++
		}
		n.sendPending(id, p)
	}
}

// stepAppend handles an Append message from the leader.
func (n *Node) stepAppend(m Message) {
	prev := position{m.Index, m.LogTerm}
	if prev.index < n.commit {
		// The entries up to commit match the leader's log.
		m.Entries = after(m.Entries, n.commit)
		prev = position{index: n.commit}
		prev.term, _ = n.log.term(n.commit)
	}
	if !n.log.matches(prev) {
		hint := n.log.lastPossibleMatch(m.Index, m.LogTerm)
		n.send(Message{Kind: AckAppend, To: m.From, Reject: true, Index: m.Index, Hint: hint.index, LogTerm: hint.term})
		return
	}
	if !n.store(prev, m.Entries) {
		return
	}
	end := prev.index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, end))
	n.send(Message{Kind: AckAppend, To: m.From, Index: end})
}

// after returns the entries with an index larger than index.
func after(entries []Entry, index uint64) []Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

// store appends entries that follow prev and replaces conflicting ones. It reports
// whether the entries are valid: without gaps, and consistent with the committed ones. A
// malformed message is dropped; only entries that contradict committed ones are a fault.
func (n *Node) store(prev position, entries []Entry) bool {
	for i, e := range entries {
		if e.Index != prev.index+1+uint64(i) || (e.Kind == Configuration) != (e.Members != nil) {
			return false
		}
	}
	at, ok := n.log.firstConflict(entries)
	if !ok {
		return true
	}
	entries = entries[at:]
	if first := entries[0].Index; first <= n.log.last().index {
		if first <= n.commit {
			n.fault = fmt.Sprintf("entry %d contradicts a committed entry", first)
			return false
		}
		n.log.truncate(first)
	}
	for _, e := range entries {
		n.log.append(e)
	}
	n.out.Entries = append(n.out.Entries, entries...)
	return true
}

// stepInstall replaces the log with the leader's snapshot, unless the log already
// contains the last entry that the snapshot covers.
func (n *Node) stepInstall(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= n.commit:
	case n.log.matches(position{s.Index, s.Term}):
		n.commitTo(s.Index)
	default:
		n.log.reset(s)
		n.commit, n.applied = s.Index, s.Index
		n.out.Snapshot = s
	}
	n.send(Message{Kind: AckAppend, To: m.From, Index: s.Index})
}

// stepAckAppend handles the reply to Append or Install.
func (n *Node) stepAckAppend(m Message, p *progress) {
	if m.Reject {
		n.backtrack(m, p)
		return
	}
	if m.Index > n.log.last().index {
		return
	}
	p.acknowledge(m.Index, n.now)
	if p.phase == Probing || p.phase == Installing && p.match >= n.log.base.index {
		p.phase, p.inflight = Streaming, nil
		p.next = max(p.next, p.match+1)
	}
	if n.advanceCommit() {
		n.replicate()
	} else {
		n.sendPending(m.From, p)
	}
	n.notifyCommit()
	n.completePromotion()
	n.sendCampaign()
}

// acknowledge records that the member's log matches the leader's up to index.
func (p *progress) acknowledge(index uint64, now time.Time) {
	if index > p.match {
		p.match, p.lastProgress, p.resends = index, now, 0
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// backtrack handles a rejected Append: it probes again after the largest index at which
// the logs may match. It ignores rejections that are out of date, such as one of an
// earlier probe.
func (n *Node) backtrack(m Message, p *progress) {
	stale := m.Index <= p.match || p.phase == Installing || p.phase == Probing && m.Index != p.next-1
	if stale {
		return
	}
	match := n.log.lastPossibleMatch(m.Hint, m.LogTerm)
	p.probe(min(match.index+1, m.Index))
	p.resends = 0
	n.sendPending(m.From, p)
}

// advanceCommit commits the largest index that a majority holds, if its entry has the
// current term, and reports whether the commit index has grown. Another leader can
// still replace an entry of an earlier term, even if a majority holds it (Ongaro and
// Ousterhout 2014, section 5.4.2).
func (n *Node) advanceCommit() bool {
	index := n.quorumIndex()
	if index <= n.commit || index < n.termStart {
		return false
	}
	n.commitTo(index)
	return true
}

// quorumIndex returns the largest index that a majority of the voters holds.
func (n *Node) quorumIndex() uint64 {
	members := n.members()
	matches := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		if id == n.ID {
			matches = append(matches, n.log.last().index)
		} else {
			matches = append(matches, n.progress[id].match)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-members.Quorum()]
}

// commitTo raises the commit index to index; it never lowers it.
func (n *Node) commitTo(index uint64) {
	if index <= n.commit {
		return
	}
	n.commit = index
	if n.role == Leader {
		n.releaseReads()
	}
}
