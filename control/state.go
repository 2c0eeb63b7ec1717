// Package control is the replicated state machine of wasabirelay. It is deterministic:
// control replicas and entry hosts that apply the same commands have the same state. The
// exception are claims, which only control replicas store. The state without claims is
// called the shared state.
package control

import (
	"time"

	"wasabirelay/inventory"
)

// State is the control state. The zero value is the empty state. It is not safe for
// concurrent use: one goroutine owns it and publishes views.
type State struct {
	index uint64
	// clock is the latest At of the commands that entry hosts apply. Claims have their own
	// clock, because entry hosts do not get the commands for claims and their times.
	clock      time.Time
	claimClock time.Time

	accepted    AcceptedInventory
	acceptedSum uint64
	document    *inventory.Document

	// changes holds the outcomes of changes by identity; changeOrder lists the identities,
	// oldest first.
	changes     table[changeOutcome]
	changeOrder []string

	targets     table[*Target]
	histories   table[[]incarnation]
	departures  []departure
	shardCounts table[map[uint64]int]

	grants         table[map[string]grant]
	nextGrantEnd   time.Time
	suspects       table[suspect]
	nextSuspectEnd time.Time
	moves          table[MoveRecord]
	// routing, evacuated and moves make up RoutingState; revision is the index of the last
	// command that changed one of them.
	routing        Routing
	routingSum     uint64
	evacuated      table[bool]
	revision       uint64
	conditionSince table[time.Time]

	duties map[string]Duty

	claims     map[string]claim
	claimOrder []string

	cache viewCache
}

// Limits of the time of a command. Times outside of them do not advance the clock, because
// a snapshot may have no exact form of their sum with a term.
var (
	minTime = time.Unix(0, 0).UTC()
	maxTime = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Apply applies the command at the log index. Each index must be larger than the previous
// one. A refused command changes only the index and the time, which may end terms. If it is
// an operator's change, its outcome is stored as well.
func (s *State) Apply(index uint64, c Command) Result {
	s.index = index
	r := Result{Index: index, Version: s.accepted.Version}
	switch {
	case c.countParts() > 1:
		r.Refusal = &Refusal{Kind: Invalid, Detail: "a command has one part"}
	case c.Claim != nil || c.Finish != nil:
		s.claimClock = laterTime(s.claimClock, c.At)
		s.expireClaims()
		s.applyClaim(&c, &r)
	default:
		s.clock = laterTime(s.clock, c.At)
		s.claimClock = laterTime(s.claimClock, c.At)
		s.expire()
		s.applyShared(&c, &r)
	}
	return r
}

func (s *State) applyClaim(c *Command, r *Result) {
	if c.Claim != nil {
		r.Refusal = s.claim(c.Claim, r)
	} else {
		r.Refusal = s.finish(c.Finish, r)
	}
}

func (s *State) applyShared(c *Command, r *Result) {
	switch {
	case c.Inventory != nil:
		*r = s.applyInventory(c.Inventory)
	case c.Announce != nil:
		r.Refusal = s.announce(c.Announce, r)
	case c.Leave != nil:
		r.Refusal = s.leave(c.Leave)
	case c.Grant != nil:
		r.Refusal = s.acquire(c.Grant, r)
	case c.Release != nil:
		r.Refusal = s.release(c.Release)
	case c.Suspect != nil:
		r.Refusal = s.applySuspects([]SuspectRequest{*c.Suspect})
	case len(c.Suspects) > 0:
		r.Refusal = s.applySuspects(c.Suspects)
	case c.Move != nil:
		*r = s.stepMove(c.Move)
	case c.Routing != nil:
		r.Refusal = s.applyRouting(c.Routing)
	case c.Evacuate != nil:
		r.Refusal = s.evacuate(c.Evacuate)
	case c.Begin != nil:
		r.Refusal = s.beginMove(c.Begin)
	case c.Duty != nil:
		r.Refusal = s.stepDuty(c.Duty)
	}
}

// Advance sets the index of the last command without applying one. Entry hosts call it for
// commands that they do not get.
func (s *State) Advance(index uint64) { s.index = max(s.index, index) }

// Index returns the index of the last command.
func (s *State) Index() uint64 { return s.index }

// Feed returns the command that entry hosts apply. The result is false for commands about
// claims, for which entry hosts only advance the index. Of a step of a duty, whose state entry hosts
// don't have, only the time is left.
func Feed(c Command) (Command, bool) {
	if c.Claim != nil || c.Finish != nil {
		return Command{}, false
	}
	c.Duty = nil
	return c, true
}

// countParts returns the number of fields besides At that are set.
func (c *Command) countParts() int {
	n := 0
	for _, set := range []bool{
		c.Inventory != nil, c.Announce != nil, c.Leave != nil, c.Claim != nil, c.Finish != nil,
		c.Grant != nil, c.Release != nil, c.Suspect != nil, len(c.Suspects) > 0, c.Move != nil,
		c.Routing != nil, c.Evacuate != nil, c.Begin != nil, c.Duty != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// expire removes everything whose term has ended by the current time.
func (s *State) expire() {
	s.expireGrants()
	s.expireSuspects()
	s.expireHistories()
	s.expireClaims()
}

// laterTime returns the later of the two times, in the form that it has after a restore. It
// ignores a time outside of the limits.
func laterTime(now, at time.Time) time.Time {
	at = at.Round(0).UTC()
	if at.Before(minTime) || at.After(maxTime) || !at.After(now) {
		return now
	}
	return at
}
