package quorum

import (
	"context"
	"encoding/json"
	"time"

	"wasabirelay/consensus"
	"wasabirelay/peer"
)

// leaveExpiry is how long the leader remembers that a voter stops. The voter announces it again
// and again until it is replaced.
const leaveExpiry = 2 * time.Second

// Leave hands over the duties of this replica before it stops: the leadership, and its vote if
// a spare host can take it over. Without that, a group with a spare host would tolerate one
// loss less from the stop until the leader notices it.
func (r *Replica) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.LeaveTimeout)
	defer cancel()
	for {
		r.TransferLeadership(ctx)
		if !r.announceLeave(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			r.Log.Warn().Msg("stopping without a replacement for the vote of this host")
			return
		case <-r.Clock.After(r.Heartbeat):
		}
	}
}

// announceLeave tells the leader that this replica stops. It reports whether to wait for the
// replacement.
func (r *Replica) announceLeave(ctx context.Context) bool {
	replaceable, leader := false, ""
	err := r.do(ctx, func() {
		r.rejoin.disabled = true
		if r.node != nil {
			s := r.node.Status()
			replaceable, leader = len(s.Members.Voters) > 1, s.Leader
		}
	})
	if err != nil || !replaceable {
		return false
	}
	if leader == "" || leader == r.identity.String() {
		return true // an election is in progress
	}
	var response LeaveResponse
	if _, err := forward(ctx, r, leader, MethodLeave, LeaveRequest{ID: r.identity.String()}, &response); err != nil {
		return true
	}
	return response.Wait
}

// serveLeave notes on the leader that a voter stops.
func (r *Replica) serveLeave(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q LeaveRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	var out LeaveResponse
	var refusal error
	err := r.do(ctx, func() { out, refusal = r.noteLeaving(q.ID) })
	switch {
	case err != nil:
		return nil, toRemoteError(err)
	case refusal != nil:
		return nil, toRemoteError(refusal)
	}
	return out, nil
}

func (r *Replica) noteLeaving(id string) (LeaveResponse, error) {
	if r.node == nil || r.role != consensus.Leader {
		return LeaveResponse{}, &consensus.NotLeaderError{}
	}
	now := r.Clock.Now()
	members := r.roster(now)
	if members.Members.Voter(id) {
		r.repair.leaving[id] = now
	}
	return LeaveResponse{Wait: members.needs(id)}, nil
}
