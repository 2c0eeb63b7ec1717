package answer

import (
	"encoding/json"
	"time"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// Kind is the reason for which a sub-request is sent.
type Kind string

// Values of Kind.
const (
	First Kind = "first"
	Hedge Kind = "hedge"
	Retry Kind = "retry"
)

// denialReason is the reason for which no sub-request was sent for a dispatch.
type denialReason string

const (
	deniedNoReplica denialReason = "replica" // no replica is left that may get the sub-request
	deniedNoBudget  denialReason = "budget"  // the budget of hedges and retries is exhausted
	deniedNoLease   denialReason = "lease"   // the host holds no lease
	deniedSuspect   denialReason = "suspect" // the request is suspected of crashing targets
	notDenied       denialReason = ""
	dropLate                     = "late"
	dropDuplicate                = "doubled"
)

// dispatch instructs the caller of round to select a replica and send a sub-request. The
// caller reports the result with started or denied.
type dispatch struct {
	attempt int
	shard   int
	kind    Kind
	// budgetExempt is true if the failed attempt caused its target no work, so that the retry
	// adds no load and is not taken from the budget.
	budgetExempt bool
	// postponed is true if an earlier hedge for the shard was denied.
	postponed bool
}

// actions is what the caller of round does next.
type actions struct {
	dispatches []dispatch
	// cancels holds the attempts whose results are no longer needed.
	cancels []int
	// lost is true if a shard has no replica left.
	lost bool
}

// attempt is one sub-request of a round.
type attempt struct {
	shard  int
	kind   Kind
	target *control.Target
	// live is true from the start of the sub-request to its end.
	live  bool
	ended bool
}

// shardState is the state of one shard in a round.
type shardState struct {
	done, lost bool
	// sent is true if a byte may have reached a target.
	sent bool
	// live is the number of live attempts for the shard.
	live    int
	hedgeAt time.Time
	// postponed is true if the hedge was postponed.
	postponed bool
	result    json.RawMessage
	version   string
	// tried holds the names of the targets that got a sub-request for the shard.
	tried map[string]bool
}

// round is the state machine of one fan-out to the shards of one snapshot. It has no clock and
// does no I/O.
type round struct {
	idempotent  bool
	shardStates []shardState
	attempts    []attempt
	settled     int
	answered    int
	sent        bool
}

func newRound(total int, idempotent bool) *round {
	return &round{idempotent: idempotent, shardStates: make([]shardState, total)}
}

// start returns a dispatch for each shard.
func (r *round) start() actions {
	var s actions
	for shard := range r.shardStates {
		r.dispatch(&s, shard, First, false)
	}
	return s
}

// dispatch creates an attempt and adds a dispatch for it to s.
func (r *round) dispatch(s *actions, shard int, kind Kind, budgetExempt bool) {
	r.attempts = append(r.attempts, attempt{shard: shard, kind: kind})
	s.dispatches = append(s.dispatches, dispatch{attempt: len(r.attempts) - 1, shard: shard, kind: kind, budgetExempt: budgetExempt})
}

// started records that the sub-request of an attempt was started. A hedge is due at hedgeAt
// unless that is zero. Each shard is hedged at most once.
func (r *round) started(id int, t *control.Target, hedgeAt time.Time) {
	a := &r.attempts[id]
	p := &r.shardStates[a.shard]
	a.target, a.live = t, true
	p.live++
	if p.tried == nil {
		p.tried = map[string]bool{}
	}
	p.tried[t.Name] = true
	if a.kind != Hedge && r.idempotent {
		p.hedgeAt = hedgeAt
	}
}

// denied records that no sub-request was sent for an attempt.
func (r *round) denied(id int, reason denialReason) actions {
	a := &r.attempts[id]
	a.ended = true
	p := &r.shardStates[a.shard]
	if p.done || p.live > 0 {
		return actions{}
	}
	return r.markLost(p, reason)
}

// markLost records that a shard can't answer in this round.
func (r *round) markLost(p *shardState, reason denialReason) actions {
	p.lost = true
	r.settled++
	return actions{lost: reason == deniedNoReplica}
}

// failed records that an attempt ended without a valid reply. sent is true if a byte may have
// been sent, budgetExempt if the target did no work for the attempt.
func (r *round) failed(id int, sent, budgetExempt bool) actions {
	a := &r.attempts[id]
	if !r.endAttempt(a) {
		return actions{}
	}
	p := &r.shardStates[a.shard]
	p.sent = p.sent || sent
	r.sent = r.sent || sent
	var s actions
	switch {
	case p.done || p.lost || p.live > 0:
	case !r.idempotent && p.sent:
		s = r.markLost(p, notDenied)
	default:
		r.dispatch(&s, a.shard, Retry, budgetExempt)
	}
	return s
}

// replied records a validated reply. drop is the reason for which it is not used, or empty.
func (r *round) replied(id int, result json.RawMessage) (s actions, drop string) {
	a := &r.attempts[id]
	if !r.endAttempt(a) {
		return s, dropDuplicate
	}
	p := &r.shardStates[a.shard]
	if p.done || p.lost {
		return s, dropLate
	}
	p.done, p.result, p.version = true, result, a.target.Version
	r.settled++
	r.answered++
	for i := range r.attempts {
		if o := &r.attempts[i]; o.live && o.shard == a.shard {
			s.cancels = append(s.cancels, i)
		}
	}
	return s, ""
}

// endAttempt marks an attempt as ended and reports whether it was outstanding.
func (r *round) endAttempt(a *attempt) bool {
	if !a.live {
		return false
	}
	a.live, a.ended = false, true
	r.shardStates[a.shard].live--
	return true
}

// dueHedges returns dispatches for the hedges that are due.
func (r *round) dueHedges(now time.Time) actions {
	var s actions
	for shard := range r.shardStates {
		p := &r.shardStates[shard]
		if p.pending() && !now.Before(p.hedgeAt) {
			p.hedgeAt = time.Time{}
			r.dispatch(&s, shard, Hedge, false)
			s.dispatches[len(s.dispatches)-1].postponed = p.postponed
		}
	}
	return s
}

// postpone reschedules a denied hedge.
func (r *round) postpone(shard int, at time.Time) {
	p := &r.shardStates[shard]
	p.postponed, p.hedgeAt = true, at
}

// pending reports whether a hedge is scheduled for hedgeAt.
func (p *shardState) pending() bool { return !p.done && !p.lost && p.live == 1 && !p.hedgeAt.IsZero() }

// nextHedge returns the time of the next hedge, or zero if none is pending.
func (r *round) nextHedge() time.Time {
	var at time.Time
	for i := range r.shardStates {
		if p := &r.shardStates[i]; p.pending() && (at.IsZero() || p.hedgeAt.Before(at)) {
			at = p.hedgeAt
		}
	}
	return at
}

// outstanding returns the attempts that were started and have not ended.
func (r *round) outstanding() []int {
	var live []int
	for i := range r.attempts {
		if r.attempts[i].live {
			live = append(live, i)
		}
	}
	return live
}

// isLiveAt reports whether the target has an outstanding attempt for the shard.
func (r *round) isLiveAt(shard int, name string) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.live && a.shard == shard && a.target.Name == name {
			return true
		}
	}
	return false
}

// finished reports whether every shard has answered or is lost.
func (r *round) finished() bool { return r.settled == len(r.shardStates) }

// reachable returns the number of shards that have answered or may still answer.
func (r *round) reachable() int { return len(r.shardStates) - r.settled + r.answered }

// executed returns what is known about the execution of the query. An outstanding attempt may
// have sent a byte.
func (r *round) executed() problem.Executed {
	switch {
	case r.answered > 0:
		return problem.Ran
	case r.sent || len(r.outstanding()) > 0:
		return problem.Unknown
	default:
		return problem.None
	}
}

// coverage returns the coverage and the results in the order of the shards. version is empty if
// the versions of the targets differ.
func (r *round) coverage() (c Coverage, shards []Shard, version string) {
	c = Coverage{Answered: r.answered, Total: len(r.shardStates), Missing: []int{}}
	shards = []Shard{}
	mixed := false
	for i := range r.shardStates {
		p := &r.shardStates[i]
		if !p.done {
			c.Missing = append(c.Missing, i)
			continue
		}
		mixed = mixed || (len(shards) > 0 && version != p.version)
		version = p.version
		shards = append(shards, Shard{Shard: i, Result: p.result})
	}
	if mixed {
		version = ""
	}
	return c, shards, version
}
