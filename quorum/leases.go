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
	// lagLimit is how far the state of a host may be behind the commits before the
	// leader refuses its lease. A host whose feed stands still loses its lease
	// after this and one lease length at the latest.
	lagLimit = 300 * time.Millisecond
	// gathering is for how long a new leader leaves the lists of serving hosts as they
	// are: long enough for every live host to renew with it.
	gathering = 500 * time.Millisecond
	// drainMemory is how long the leader remembers that a host drains after its
	// last renewal said so. It exceeds the longest list of addresses by default.
	drainMemory = 10 * time.Second
)

// leases grants leases while this replica leads. A renewal is answered after a
// read round that began after the renewal arrived, so that a leader that was
// replaced without knowing it grants nothing.
type leases struct {
	table lease.Table
	// waiting renewals go into the next read round; rounds holds those under way.
	waiting []renewal
	rounds  map[uint64][]renewal
	next    uint64
	// commits holds the newest index at some times of the last lagLimit.
	commits  []commit
	draining map[string]time.Time
	// serving is the list of hosts that callers may use, version its number.
	serving []string
	version uint64
	// gathered is from when on this leader knows which hosts serve.
	gathered time.Time
}

type renewal struct {
	request RenewRequest
	done    chan leaseReply
}

type leaseReply struct {
	lease RenewResponse
	err   error
}

type commit struct {
	at    time.Time
	index uint64
}

func (l *leases) init() {
	l.rounds, l.draining = map[uint64][]renewal{}, map[string]time.Time{}
}

func (l *leases) elected(r *Replica, now time.Time) {
	// The rule may have been longer a moment ago.
	length := max(r.leaseLength(), r.state.View().LongestLease(now))
	l.table.BeginTerm(now, length, r.hostNames())
	l.commits = []commit{{now, 0}}
	l.version = uint64(now.UnixNano())
	l.serving, l.gathered = nil, now.Add(gathering)
}

// lost refuses all renewals under way: leadership was lost.
func (l *leases) lost() {
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

// tick notes the commit index and starts a read round for waiting renewals.
func (l *leases) tick(r *Replica, now time.Time) {
	if r.role != consensus.Leader {
		return
	}
	l.commits = append(l.commits, commit{now, r.applied})
	for len(l.commits) > 1 && now.Sub(l.commits[1].at) >= lagLimit {
		l.commits = l.commits[1:]
	}
	l.table.Prune(now, r.hostNames())
	l.updateServing(now)
	l.round(r, now)
}

func (l *leases) round(r *Replica, now time.Time) {
	if len(l.waiting) == 0 || len(l.rounds) > 1 {
		return
	}
	l.next++
	batch := l.waiting
	l.waiting = nil
	l.rounds[l.next] = batch
	out, err := r.node.Read(now, l.next)
	if err != nil {
		delete(l.rounds, l.next)
		for _, w := range batch {
			w.done <- leaseReply{err: err}
		}
		return
	}
	r.handle(out)
}

// confirmed answers the renewals of confirmed rounds and refuses aborted ones.
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

// grant decides on a renewal whose round is confirmed.
func (l *leases) grant(r *Replica, q *RenewRequest) RenewResponse {
	now := r.Clock.Now()
	reply := RenewResponse{Commit: r.applied, Leader: r.Host, Term: r.term, HostsVersion: l.version}
	switch {
	case now.Before(l.gathered):
		reply.HostsVersion = q.HostsVersion
	case q.HostsVersion != l.version:
		reply.Serving = l.serving
	}
	view := r.state.View()
	_, listed := hostsOf(view.Inventory)[q.Host]
	switch {
	case view.Inventory != nil && !listed:
		reply.Reason = "host " + q.Host + " is not in the inventory"
	case q.Group != "" && q.Group != r.group, q.Applied > r.applied:
		// The group has lost changes that it had accepted. Serving on would revert
		// them on the other hosts, so an operator has to decide.
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

// updateServing renews the list of hosts that callers may use. A host that has not
// renewed with this leader may have drained under the one before.
func (l *leases) updateServing(now time.Time) {
	var serving []string
	for _, host := range l.table.Renewed(now) {
		if _, draining := l.draining[host]; !draining {
			serving = append(serving, host)
		}
	}
	for host, since := range l.draining {
		if now.Sub(since) > drainMemory {
			delete(l.draining, host)
		}
	}
	if !slices.Equal(serving, l.serving) {
		l.serving = serving
		l.version++
	}
}

func (r *Replica) leaseLength() time.Duration {
	if d := r.state.View().Inventory; d != nil {
		return d.Rules.Lease.Duration
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

func hostsOf(d *inventory.Document) map[string]inventory.Host {
	if d == nil {
		return nil
	}
	return d.Hosts
}

// serveRenew answers a host's request for a lease.
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
		return nil, remote(err)
	}
	select {
	case reply := <-done:
		if reply.err == nil {
			return reply.lease, nil
		}
		var not *consensus.NotLeaderError
		if errors.As(reply.err, &not) && not.Leader != "" && !q.Forwarded {
			q.Forwarded = true
			var out RenewResponse
			return forward(ctx, r, not.Leader, MethodRenew, q, &out)
		}
		return nil, remote(reply.err)
	case <-ctx.Done():
		return nil, remote(ctx.Err())
	}
}

// serveStatus answers with the leader's picture of leases and replicas.
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
		return nil, remote(err)
	case out != nil:
		return out, nil
	case leader != "" && !q.Forwarded:
		q.Forwarded = true
		out = &Status{}
		return forward(ctx, r, leader, MethodStatus, q, out)
	}
	return nil, remote(&consensus.NotLeaderError{Leader: leader})
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
		m := Member{ID: id, Host: hostOf(id), Learner: !s.Members.Voter(id), Match: s.Last, Heard: now}
		if p, ok := s.Progress[id]; ok {
			m.Match, m.Heard, m.Phase = p.Match, p.LastHeard, p.Phase
		}
		out.Replicas = append(out.Replicas, m)
	}
	return out
}
