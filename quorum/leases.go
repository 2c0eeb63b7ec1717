package quorum

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/consensus"
	"wasabirelay/inventory"
	"wasabirelay/lease"
	"wasabirelay/peer"
)

const (
	// maxApplyLag is how far the state of a host may be behind the committed entries before
	// the leader refuses to renew its lease. A host whose feed has stalled loses its lease
	// after this time and one lease length at the latest.
	maxApplyLag = 300 * time.Millisecond
	// servingDelay is how long a new leader leaves the hosts' lists of serving hosts
	// unchanged. In this time every live host renews its lease with the new leader.
	servingDelay = 500 * time.Millisecond
	// drainRetention is how long the leader treats a host as draining after the last
	// renewal in which the host said so. It is longer than the default maximum lifetime
	// of an address list.
	drainRetention = 10 * time.Second
)

// leases grants leases while this replica is the leader. A renewal is granted only after a
// read round that started after the renewal arrived, so that a leader that has been replaced
// but has not noticed grants nothing.
type leases struct {
	table lease.Table
	// waiting holds the renewals for the next read round, rounds those of rounds in
	// progress by the ID of the round.
	waiting   []renewal
	rounds    map[uint64][]renewal
	lastRound uint64
	// commits holds the applied index at each tick. The first one is the newest that is at
	// least maxApplyLag old.
	commits  []commit
	draining map[string]time.Time
	// serving is the list of hosts that callers may use, servingVersion its version.
	serving        []string
	servingVersion uint64
	// servingKnownAt is the time from which this leader sends its own list of serving hosts.
	servingKnownAt time.Time
}

// renewal is a request that waits for its read round.
type renewal struct {
	request RenewRequest
	done    chan leaseReply
}

type leaseReply struct {
	lease RenewResponse
	err   error
}

// commit is the applied index at a time.
type commit struct {
	at    time.Time
	index uint64
}

func (l *leases) init() {
	l.rounds, l.draining = map[uint64][]renewal{}, map[string]time.Time{}
}

// becameLeader resets the leases at the start of a term.
func (l *leases) becameLeader(r *Replica, now time.Time) {
	// The previous leader may have granted leases under an older rule with longer leases.
	length := max(r.leaseLength(), r.state.View().LongestLease(now))
	l.table.BeginTerm(now, length, r.hostNames())
	l.commits = []commit{{now, 0}}
	l.servingVersion = uint64(now.UnixNano())
	l.serving, l.servingKnownAt = nil, now.Add(servingDelay)
}

// leadershipLost refuses all pending renewals.
func (l *leases) leadershipLost() {
	for _, w := range l.waiting {
		w.done <- leaseReply{err: &consensus.NotLeaderError{}}
	}
	for _, round := range l.rounds {
		for _, w := range round {
			w.done <- leaseReply{err: &consensus.NotLeaderError{}}
		}
	}
	l.waiting, l.rounds = nil, map[uint64][]renewal{}
}

// tick records the applied index, updates the list of serving hosts and starts a read round
// for the waiting renewals.
func (l *leases) tick(r *Replica, now time.Time) {
	if r.role != consensus.Leader {
		return
	}
	l.commits = append(l.commits, commit{now, r.applied})
	for len(l.commits) > 1 && now.Sub(l.commits[1].at) >= maxApplyLag {
		l.commits = l.commits[1:]
	}
	l.table.Prune(now, r.hostNames())
	l.updateServing(now)
	l.startRound(r, now)
}

// startRound starts a read round for all waiting renewals, unless two are in progress.
func (l *leases) startRound(r *Replica, now time.Time) {
	if len(l.waiting) == 0 || len(l.rounds) > 1 {
		return
	}
	l.lastRound++
	batch := l.waiting
	l.waiting = nil
	l.rounds[l.lastRound] = batch
	out, err := r.node.Read(now, l.lastRound)
	if err != nil {
		delete(l.rounds, l.lastRound)
		for _, w := range batch {
			w.done <- leaseReply{err: err}
		}
		return
	}
	r.handle(out)
}

// confirmed decides on the renewals of confirmed rounds and refuses those of aborted rounds.
func (l *leases) confirmed(r *Replica, reads []consensus.Read, aborted []uint64) {
	for _, read := range reads {
		for _, w := range l.rounds[read.ID] {
			w.done <- leaseReply{lease: l.grant(r, &w.request)}
		}
		delete(l.rounds, read.ID)
	}
	for _, id := range aborted {
		for _, w := range l.rounds[id] {
			w.done <- leaseReply{err: &consensus.NotLeaderError{}}
		}
		delete(l.rounds, id)
	}
}

// grant decides on a renewal whose read round is confirmed.
func (l *leases) grant(r *Replica, q *RenewRequest) RenewResponse {
	now := r.Clock.Now()
	reply := RenewResponse{Commit: r.applied, Leader: r.Host, Term: r.term, HostsVersion: l.servingVersion}
	switch {
	case now.Before(l.servingKnownAt):
		reply.HostsVersion = q.HostsVersion
	case q.HostsVersion != l.servingVersion:
		reply.Serving = l.serving
	}
	view := r.state.View()
	_, listed := hostsOf(view.Inventory)[q.Host]
	switch {
	case view.Inventory != nil && !listed:
		reply.Reason = "host " + q.Host + " is not in the inventory"
	case q.Group != "" && q.Group != r.groupID, q.Applied > r.applied:
		// The group has lost changes that it had accepted. Continuing to serve would revert
		// these changes on the other hosts, so an operator has to decide.
		reply.Reason = "the host follows another group of control hosts, or is ahead of this one"
		r.Log.Error().Str("from", q.Host).Uint64("host", q.Applied).Uint64("group", r.applied).Msg("control hosts have lost accepted changes")
	case q.Applied < l.commits[0].index:
		reply.Reason = "the host's control state is behind"
	case q.Applied == r.applied && q.Digest != r.state.Digest():
		reply.Reason, reply.Resync = "the host's control state differs", true
	default:
		if q.Draining {
			l.draining[q.Host] = now
		} else {
			delete(l.draining, q.Host)
		}
		l.table.Length = r.leaseLength()
		l.table.Renew(q.Host, q.Applied, now)
		reply.Length = l.table.Length
	}
	return reply
}

// updateServing updates the list of hosts that callers may use. It omits hosts that have not
// renewed with this leader, because they may have drained under the previous leader.
func (l *leases) updateServing(now time.Time) {
	var serving []string
	for _, host := range l.table.Renewed(now) {
		if _, draining := l.draining[host]; !draining {
			serving = append(serving, host)
		}
	}
	for host, since := range l.draining {
		if now.Sub(since) > drainRetention {
			delete(l.draining, host)
		}
	}
	if !slices.Equal(serving, l.serving) {
		l.serving = serving
		l.servingVersion++
	}
}

// leaseLength returns the lease length of the inventory's rules, or the default.
func (r *Replica) leaseLength() time.Duration {
	if document := r.state.View().Inventory; document != nil {
		return document.Rules.Lease.Duration
	}
	return inventory.DefaultLease
}

func (r *Replica) hostNames() []string {
	view := r.state.View()
	names := make([]string, len(view.Hosts))
	for i := range view.Hosts {
		names[i] = view.Hosts[i].Name
	}
	return names
}

// hostsOf returns the hosts of an inventory, which may be nil.
func hostsOf(document *inventory.Document) map[string]inventory.Host {
	if document == nil {
		return nil
	}
	return document.Hosts
}

// serveRenew handles a host's request for a lease.
func (r *Replica) serveRenew(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q RenewRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	done := make(chan leaseReply, 1)
	leader := ""
	err := r.do(ctx, func() {
		if r.node == nil || r.role != consensus.Leader {
			if r.node != nil {
				leader = r.node.Status().Leader
			}
			done <- leaseReply{err: &consensus.NotLeaderError{Leader: leader}}
			return
		}
		r.leases.waiting = append(r.leases.waiting, renewal{q, done})
	})
	if err != nil {
		return nil, toRemoteError(err)
	}
	select {
	case reply := <-done:
		if reply.err == nil {
			return reply.lease, nil
		}
		var notLeader *consensus.NotLeaderError
		if errors.As(reply.err, &notLeader) && notLeader.Leader != "" && !q.Forwarded {
			q.Forwarded = true
			var out RenewResponse
			return forward(ctx, r, notLeader.Leader, MethodRenew, q, &out)
		}
		return nil, toRemoteError(reply.err)
	case <-ctx.Done():
		return nil, toRemoteError(ctx.Err())
	}
}

// serveStatus returns the leader's view of leases and replicas.
func (r *Replica) serveStatus(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q StatusRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	var out *Status
	leader := ""
	err := r.do(ctx, func() {
		if r.node == nil {
			return
		}
		if r.role == consensus.Leader {
			out = r.status(q.Index)
			return
		}
		leader = r.node.Status().Leader
	})
	switch {
	case err != nil:
		return nil, toRemoteError(err)
	case out != nil:
		return out, nil
	case leader != "" && !q.Forwarded:
		q.Forwarded = true
		out = &Status{}
		return forward(ctx, r, leader, MethodStatus, q, out)
	}
	return nil, toRemoteError(&consensus.NotLeaderError{Leader: leader})
}

func (r *Replica) status(index uint64) *Status {
	now, names := r.Clock.Now(), r.hostNames()
	s := r.node.Status()
	out := &Status{
		Leader: r.Host, Term: s.Term, Commit: s.Commit,
		Report: r.leases.table.InForce(index, now, names),
		Leases: r.leases.table.InForce(s.Commit, now, names).Hosts,
	}
	for _, id := range slices.Concat(s.Members.Voters, s.Members.Joining, s.Members.Learners) {
		m := Member{ID: id, Host: hostOf(id), Learner: !s.Members.Voter(id), Match: s.Last, LastHeard: now}
		if p, ok := s.Progress[id]; ok {
			m.Match, m.LastHeard, m.Phase = p.Match, p.LastHeard, p.Phase
		}
		out.Replicas = append(out.Replicas, m)
	}
	return out
}
