// Package control is the replicated state machine of wasabirelay. It is
// deterministic: control replicas and entry hosts that apply the same commands
// hold the same state. Claims are the exception: only control replicas hold them.
package control

import (
	"time"

	"wasabirelay/inventory"
)

// State is the control state. The zero value is the empty state. It is not safe
// for concurrent use: one goroutine owns it and publishes views.
type State struct {
	index uint64
	// clock is the largest At of the commands that entry hosts apply. Claims have
	// their own clock, because entry hosts do not see the times of claims.
	clock      time.Time
	claimClock time.Time

	accepted    AcceptedInventory
	acceptedSum uint64
	document    *inventory.Document

	// changes holds the outcomes of changes by identity; changeOrder is their age.
	changes     table[changeOutcome]
	changeOrder []string

	targets    table[*Target]
	histories  table[[]incarnation]
	departures []departure
	known      table[map[uint64]int]

	grants   table[map[string]grant]
	nextEnd  time.Time
	suspects table[suspect]
	nextHold time.Time
	moves    table[MoveRecord]
	// routing, out and moves are the shared part, revision the index of its last
	// change.
	routing    Routing
	routingSum uint64
	out        table[bool]
	revision   uint64
	since      table[time.Time]

	claims     map[string]claim
	claimOrder []string

	cache sections
}

// Bounds of the time of a command. Times outside have no exact form in a
// snapshot once a term is added, so they do not advance the clock.
var (
	earliest = time.Unix(0, 0).UTC()
	latest   = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Apply applies the command at the log index. Indexes increase. A refused
// command changes nothing but the time.
func (s *State) Apply(index uint64, c Command) Result {
	s.index = index
	r := Result{Index: index, Version: s.accepted.Version}
	switch {
	case c.count() > 1:
		r.Refusal = &Refusal{Kind: Invalid, Detail: "a command has one part"}
	case c.Claim != nil || c.Finish != nil:
		s.claimClock = later(s.claimClock, c.At)
		s.expireClaims()
		s.applyClaim(&c, &r)
	default:
		s.clock = later(s.clock, c.At)
		s.claimClock = later(s.claimClock, c.At)
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
		r.Refusal = s.suspectAll([]SuspectRequest{*c.Suspect})
	case len(c.Suspects) > 0:
		r.Refusal = s.suspectAll(c.Suspects)
	case c.Move != nil:
		*r = s.stepMove(c.Move)
	case c.Routing != nil:
		r.Refusal = s.applyRouting(c.Routing)
	case c.Evacuate != nil:
		r.Refusal = s.evacuate(c.Evacuate)
	case c.Begin != nil:
		r.Refusal = s.beginMove(c.Begin)
	}
}

// Advance sets the index of the last command without applying one. An entry host
// uses it for commands that it does not get.
func (s *State) Advance(index uint64) { s.index = max(s.index, index) }

// Index returns the index of the last command.
func (s *State) Index() uint64 { return s.index }

// Feed returns the part of a command that entry hosts apply. It is false for
// claims and finishes: for those only the index is advanced.
func Feed(c Command) (Command, bool) {
	if c.Claim != nil || c.Finish != nil {
		return Command{}, false
	}
	return c, true
}

// count returns the number of parts that are set.
func (c *Command) count() int {
	n := 0
	for _, set := range []bool{
		c.Inventory != nil, c.Announce != nil, c.Leave != nil, c.Claim != nil, c.Finish != nil,
		c.Grant != nil, c.Release != nil, c.Suspect != nil, len(c.Suspects) > 0, c.Move != nil,
		c.Routing != nil, c.Evacuate != nil, c.Begin != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// expire removes what has ended at the current time.
func (s *State) expire() {
	s.expireGrants()
	s.expireSuspects()
	s.expireHistories()
	s.expireClaims()
}

// later returns the later time, in the form that it has after a snapshot.
func later(now, at time.Time) time.Time {
	at = at.Round(0).UTC()
	if at.Before(earliest) || at.After(latest) || !at.After(now) {
		return now
	}
	return at
}
