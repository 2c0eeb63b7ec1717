package quorum

import (
	"context"
	"maps"
	"slices"
	"time"

	"wasabirelay/consensus"
)

// rejoinAfter is how long a replica must not hear from a leader before it asks the other
// control hosts whether it is still a member of the group.
const rejoinAfter = time.Second

// rejoin brings a replica back into its group that was removed while it was away or silent.
// The group sends nothing to a replica that is no member, so it has to ask.
type rejoin struct {
	next    time.Time
	polling bool
	// disabled is true while the replica stops.
	disabled bool
}

func (j *rejoin) tick(r *Replica, now time.Time) {
	s := r.node.Status()
	if j.next.IsZero() || s.Role == consensus.Leader || now.Sub(s.LastHeard) < rejoinAfter {
		j.next = now.Add(rejoinAfter)
		return
	}
	if j.disabled || j.polling || now.Before(j.next) {
		return
	}
	j.next, j.polling = now.Add(rejoinAfter), true
	go r.askToRejoin(r.membership, r.bootstrapMembers)
}

// askToRejoin polls the other control hosts and joins the group again as a learner if this
// replica is no member any more.
func (r *Replica) askToRejoin(ctx context.Context, bootstrapMembers []string) {
	if host := decideRejoin(r.identity.String(), bootstrapMembers, r.pollHosts(ctx)); host != "" {
		r.requestJoin(ctx, host)
	}
	_ = r.do(ctx, func() { r.rejoin.polling = false }) // The error says that the replica stops.
}

// decideRejoin returns the host to send a join request to, or "" if there is none: a member of
// the group that doesn't list this replica. It may have an old list; the leader then ignores
// the request.
func decideRejoin(self string, bootstrapMembers []string, others map[string]Hello) string {
	for _, host := range slices.Sorted(maps.Keys(others)) {
		o := others[host]
		if slices.Equal(o.BootstrapMembers, bootstrapMembers) && slices.Contains(o.Members, o.ID) && !slices.Contains(o.Members, self) {
			return host
		}
	}
	return ""
}
