package quorum

import (
	"maps"
	"slices"
	"time"

	"wasabirelay/consensus"
)

const (
	// leaderlessAfter is how long a group may have no leader before a replica reports it. It is
	// longer than an election.
	leaderlessAfter = 2 * time.Second
	// leaderlessInterval is the interval between two such reports.
	leaderlessInterval = 5 * time.Second
)

// groupHealth logs what decides whether the group can go on: on the leader, how many voters it
// can still lose; on other replicas, which voters grant votes while there is no leader.
type groupHealth struct {
	tolerated int
	silent    []string
	reported  bool
	// leaderless is when the replica last had a leader or last reported that it has none.
	leaderless time.Time
	granted    map[string]bool
}

// tolerated returns the number of voters that the group can lose in addition to those that
// have been silent for longer than silence, and the silent ones. The number is negative if the
// voters that can be reached are not a majority.
func tolerated(s *consensus.Status, now time.Time, silence time.Duration) (spare int, silent []string) {
	for _, id := range s.Members.Voters {
		if p, ok := s.Progress[id]; id != s.ID && (!ok || now.Sub(p.LastHeard) >= silence) {
			silent = append(silent, id)
		}
	}
	return len(s.Members.Voters) - len(silent) - s.Members.Quorum(), silent
}

func (h *groupHealth) tick(r *Replica, now time.Time) {
	s := r.node.Status()
	switch {
	case s.Role == consensus.Leader:
		h.reportTolerated(r, &s, now)
		h.leaderless, h.granted = now, nil
	case s.Leader != "" || !s.Members.Voter(s.ID) || h.leaderless.IsZero():
		*h = groupHealth{leaderless: now}
	default:
		h.reportLeaderless(r, &s, now)
	}
}

func (h *groupHealth) reportTolerated(r *Replica, s *consensus.Status, now time.Time) {
	count, silent := tolerated(s, now, r.Election)
	if h.reported && count == h.tolerated && slices.Equal(silent, h.silent) {
		return
	}
	h.reported, h.tolerated, h.silent = true, count, silent
	line := r.Log.Info()
	if count <= 0 {
		line = r.Log.Warn()
	}
	line.Int("tolerated", count).Strs("silent", silent).Strs("voters", s.Members.Voters).Strs("learners", s.Members.Learners).
		Msg("number of voters that the group can lose changed")
}

func (h *groupHealth) reportLeaderless(r *Replica, s *consensus.Status, now time.Time) {
	if h.granted == nil {
		h.granted = map[string]bool{}
	}
	for _, id := range s.Granted {
		h.granted[id] = true
	}
	wait := leaderlessAfter
	if h.reported {
		wait = leaderlessInterval
	}
	if now.Sub(h.leaderless) < wait {
		return
	}
	r.Log.Warn().Strs("voters", s.Members.Voters).Strs("granted", slices.Sorted(maps.Keys(h.granted))).Int("needed", s.Members.Quorum()).
		Uint64("term", s.Term).Msg("the group has no leader")
	*h = groupHealth{reported: true, leaderless: now}
}
