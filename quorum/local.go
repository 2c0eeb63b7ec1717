package quorum

import (
	"context"

	"wasabirelay/consensus"
)

// LocalStatus is the status of a replica as it sees itself.
type LocalStatus struct {
	// Voter is true if the replica counts towards a quorum, Leader if it is the leader.
	Voter, Leader bool
	Term          uint64
	// Applied is the index of the last log entry that is applied to its state.
	Applied uint64
	// Voters is the number of voters in the group.
	Voters int
	// Tolerated is the number of voters that the group can still lose, as the leader sees it.
	// It is -1 on a replica that is not the leader.
	Tolerated int
	// DiskFailing is true while the disk refuses writes, so that the replica takes no part in the group.
	DiskFailing bool
}

// DiskFailing reports whether the disk refuses writes, so that the replica takes no part in its group.
func (r *Replica) DiskFailing() bool { return r.diskFailing.Load() }

// HasLeader reports whether this replica leads its group or hears from the leader. Otherwise it may lack
// changes that the group has accepted.
func (r *Replica) HasLeader() bool { return r.hasLeader.Load() }

// LocalStatus returns the status of this replica. It is zero while the replica is in no group.
func (r *Replica) LocalStatus(ctx context.Context) (LocalStatus, error) {
	status := LocalStatus{DiskFailing: r.DiskFailing()}
	err := r.do(ctx, func() {
		if r.node == nil {
			return
		}
		s := r.node.Status()
		count := -1
		if s.Role == consensus.Leader {
			count, _ = tolerated(&s, r.Clock.Now(), r.Election)
		}
		status = LocalStatus{
			Tolerated: count,
			Voter:     s.Members.Voter(s.ID), Leader: s.Role == consensus.Leader, Term: s.Term, Applied: r.applied, Voters: len(s.Members.Voters),
		}
	})
	if err != nil { // the control goroutine may still write the status
		return LocalStatus{DiskFailing: r.DiskFailing()}, err
	}
	return status, nil
}
