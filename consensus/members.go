package consensus

import "slices"

// Members is a configuration of the group: disjoint, sorted sets of identities.
//
// The promotion of a learner takes two entries. The first moves it to Joining: it
// may now grant votes, but majorities do not count it. The second, which the
// leader appends once the member holds the first, makes it a voter. With a single
// entry, the group could depend on the vote of a member that has not received the
// entry and so never votes: if the leader fails before the entry reaches that
// member, and one more disk is lost, no election can succeed.
type Members struct {
	Voters   []string `json:"voters,omitempty"`
	Joining  []string `json:"joining,omitempty"`
	Learners []string `json:"learners,omitempty"`
}

// Action is the type of a membership change.
type Action string

// The membership changes. A new member is always added as a learner.
const (
	Add     Action = "add"
	Promote Action = "promote"
	Remove  Action = "remove"
)

// MembershipChange adds, promotes or removes one member.
type MembershipChange struct {
	Action Action `json:"action"`
	ID     string `json:"id"`
}

func sortedSet(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	set := slices.Clone(list)
	slices.Sort(set)
	return slices.Compact(set)
}

func (m Members) clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Joining: slices.Clone(m.Joining), Learners: slices.Clone(m.Learners)}
}

// Voter reports whether id is a voter, which majorities count.
func (m Members) Voter(id string) bool { return slices.Contains(m.Voters, id) }

// CanVote reports whether id may grant votes: it is a voter or a joining voter.
func (m Members) CanVote(id string) bool { return m.Voter(id) || slices.Contains(m.Joining, id) }

// Learner reports whether id is a learner, a member that may not vote.
func (m Members) Learner(id string) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a member of any kind.
func (m Members) Contains(id string) bool { return m.CanVote(id) || m.Learner(id) }

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// majority reports whether has is true for a majority of the voters. It is false if
// there are no voters.
func (m Members) majority(has func(id string) bool) bool {
	count := 0
	for _, id := range m.Voters {
		if has(id) {
			count++
		}
	}
	return count >= m.Quorum()
}

// others returns all members except id.
func (m Members) others(id string) []string {
	all := slices.Concat(m.Voters, m.Joining, m.Learners)
	return slices.DeleteFunc(all, func(member string) bool { return member == id })
}

// apply returns the configuration after the change. The error is a
// *MembershipError.
func (m Members) apply(c MembershipChange) (Members, error) {
	refuse := func(reason string) (Members, error) {
		return Members{}, &MembershipError{Change: c, Reason: reason}
	}
	rest := m.without(c.ID)
	switch {
	case c.ID == "":
		return refuse("the identity is empty")
	case c.Action == Add && m.Contains(c.ID):
		return refuse("already a member")
	case c.Action == Promote && !m.Learner(c.ID):
		return refuse("not a learner")
	case c.Action == Remove && !m.Contains(c.ID):
		return refuse("not a member")
	case c.Action == Remove && len(rest.Voters) == 0:
		return refuse("the last voter cannot be removed")
	}
	switch c.Action {
	case Add:
		rest.Learners = sortedSet(append(rest.Learners, c.ID))
	case Promote:
		rest.Joining = sortedSet(append(rest.Joining, c.ID))
	case Remove:
	default:
		return refuse("unknown action")
	}
	return rest, nil
}

// withVoter returns a copy of the configuration in which id is a voter.
func (m Members) withVoter(id string) Members {
	rest := m.without(id)
	rest.Voters = sortedSet(append(rest.Voters, id))
	return rest
}

// without returns a copy of the configuration that excludes id.
func (m Members) without(id string) Members {
	drop := func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(member string) bool { return member == id })
	}
	return Members{Voters: drop(m.Voters), Joining: drop(m.Joining), Learners: drop(m.Learners)}
}
