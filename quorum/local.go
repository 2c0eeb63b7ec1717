package quorum

import (
	"context"

	"wasabirelay/consensus"
)

// LocalStatus is what a replica knows of itself.
type LocalStatus struct {
	// Voter states that the replica counts towards a quorum, Leader that it leads.
	Voter, Leader bool
	Term          uint64
	// Applied is the index of the last command in its state.
	Applied uint64
	Voters  int
}

// LocalStatus returns what the replica knows of itself. It is zero while it is in no group.
func (r *Replica) LocalStatus(ctx context.Context) (LocalStatus, error) {
	var l LocalStatus
	err := r.do(ctx, func() {
		if r.node == nil {
			return
		}
		s := r.node.Status()
		l = LocalStatus{
			Voter: s.Members.Voter(s.ID), Leader: s.Role == consensus.Leader, Term: s.Term, Applied: r.applied, Voters: len(s.Members.Voters),
		}
	})
	return l, err
}
