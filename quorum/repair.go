package quorum

import (
	"context"
	"time"

	"wasabirelay/consensus"
)

// repairInterval is how often the leader checks whether to change the membership.
const repairInterval = 250 * time.Millisecond

// repair changes the membership of the group to replace members that have lost their disk,
// that stop or that are gone.
type repair struct {
	next time.Time
	// since is when this replica became the leader.
	since time.Time
	// leaving holds when each voter last announced that it stops.
	leaving map[string]time.Time
}

func (p *repair) tick(r *Replica, now time.Time) {
	if r.role != consensus.Leader || now.Before(p.next) {
		return
	}
	p.next = now.Add(repairInterval)
	change, ok := r.roster(now).nextChange()
	if !ok {
		return
	}
	_, out, err := r.node.Change(now, change)
	if err != nil {
		r.Log.Debug().Err(err).Str("member", change.ID).Msg("membership change refused")
		return
	}
	r.Log.Info().Str("member", change.ID).Str("action", string(change.Action)).Msg("changing the group membership")
	r.handle(out)
}

// roster returns what the leader knows about the members now.
func (r *Replica) roster(now time.Time) *roster {
	s := r.node.Status()
	for id, at := range r.repair.leaving {
		if now.Sub(at) > leaveExpiry {
			delete(r.repair.leaving, id)
		}
	}
	return &roster{
		Status: &s, Now: now, Since: r.repair.since, Size: max(len(r.bootstrapMembers), r.MinVoters), Silence: r.Election, Centre: r.Centre,
		Leaving: func(id string) bool { _, ok := r.repair.leaving[id]; return ok },
	}
}

// TransferLeadership transfers leadership to another voter, if this replica is the leader. It
// returns when this replica is no longer the leader, or after the election timeout.
func (r *Replica) TransferLeadership(ctx context.Context) {
	for waited := time.Duration(0); waited < r.Election; waited += r.Heartbeat {
		isLeader := false
		err := r.do(ctx, func() {
			if isLeader = r.role == consensus.Leader; isLeader && waited == 0 {
				r.startTransfer()
			}
		})
		if err != nil || !isLeader {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(r.Heartbeat):
		}
	}
}

// startTransfer starts a transfer of leadership.
func (r *Replica) startTransfer() {
	now := r.Clock.Now()
	successor := r.roster(now).successor()
	if successor == "" {
		return
	}
	out, err := r.node.Transfer(now, successor)
	if err != nil {
		r.Log.Warn().Err(err).Msg("failed to transfer leadership")
		return
	}
	r.Log.Info().Str("to", successor).Msg("transferring leadership")
	r.handle(out)
}
