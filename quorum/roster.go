package quorum

import (
	"cmp"
	"slices"
	"time"

	"wasabirelay/consensus"
)

const (
	// replaceAfter is how long a voter must be silent before a spare host replaces it. A voter
	// that was only restarting returns as a spare host.
	replaceAfter = time.Second
	// forgetAfter is how long a learner must be silent before it is removed. It joins again
	// when it returns.
	forgetAfter = time.Minute
)

// roster is what a leader knows about the members of its group. It decides on membership
// changes. Exported fields must be set before use.
type roster struct {
	*consensus.Status
	Now time.Time
	// Size is the number of voters of a complete group. Further hosts are spare: they are
	// learners, so that a voter that fails doesn't raise the size of the majority that remains
	// necessary.
	Size int
	// Since is when the leader was elected. It counts all members as heard from then.
	Since time.Time
	// Silence is how long a member that can be reached may be silent.
	Silence time.Duration
	// Centre returns the data centre of a host, or "" if it is not known; nil if none is.
	Centre func(host string) string
	// Leaving reports whether a voter has announced that it stops; nil if none has.
	Leaving func(id string) bool
}

// nextChange returns the next membership change, or false if there is none. A voter that is
// silent is removed before its replacement is promoted: with both, the majority would depend
// on all other voters. A voter that leaves is removed after that, because its vote counts
// until then.
func (o *roster) nextChange() (consensus.MembershipChange, bool) {
	if !o.Ready || o.Pending > o.Commit {
		return consensus.MembershipChange{}, false
	}
	if id := cmp.Or(o.lostIdentity(), o.silentJoining(), o.surplusVoter()); id != "" {
		return consensus.MembershipChange{Action: consensus.Remove, ID: id}, true
	}
	joining := len(o.Members.Joining) > 0
	spare := ""
	if !joining {
		spare = o.spare()
	}
	if spare != "" && len(o.Members.Voters) < o.Size && o.majorityWithout(spare) {
		return consensus.MembershipChange{Action: consensus.Promote, ID: spare}, true
	}
	if id := o.silentVoter(); id != "" && (spare != "" || joining) {
		return consensus.MembershipChange{Action: consensus.Remove, ID: id}, true
	}
	if spare != "" && (o.leavingVoter() != "" || o.balances(spare)) {
		return consensus.MembershipChange{Action: consensus.Promote, ID: spare}, true
	}
	if id := o.forgottenLearner(); id != "" {
		return consensus.MembershipChange{Action: consensus.Remove, ID: id}, true
	}
	return consensus.MembershipChange{}, false
}

// heard returns how long ago the leader heard from a member.
func (o *roster) heard(id string) (time.Duration, bool) {
	if id == o.ID {
		return 0, true
	}
	p, ok := o.Progress[id]
	return o.Now.Sub(p.LastHeard), ok && !p.LastHeard.IsZero()
}

func (o *roster) alive(id string) bool {
	age, ok := o.heard(id)
	return ok && age < o.Silence
}

func (o *roster) silentFor(id string, limit time.Duration) bool {
	age, ok := o.heard(id)
	return ok && age > limit
}

func (o *roster) caughtUp(id string) bool {
	return o.alive(id) && (id == o.ID || o.Progress[id].Match+consensus.MaxPromotionLag >= o.Last)
}

func (o *roster) leaving(id string) bool { return o.Leaving != nil && o.Leaving(id) }

func (o *roster) centre(id string) string {
	if o.Centre == nil {
		return ""
	}
	return o.Centre(hostOf(id))
}

// votersIn returns the number of voters in a data centre.
func (o *roster) votersIn(centre string) int {
	count := 0
	for _, id := range o.Members.Voters {
		if o.centre(id) == centre {
			count++
		}
	}
	return count
}

// majorityWithout reports whether the voters that can be reached are a majority of the voters
// and a further one, without the vote of that one.
func (o *roster) majorityWithout(further string) bool {
	voters := len(o.Members.Voters)
	return voters == 1 || o.aliveBeside(further) > (voters+1)/2
}

// aliveBeside returns the number of voters other than id that can be reached.
func (o *roster) aliveBeside(id string) int {
	count := 0
	for _, other := range o.Members.Voters {
		if other != id && o.alive(other) {
			count++
		}
	}
	return count
}

// lostIdentity returns a member whose host has another identity that has caught up.
func (o *roster) lostIdentity() string {
	members := slices.Concat(o.Members.Voters, o.Members.Joining, o.Members.Learners)
	for _, id := range members {
		replaced := func(other string) bool { return replaces(other, id) && o.caughtUp(other) }
		if !o.alive(id) && slices.ContainsFunc(members, replaced) {
			return id
		}
	}
	return ""
}

// silentJoining returns a joining voter that can't complete its promotion.
func (o *roster) silentJoining() string { return o.first(o.Members.Joining, replaceAfter) }

func (o *roster) silentVoter() string { return o.first(o.Members.Voters, replaceAfter) }

func (o *roster) forgottenLearner() string { return o.first(o.Members.Learners, forgetAfter) }

// first returns the first of the members that has been silent for longer than limit.
func (o *roster) first(members []string, limit time.Duration) string {
	for _, id := range members {
		if o.silentFor(id, limit) {
			return id
		}
	}
	return ""
}

// leavingVoter returns a voter that stops. The leader transfers its leadership before it
// stops.
func (o *roster) leavingVoter() string {
	for _, id := range o.Members.Voters {
		if id != o.ID && o.leaving(id) {
			return id
		}
	}
	return ""
}

// needs reports whether the group still needs a voter that stops: until a spare host has taken over
// its vote, while the other voters that can be reached are no majority, and as long as a new leader
// doesn't know either. A removal counts once it is committed: until then the next leader may
// still depend on the vote.
func (o *roster) needs(id string) bool {
	if !o.Members.Voter(id) {
		return o.Pending > o.Commit
	}
	if o.Now.Sub(o.Since) < 2*o.Silence {
		return true
	}
	replaced := o.spare() != "" || len(o.Members.Joining) > 0 || len(o.Members.Voters) > o.Size
	return replaced || o.aliveBeside(id) < o.Members.Quorum()
}

// successor returns the voter to transfer the leadership to: of those that can be reached and
// don't stop, the one with the most complete log. It returns "" if there is none.
func (o *roster) successor() string {
	best := ""
	for _, id := range o.Members.Voters {
		if id == o.ID || !o.alive(id) || o.leaving(id) {
			continue
		}
		if best == "" || o.Progress[id].Match > o.Progress[best].Match {
			best = id
		}
	}
	return best
}

// surplusVoter returns a voter that a complete group doesn't need: one that is silent or
// stops, or else one of the data centre with the most voters.
func (o *roster) surplusVoter() string {
	if len(o.Members.Voters) <= o.Size {
		return ""
	}
	if id := cmp.Or(o.silentVoter(), o.leavingVoter()); id != "" {
		return id
	}
	crowded, most := "", 0
	for _, id := range o.Members.Voters {
		if count := o.votersIn(o.centre(id)); id != o.ID && count > most {
			crowded, most = id, count
		}
	}
	return crowded
}

// spare returns the spare host that is to become a voter next, one of the data centre with the
// fewest voters.
func (o *roster) spare() string {
	best := ""
	for _, id := range o.Members.Learners {
		sameHost := func(voter string) bool { return replaces(id, voter) }
		if !o.caughtUp(id) || o.leaving(id) || slices.ContainsFunc(o.Members.Voters, sameHost) {
			continue
		}
		if best == "" || o.liveVotersIn(o.centre(id)) < o.liveVotersIn(o.centre(best)) {
			best = id
		}
	}
	return best
}

// liveVotersIn returns the number of voters in a data centre that stay.
func (o *roster) liveVotersIn(centre string) int {
	count := 0
	for _, id := range o.Members.Voters {
		if o.centre(id) == centre && o.alive(id) && !o.leaving(id) {
			count++
		}
	}
	return count
}

// balances reports whether the vote of a host in another data centre should move to a spare host:
// that centre would still have as many voters as that of the spare host. The loss of one centre
// then takes fewer voters.
func (o *roster) balances(spare string) bool {
	if o.Centre == nil {
		return false
	}
	here := o.votersIn(o.centre(spare))
	return slices.ContainsFunc(o.Members.Voters, func(id string) bool {
		return id != o.ID && o.votersIn(o.centre(id)) >= here+2
	})
}

// replaces reports whether id is another identity of the host of old. Only one identity of a
// host can be alive, because the host's listener has one address.
func replaces(id, old string) bool { return id != old && hostOf(id) == hostOf(old) }
