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
// again only if the one before has not run.
func (s *Service) fetch(ctx context.Context, j *job, service string) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // The replies that are no longer needed are awaited by the pool.
	f := fetching{Service: s, ctx: ctx, j: j, service: service, exclude: map[string]bool{}, results: make(chan result, maxUnsent+j.route.Attempts)}
	budget := s.Table.Budget(service)
	budget.Limit(s.RetrySlack*j.view.Part, j.started.Before(s.BudgetsEmpty))
	budget.Sent()
	f.last = result{service: service, err: errNoTarget}
	if !f.launch() {
		return f.last
	}
	timer := s.Clock.NewTimer(s.hedgeDelay(j))
	defer timer.Stop()
	for {
		select {
		case r := <-f.results:
			if done := f.received(r, func() bool { return budget.Extra(s.RetryShare) }); done {
				f.last.attempts = f.sent
				return f.last
			}
		case <-timer.Chan():
			switch {
			case f.move():
				timer.Reset(s.hedgeDelay(j))
			case len(j.route.Shards) > 0 && f.newest.withdraw():
				// All targets of the shard are busy. The answer does without it, or the caller
				// is refused while there is time to come back: a longer queue helps nobody.
			case f.newest.state.Load() == committed && j.route.Idempotent && f.sent < j.route.Attempts && budget.Extra(s.RetryShare):
				f.launch()
			}
		case <-ctx.Done():
			f.last = result{service: service, outcome: route.TimedOut, err: ctx.Err(), ran: f.sent > 0, target: f.newest.target, attempts: f.sent}
			return f.last
		}
	}
}

// fetching is the state of a fetch.
type fetching struct {
	*Service
	ctx     context.Context
	j       *job
	service string
	exclude map[string]bool
	results chan result
	// sent counts the attempts that may have reached a target, unsent the others.
	sent, unsent, inFlight int
	newest                 *try
	last                   result
}

// try is one attempt on its way to a target.
type try struct {
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

// launch sends the request to one more target. It reports false if there is none.
func (f *fetching) launch() bool {
	t, ok := f.pick(f.j, f.service, f.exclude)
	if ok {
		f.start(t)
	}
	return ok
}

// move gives up the newest attempt, of which nothing has left this host, for another
// target; that costs no budget. Without another target the attempt goes on waiting.
func (f *fetching) move() bool {
	if f.newest.state.Load() != waiting || f.unsent >= maxUnsent {
		return false
	}
	t, ok := f.pick(f.j, f.service, f.exclude)
	if !ok || !f.newest.withdraw() {
		return false
	}
	f.sent--
	f.unsent++
	f.start(t)
	return true
}

// start sends the request to a target.
func (f *fetching) start(t *control.Target) {
	ctx, cancel := context.WithCancel(f.ctx)
	y := &try{target: t, cancel: cancel}
	f.exclude[t.Name] = true
	f.newest = y
	f.sent++
	f.inFlight++
	go func() {
		defer cancel()
		f.results <- f.attempt(ctx, f.j, y)
	}()
}

// received takes the end of an attempt. It reports whether the fetch is over.
func (f *fetching) received(r result, budget func() bool) bool {
	f.inFlight--
	if r.withdrawn {
		f.keep(r)
		return f.inFlight == 0
	}
	if r.outcome == route.Success {
		f.last = r
		return true
	}
	f.keep(r)
	if !reached(&r) {
		f.sent--
		f.unsent++
	}
	if f.mayRepeat(&r) && (!reached(&r) || budget()) && f.launch() {
		return false
	}
	return f.inFlight == 0
}

// keep remembers the result that says most: what ran before what did not, and a
// reply before its absence.
func (f *fetching) keep(r result) {
	if f.last.target == nil || r.ran && !f.last.ran || r.ran == f.last.ran && r.response != nil {
		f.last = r
	}
}

func (f *fetching) mayRepeat(r *result) bool {
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
func (s *Service) pick(j *job, service string, exclude map[string]bool) (*control.Target, bool) {
	now := s.Clock.Now()
	version, all := s.version(j, service)
	choose := func(allow func(*control.Target) bool) (*control.Target, bool) {
		return s.Table.Pick(now, route.Choice{
			Service: service, Replicas: j.view.Targets[service], Exclude: exclude, NoProbe: !j.route.Idempotent,
			Avoid: func(t *control.Target) bool { return j.view.Spare[t.Name] },
			Allow: func(t *control.Target) bool { return !j.view.Out[t.Centre] && s.Pool.HasShare(t) && allow(t) },
		})
	}
	warm := func(t *control.Target) bool {
		return t.State == control.Warm && (all || (t.Version == j.view.Moves[service].Version) == version)
	}
	if t, ok := choose(warm); ok {
		return t, true
	}
	t, ok := choose(func(t *control.Target) bool { return t.State == control.Cold && s.cold.room(now, j.view, t) })
	if ok {
		s.cold.take(now, t)
	}
	return t, ok
}

// version draws whether the request goes to the new version of a service that is
// being moved. All versions do if there is no move.
func (s *Service) version(j *job, service string) (wantNew, all bool) {
	m, ok := j.view.Moves[service]
	if !ok {
		return false, true
	}
	return rand.Float64() < m.Share, false
}
