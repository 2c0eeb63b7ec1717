package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"wasabirelay/control"
	"wasabirelay/route"
)

// fetch gets the reply of one target of a service. It hedges and retries idempotent
// requests within the attempts of the route and the budget; other requests are sent
// again only if the one before has not run. Its methods take events; they run on the
// goroutine of the gathering that the fetch belongs to.
type fetch struct {
	*gathering
	service string
	budget  *route.Budget
	// tries are all attempts so far, the newest last.
	tries []*try
	// sent counts the attempts that may have reached a target, unsent the others.
	sent, unsent, inFlight int
	// due is when the newest attempt has taken long enough for a hedge; zero if that
	// changes nothing any more.
	due time.Time
	// over states that last is the end of the fetch.
	over bool
	last result
}

// try is one attempt on its way to a target.
type try struct {
	fetch  *fetch
	target *control.Target
	cancel context.CancelFunc
	state  atomic.Int32
}

// States of a try.
const (
	waiting   = iota // for room or for a connection
	committed        // the first byte is about to leave
	withdrawn
)

// withdraw ends the try if nothing of it has left this host.
func (y *try) withdraw() bool {
	if !y.state.CompareAndSwap(waiting, withdrawn) {
		return false
	}
	y.cancel()
	return true
}

// commit is called directly before the first byte is sent. The error says that
// nothing may be sent.
func (y *try) commit() error {
	if !y.state.CompareAndSwap(waiting, committed) {
		return errWithdrawn
	}
	return nil
}

// begin sends the first request.
func (f *fetch) begin(now time.Time) {
	f.budget = f.Table.Budget(f.service)
	f.budget.SetCapacity(f.RetrySlack*f.j.view.Share, f.j.started.Before(f.BudgetsEmptyUntil))
	f.budget.CountFirst()
	f.last = result{service: f.service, err: errNoTarget}
	if !f.launch() {
		f.end()
		return
	}
	f.due = now.Add(f.hedge)
}

// overdue handles that the newest attempt takes long.
func (f *fetch) overdue(now time.Time) {
	f.due = time.Time{}
	newest := f.newest()
	switch {
	case f.move():
		f.due = now.Add(f.hedge)
	case len(f.j.route.Shards) > 0 && newest.withdraw():
		// All targets of the shard are busy. The answer does without it, or the caller
		// is refused while there is time to come back: a longer queue helps nobody.
	case newest.state.Load() == committed && f.j.route.Idempotent && f.sent < f.j.route.Attempts && f.extra():
		f.launch()
	}
}

// received handles the end of an attempt.
func (f *fetch) received(r *result) {
	f.inFlight--
	switch {
	case r.withdrawn:
		f.keep(r)
	case r.outcome == route.Success:
		f.last = *r
		f.end()
		return
	default:
		f.keep(r)
		if !reached(r) {
			f.sent--
			f.unsent++
		}
		if f.mayRepeat(r) && (!reached(r) || f.extra()) && f.launch() {
			return
		}
	}
	if f.inFlight == 0 {
		f.end()
	}
}

// expired is the end of a fetch whose time is up.
func (f *fetch) expired() {
	f.last = result{
		service: f.service, outcome: route.TimedOut, err: f.ctx.Err(), ran: f.sent > 0, target: f.newest().target,
	}
	f.end()
}

// end gives up the attempts that are still under way; the pool awaits their replies.
func (f *fetch) end() {
	f.over, f.due = true, time.Time{}
	f.last.attempts = f.sent
	for _, y := range f.tries {
		y.cancel()
	}
}

func (f *fetch) newest() *try { return f.tries[len(f.tries)-1] }

// extra takes one more request from the budget.
func (f *fetch) extra() bool { return f.budget.Spend(f.RetryShare) }

// launch sends the request to one more target. It reports false if there is none.
func (f *fetch) launch() bool {
	t, ok := f.pick()
	if ok {
		f.start(t)
	}
	return ok
}

// move gives up the newest attempt, of which nothing has left this host, for another
// target; that costs no budget. Without another target the attempt goes on waiting.
func (f *fetch) move() bool {
	newest := f.newest()
	if newest.state.Load() != waiting || f.unsent >= maxUnsent {
		return false
	}
	t, ok := f.pick()
	if !ok || !newest.withdraw() {
		return false
	}
	f.sent--
	f.unsent++
	f.start(t)
	return true
}

// start sends the request to a target.
func (f *fetch) start(t *control.Target) {
	ctx, cancel := context.WithCancel(f.ctx)
	y := &try{fetch: f, target: t, cancel: cancel}
	f.tries = append(f.tries, y)
	f.sent++
	f.inFlight++
	go f.run(ctx, y)
}

// keep remembers the result that says most: what ran before what did not, and a
// reply before its absence.
func (f *fetch) keep(r *result) {
	if f.last.target == nil || r.ran && !f.last.ran || r.ran == f.last.ran && r.response != nil {
		f.last = *r
	}
}

func (f *fetch) mayRepeat(r *result) bool {
	if f.ctx.Err() != nil || f.unsent >= maxUnsent {
		return false
	}
	return f.sent < f.j.route.Attempts && (f.j.route.Idempotent || !r.ran)
}

// reached reports whether the request may have arrived at the target.
func reached(r *result) bool { return r.ran || r.response != nil }

// hedgeDelay is after which time a request is hedged.
func (s *Service) hedgeDelay(j *job) time.Duration {
	part := func(share float64) time.Duration { return time.Duration(share * float64(j.route.Objective)) }
	learned, ok := s.Table.HedgeAfter(s.Clock.Now(), j.route.Name, hedgeQuantile)
	switch {
	case learned == 0:
		return part(firstHedge)
	case !ok:
		return part(lastHedge)
	}
	return min(max(learned, part(leastHedge)), part(lastHedge))
}

// pick chooses the target for the next attempt.
func (f *fetch) pick() (*control.Target, bool) {
	now, v := f.Clock.Now(), f.j.view
	version, all := f.version()
	choice := route.Choice{
		Service: f.service, Replicas: v.Targets[f.service], Exclude: f.tried(), NoProbe: !f.j.route.Idempotent,
		Avoid: func(t *control.Target) bool { return v.Avoid[t.Name] || !f.Pool.HasRoom(t) },
	}
	choose := func(allow func(*control.Target) bool) (*control.Target, bool) {
		choice.Allow = func(t *control.Target) bool { return allow(t) && !v.Out[t.Centre] && f.Pool.HasShare(t) }
		return f.Table.Pick(now, choice)
	}
	t, ok := choose(func(t *control.Target) bool {
		return t.State == control.Warm && (all || (t.Version == v.Moves[f.service].Version) == version)
	})
	if ok {
		return t, true
	}
	t, ok = choose(func(t *control.Target) bool { return t.State == control.Cold && f.cold.room(now, v, t) })
	if ok {
		f.cold.take(now, t)
	}
	return t, ok
}

// tried returns the names of the targets that were tried, nil if there are none.
func (f *fetch) tried() map[string]bool {
	if len(f.tries) == 0 {
		return nil
	}
	names := make(map[string]bool, len(f.tries))
	for _, y := range f.tries {
		names[y.target.Name] = true
	}
	return names
}

// version draws whether the request goes to the new version of a service that is
// being moved. All versions do if there is no move.
func (f *fetch) version() (wantNew, all bool) {
	m, ok := f.j.view.Moves[f.service]
	if !ok {
		return false, true
	}
	return rand.Float64() < m.Share, false
}
