package quorum

import (
	"net/netip"
	"slices"
	"time"
)

// ballot orders the proposals of bootstrap members; 0 stands for none. Each seed has ballots of its own.
type ballot int64

// firstBallot belongs to the first seed. Nothing can have been accepted in a lower one, so that a proposal in it needs no
// promises.
const firstBallot ballot = 1

// nextBallot returns the least ballot after another one that belongs to the seed at the position.
func nextBallot(after ballot, position, seeds int) ballot {
	first := firstBallot + ballot(position)
	if after < first {
		return first
	}
	return first + ((after-first)/ballot(seeds)+1)*ballot(seeds)
}

// majority returns how many of the hosts are more than half of them.
func majority(hosts int) int { return hosts/2 + 1 }

// agreement is what a host has promised to the other seeds while they agree on the bootstrap members of a group, with
// Paxos: a majority of the seeds accepts one list of members, and whoever proposes later proposes the same one. It is durable
// before it is told, and gone with the disk: a host without it gives no promise and accepts nothing.
type agreement struct {
	// Seeds are the peer addresses of the hosts that agree.
	Seeds []netip.AddrPort `json:"seeds"`
	// Promised is the highest ballot that was promised or accepted.
	Promised ballot `json:"promised,omitempty"`
	// Accepted is the ballot in which Members were accepted, if any were.
	Accepted ballot   `json:"accepted,omitempty"`
	Members  []string `json:"members,omitempty"`
	// Ended is true once the host has joined a group that others have bootstrapped without it.
	Ended bool `json:"ended,omitempty"`
}

// isOpen reports whether the host still takes part.
func (a *agreement) isOpen() bool { return a != nil && !a.Ended }

// hasAccepted reports whether the host has accepted the members.
func (a *agreement) hasAccepted(members []string) bool {
	return a != nil && a.Accepted > 0 && slices.Equal(a.Members, members)
}

// answer returns the response to a request, and what has to be durable before it is sent.
func (a agreement) answer(q *AgreeRequest) (agreement, *AgreeResponse) {
	granted := !a.Ended && slices.Equal(a.Seeds, q.Seeds)
	if len(q.Members) == 0 {
		granted = granted && q.Ballot > a.Promised
	} else {
		granted = granted && q.Ballot >= a.Promised
	}
	if granted {
		a.Promised = q.Ballot
		if len(q.Members) > 0 {
			a.Accepted, a.Members = q.Ballot, q.Members
		}
	}
	return a, &AgreeResponse{Granted: granted, Promised: a.Promised, Accepted: a.Accepted, Members: a.Members}
}

// proposalState says how far a proposal is.
type proposalState int

const (
	// proposed means that requests are pending.
	proposed proposalState = iota
	// chosen means that a majority of the seeds has accepted the members.
	chosen
	// abandoned means that the proposal can't succeed.
	abandoned
)

// proposal is an attempt of a seed to have bootstrap members accepted. It has no I/O: request is sent to all seeds, first
// to the proposer itself, and each response is passed to handle.
type proposal struct {
	state   proposalState
	request AgreeRequest
	// members are those that are proposed unless a seed has accepted others, in the ballot accepted.
	members  []string
	accepted ballot
	// seen is the highest ballot that a seed has promised.
	seen    ballot
	answers map[netip.AddrPort]bool // by seed, true if the request was granted
}

// newProposal returns a proposal of the seed at the position, in a ballot after seen.
func newProposal(own *agreement, seen ballot, position int, members []string) *proposal {
	p := &proposal{members: members, seen: seen, answers: map[netip.AddrPort]bool{}}
	p.request = AgreeRequest{Seeds: own.Seeds, Ballot: nextBallot(max(own.Promised, seen), position, len(own.Seeds))}
	if p.request.Ballot == firstBallot {
		p.request.Members = members
	}
	return p
}

// isPending reports whether the proposal still waits for responses to the request.
func (p *proposal) isPending(q *AgreeRequest) bool {
	return p.state == proposed && q.Ballot == p.request.Ballot && slices.Equal(q.Members, p.request.Members)
}

// handle handles the response of a seed to a request.
func (p *proposal) handle(seed netip.AddrPort, q *AgreeRequest, response *AgreeResponse) {
	if !p.isPending(q) {
		return
	}
	p.seen = max(p.seen, response.Promised)
	if response.Member {
		p.state = abandoned
		return
	}
	if response.Granted && len(q.Members) == 0 && response.Accepted > p.accepted {
		p.accepted, p.members = response.Accepted, response.Members
	}
	p.answers[seed] = response.Granted
	granted := 0
	for _, ok := range p.answers {
		if ok {
			granted++
		}
	}
	needed := majority(len(q.Seeds))
	switch {
	case granted >= needed && len(q.Members) == 0:
		p.request.Members = p.members
		p.answers = map[netip.AddrPort]bool{}
	case granted >= needed:
		p.state = chosen
	case len(p.answers)-granted > len(q.Seeds)-needed:
		p.state = abandoned
	}
}

const (
	// bootstrapDelay is the time without a newly discovered control host that must pass before members are proposed. All
	// hosts start within a third of a second.
	bootstrapDelay = 1200 * time.Millisecond
	// missingSeedDelay is the age of a process from which members are proposed although a seed doesn't respond.
	missingSeedDelay = 2500 * time.Millisecond
	// positionDelay is how much later each seed proposes than the one before it in the list.
	positionDelay = time.Second
	// olderSeedDelay is the age of a process from which it proposes although the first seed runs a version that knows no
	// agreement, and bootstraps a group by itself.
	olderSeedDelay = 10 * time.Second
)

// bootstrapView is what a seed knows when it decides whether to propose.
type bootstrapView struct {
	// position is that of the host in the list of seeds, negative if it is none.
	position int
	// seeds is the number of seeds, responding that of those that respond, with this one.
	seeds, responding int
	// firstIsOlder is true if the first seed responds and knows no agreement.
	firstIsOlder bool
	// age is the time since the process has started, quiet the time since it has last discovered a control host.
	age, quiet time.Duration
}

// mayPropose reports whether the host proposes bootstrap members. Only the first seed does at an undisturbed start.
func (v *bootstrapView) mayPropose() bool {
	switch {
	case v.position < 0 || v.responding < majority(v.seeds) || v.quiet < bootstrapDelay:
		return false
	case v.position == 0 && v.responding == v.seeds:
		return true
	case v.firstIsOlder:
		return v.age >= olderSeedDelay+time.Duration(v.position)*positionDelay
	}
	return v.age >= missingSeedDelay+time.Duration(v.position)*positionDelay
}
