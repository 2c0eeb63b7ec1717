package answer

import (
	"encoding/json"
	"time"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// Kind is why a sub-request is sent.
type Kind string

// Values of Kind.
const (
	First Kind = "first"
	Hedge Kind = "hedge"
	Retry Kind = "retry"
)

// denial is why no sub-request was sent for an ask.
type denial string

const (
	noReplica  denial = "replica" // no replica is left that may be asked
	noBudget   denial = "budget"  // the budget of hedges and retries is used up
	noLease    denial = "lease"   // the host may not give out work
	noSuspect  denial = "suspect" // the request is suspected of crashing targets
	notDenied  denial = ""
	dropLate          = "late"
	dropDouble        = "doubled"
)

// ask tells the shell to select a replica and to send a sub-request. The shell
// answers with placed or denied.
type ask struct {
	attempt int
	shard   int
	kind    Kind
	// free states that the failed attempt cost its target no work, so that the
	// retry is no additional load and draws nothing from the budget.
	free bool
	// late states that a hedge was denied for the shard before.
	late bool
}

// step is what the shell does next.
type step struct {
	asks []ask
	// cancels are attempts whose result is no longer needed.
	cancels []int
	// lost states that a shard has no replica left.
	lost bool
}

// attempt is one sub-request of a round.
type attempt struct {
	shard  int
	kind   Kind
	target *control.Target
	// out states that it was sent and has not ended.
	out   bool
	ended bool
}

// part is the state of one shard in a round.
type part struct {
	done, lost bool
	// sent states that a byte may have reached a target.
	sent    bool
	out     int
	hedgeAt time.Time
	// late states that the hedge was postponed.
	late    bool
	result  json.RawMessage
	version string
	// tried holds the names of the targets that were asked.
	tried map[string]bool
}

// round is the state machine of one fan-out over the shards of one snapshot. It
// holds no clock and does no I/O.
type round struct {
	idempotent bool
	parts      []part
	attempts   []attempt
	settled    int
	answered   int
	sent       bool
}

func newRound(total int, idempotent bool) *round {
	return &round{idempotent: idempotent, parts: make([]part, total)}
}

// start asks for one sub-request per shard.
func (r *round) start() step {
	var s step
	for shard := range r.parts {
		r.ask(&s, shard, First, false)
	}
	return s
}

func (r *round) ask(s *step, shard int, kind Kind, free bool) {
	r.attempts = append(r.attempts, attempt{shard: shard, kind: kind})
	s.asks = append(s.asks, ask{attempt: len(r.attempts) - 1, shard: shard, kind: kind, free: free})
}

// placed records that an attempt was handed to a target. A hedge is due at
// hedgeAt unless that is zero; each shard is hedged at most once.
func (r *round) placed(id int, t *control.Target, hedgeAt time.Time) {
	a := &r.attempts[id]
	p := &r.parts[a.shard]
	a.target, a.out = t, true
	p.out++
	if p.tried == nil {
		p.tried = map[string]bool{}
	}
	p.tried[t.Name] = true
	if a.kind != Hedge && r.idempotent {
		p.hedgeAt = hedgeAt
	}
}

// denied records that no sub-request was sent for an ask.
func (r *round) denied(id int, why denial) step {
	a := &r.attempts[id]
	a.ended = true
	p := &r.parts[a.shard]
	if p.done || p.out > 0 {
		return step{}
	}
	return r.lose(p, why)
}

func (r *round) lose(p *part, why denial) step {
	p.lost = true
	r.settled++
	return step{lost: why == noReplica}
}

// failed records that an attempt ended without an accepted reply. sent states
// that a byte may have left, free that the target did no work for it.
func (r *round) failed(id int, sent, free bool) step {
	a := &r.attempts[id]
	if !r.end(a) {
		return step{}
	}
	p := &r.parts[a.shard]
	p.sent = p.sent || sent
	r.sent = r.sent || sent
	var s step
	switch {
	case p.done || p.lost || p.out > 0:
	case !r.idempotent && p.sent:
		s = r.lose(p, notDenied)
	default:
		r.ask(&s, a.shard, Retry, free)
	}
	return s
}

// reply records a checked reply. drop is why it is not used, or empty.
func (r *round) reply(id int, result json.RawMessage) (s step, drop string) {
	a := &r.attempts[id]
	if !r.end(a) {
		return s, dropDouble
	}
	p := &r.parts[a.shard]
	if p.done || p.lost {
		return s, dropLate
	}
	p.done, p.result, p.version = true, result, a.target.Version
	r.settled++
	r.answered++
	for i := range r.attempts {
		if o := &r.attempts[i]; o.out && o.shard == a.shard {
			s.cancels = append(s.cancels, i)
		}
	}
	return s, ""
}

// end marks an attempt as ended and reports whether it was out.
func (r *round) end(a *attempt) bool {
	if !a.out {
		return false
	}
	a.out, a.ended = false, true
	r.parts[a.shard].out--
	return true
}

// tick asks for the hedges that are due.
func (r *round) tick(now time.Time) step {
	var s step
	for shard := range r.parts {
		p := &r.parts[shard]
		if p.waiting() && !now.Before(p.hedgeAt) {
			p.hedgeAt = time.Time{}
			r.ask(&s, shard, Hedge, false)
			s.asks[len(s.asks)-1].late = p.late
		}
	}
	return s
}

// postpone plans a hedge that was denied for later.
func (r *round) postpone(shard int, at time.Time) {
	p := &r.parts[shard]
	p.late, p.hedgeAt = true, at
}

// waiting reports whether a hedge is due at hedgeAt.
func (p *part) waiting() bool { return !p.done && !p.lost && p.out == 1 && !p.hedgeAt.IsZero() }

// wake returns when tick is due, or zero.
func (r *round) wake() time.Time {
	var at time.Time
	for i := range r.parts {
		if p := &r.parts[i]; p.waiting() && (at.IsZero() || p.hedgeAt.Before(at)) {
			at = p.hedgeAt
		}
	}
	return at
}

// outstanding returns the attempts that have not ended.
func (r *round) outstanding() []int {
	var out []int
	for i := range r.attempts {
		if r.attempts[i].out {
			out = append(out, i)
		}
	}
	return out
}

// runs reports whether an attempt for the shard is out at the target.
func (r *round) runs(shard int, name string) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out && a.shard == shard && a.target.Name == name {
			return true
		}
	}
	return false
}

// over reports whether every shard has answered or is lost.
func (r *round) over() bool { return r.settled == len(r.parts) }

// reachable is the number of shards that have answered or may still answer.
func (r *round) reachable() int { return len(r.parts) - r.settled + r.answered }

// executed states what is known about the execution. An attempt that is out may
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

// coverage returns the coverage and the results in shard order. version is empty
// if versions differ.
func (r *round) coverage() (c Coverage, shards []Shard, version string) {
	c = Coverage{Answered: r.answered, Total: len(r.parts), Missing: []int{}}
	shards = []Shard{}
	mixed := false
	for i := range r.parts {
		p := &r.parts[i]
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
