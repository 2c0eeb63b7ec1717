package quorum

import (
	"context"
	"slices"
	"time"

	"wasabirelay/consensus"
)

const (
	// repairInterval is how often the leader looks for a learner to promote or an
	// identity to remove.
	repairInterval = 250 * time.Millisecond
	// replaceAfter is how long a voter must be silent before a learner of another host
	// takes its place. It exceeds a restart and the usual length of a partition, after
	// which the voter returns with its log.
	replaceAfter = 15 * time.Second
)

// repair completes the replacement of a replica that lost its disk.
type repair struct {
	next time.Time
}

func (p *repair) tick(r *Replica, now time.Time) {
	if r.role != consensus.Leader || now.Before(p.next) {
		return
	}
	p.next = now.Add(repairInterval)
	s := r.node.Status()
	change, ok := nextChange(&s, now, r.Election)
	if !ok {
		return
	}
	_, out, err := r.node.Change(now, change)
	if err != nil {
		r.Log.Debug().Err(err).Str("member", change.ID).Msg("membership change refused")
		return
	}
	r.Log.Info().Str("member", change.ID).Str("action", string(change.Action)).Msg("changing the group")
	r.handle(out)
}

// nextChange returns the next membership change of a repair. The lost identity of
// a host is removed once its new one has caught up, and the new one is promoted
// after that: the log refuses a promotion beside voters that can't be reached,
// because the group would depend on all the others. A learner that is silent waits.
func nextChange(s *consensus.Status, now time.Time, silence time.Duration) (consensus.MembershipChange, bool) {
	if !s.Ready || s.Pending != 0 {
		return consensus.MembershipChange{}, false
	}
	alive := func(id string) bool {
		p, ok := s.Progress[id]
		return id == s.ID || ok && now.Sub(p.LastHeard) < silence
	}
	current := func(id string) bool {
		return alive(id) && (id == s.ID || s.Progress[id].Match+consensus.MaxPromotionLag >= s.Last)
	}
	members := slices.Concat(s.Members.Voters, s.Members.Learners)
	for _, id := range members {
		if !alive(id) && slices.ContainsFunc(members, func(other string) bool { return replaces(other, id) && current(other) }) {
			return consensus.MembershipChange{Action: consensus.Remove, ID: id}, true
		}
	}
	spare := func(id string) bool {
		own := func(voter string) bool { return replaces(id, voter) }
		return current(id) && !slices.ContainsFunc(s.Members.Voters, own)
	}
	for _, id := range s.Members.Voters {
		p, ok := s.Progress[id]
		gone := id != s.ID && ok && !p.LastHeard.IsZero() && now.Sub(p.LastHeard) > replaceAfter
		if gone && slices.ContainsFunc(s.Members.Learners, spare) {
			return consensus.MembershipChange{Action: consensus.Remove, ID: id}, true
		}
	}
	for _, id := range s.Members.Learners {
		old := func(voter string) bool { return replaces(id, voter) }
		if current(id) && !slices.ContainsFunc(s.Members.Voters, old) {
			return consensus.MembershipChange{Action: consensus.Promote, ID: id}, true
		}
	}
	return consensus.MembershipChange{}, false
}

// replaces reports whether id is another identity of the same host. Only one of
// them can live, because the host's listener has one address.
func replaces(id, old string) bool { return id != old && hostOf(id) == hostOf(old) }

// TransferLeadership transfers leadership to the voter that is furthest ahead, if this
// replica leads, and returns when another replica leads or an election timeout
// has passed.
func (r *Replica) TransferLeadership(ctx context.Context) {
	for wait := time.Duration(0); wait < r.Election; wait += r.Heartbeat {
		leading := false
		err := r.do(ctx, func() {
			if leading = r.role == consensus.Leader; leading && wait == 0 {
				r.transfer()
			}
		})
		if err != nil || !leading {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(r.Heartbeat):
		}
	}
}

func (r *Replica) transfer() {
	s := r.node.Status()
	best := ""
	for _, id := range s.Members.Voters {
		if id != s.ID && (best == "" || s.Progress[id].Match > s.Progress[best].Match) {
			best = id
		}
	}
	if best == "" {
		return
	}
	out, err := r.node.Transfer(r.Clock.Now(), best)
	if err != nil {
		r.Log.Warn().Err(err).Msg("leadership not handed over")
		return
	}
	r.Log.Info().Str("to", best).Msg("handing leadership over")
	r.handle(out)
}
