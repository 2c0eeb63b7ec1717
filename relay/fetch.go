package relay

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"wasabirelay/control"
	"wasabirelay/rank"
	"wasabirelay/route"
)

// fetch gets a reply from one target of a service. It hedges and retries idempotent requests
// within the maximum number of attempts of the route and the budget; other requests are retried
// only if the previous attempt was not executed. Its methods handle events; they run on the
// goroutine of the fetch group that the fetch belongs to.
type fetch struct {
	*fetchGroup
	service string
	budget  *route.Budget
	// attempts holds all attempts so far, the newest last.
	attempts []*attempt
	// sent counts the attempts that may have reached a target, unsent the others.
	sent, unsent, inFlight int
	// hedgeAt is the time at which the newest attempt counts as slow; zero if that would have
	// no further effect.
	hedgeAt time.Time
	// resend decides whether the request is sent again to targets that have refused it.
	resend resend
	// omitted is true if the response omits the shard unless an attempt in flight succeeds.
	omitted bool
	// done is true if last is the final result of the fetch.
	done bool
	last result
}

// attempt is one attempt to send the request to a target.
type attempt struct {
	cancellation
	fetch  *fetch
	target *control.Target
	state  atomic.Int32
	// sent is the age of the request at which the first byte was about to be sent; 0 before.
	sent atomic.Int64
	// extra is the reserved part of the budget; nil for the first attempt and those that replace it
	// because nothing was sent.
	extra *route.Extra
	// terms is what the attempt competes for room with.
	terms rank.Terms
	// ended is true once the fetch has handled the result.
	ended bool
	// hedge is the delay after which the attempt is hedged; 0 stands for that of the request.
	hedge time.Duration
}

// States of an attempt.
const (
	waiting   = iota // for a slot or a connection
	committed        // the first byte is about to be sent
	withdrawn
)

// withdraw cancels the attempt if nothing has been sent. It reports whether it did.
func (a *attempt) withdraw() bool {
	if !a.state.CompareAndSwap(waiting, withdrawn) {
		return false
	}
	a.end()
	return true
}

// commit is called directly before the first byte is sent. If it returns an error, nothing may
// be sent.
func (a *attempt) commit() error {
	if a.fetch.Declared.Refuses(a.fetch.Clock.Now(), a.target) {
		return errHeldBack
	}
	if !a.state.CompareAndSwap(waiting, committed) {
		return errWithdrawn
	}
	a.extra.Sent(a.fetch.Clock.Now())
	age := a.fetch.recordProgress()
	a.sent.Store(age)
	a.fetch.j.usage.recordSent(time.Duration(age))
	return nil
}

// passExtra returns the reserved part of the budget for the attempt that replaces this one, of which
// nothing has been sent and nothing will be.
func (a *attempt) passExtra() *route.Extra {
	extra := a.extra
	a.extra = nil
	return extra
}

// returnExtra returns the reserved part of the budget unless something was sent or still will be.
func (a *attempt) returnExtra() {
	if a.withdraw() || a.state.Load() == withdrawn {
		a.extra.Return()
	}
}

// sinceSent returns the time since the first byte was about to be sent, or since the attempt was
// started if nothing was sent.
func (a *attempt) sinceSent(now, started time.Time) time.Duration {
	if sent := a.sent.Load(); sent > 0 {
		started = a.fetch.j.started.Add(time.Duration(sent))
	}
	return now.Sub(started)
}

// begin starts the first attempt.
func (f *fetch) begin(now time.Time) {
	f.budget = f.Table.Budget(f.service)
	f.budget.SetCapacity(now, f.RetrySlack*f.j.view.slackShare(f.service, now), f.RetryWindow, f.j.started.Before(f.BudgetsEmptyUntil))
	f.budget.CountFirst()
	f.last = result{service: f.service, err: errNoTarget}
	if !f.startNext(nil) {
		f.finish()
		return
	}
	f.hedgeAt = now.Add(f.newest().hedge)
}

// handleSlow handles an attempt that has no reply after the hedge delay.
func (f *fetch) handleSlow(now time.Time) {
	if t := f.resend.take(); t != nil {
		f.hedgeAt = time.Time{}
		f.startResend(now, t)
		return
	}
	newest := f.newest()
	if due := f.slowAt(newest); now.Before(due) {
		f.hedgeAt = due
		return
	}
	f.hedgeAt = time.Time{}
	switch {
	case f.reassign():
		f.hedgeAt = now.Add(f.newest().hedge)
	case len(f.j.route.Shards) > 0 && f.canOmitOne() && newest.withdraw():
		// All targets of the shard are busy. The response omits the shard: a longer queue would
		// only add delay.
		f.omit()
	case newest.state.Load() == waiting:
		f.hedgeAt = now.Add(f.hedge) // another target may have room by then
	case newest.state.Load() == committed && f.j.route.Idempotent && f.sent < f.j.route.Attempts:
		if !f.dropsHedge() {
			f.startExtra(causeHedge)
		}
	}
}

// handleResult handles the result of an attempt.
func (f *fetch) handleResult(r *result) {
	f.inFlight--
	r.attempt.ended = true
	switch {
	case r.withdrawn:
		f.keepBest(r)
	case r.outcome == route.Success:
		f.last = *r
		f.finish()
		return
	default:
		f.keepBest(r)
		if !reached(r) {
			f.sent--
			f.unsent++
		}
		if f.mayRetry(r) && f.startAfter(r) {
			return
		}
		if refusedUnrun(r) && f.inFlight == 0 && f.declaredWait(f.j.view)(r.target) < f.hedge && f.resend.schedule(r.target) {
			f.hedgeAt = f.Clock.Now().Add(resendDelay(f.hedge))
			return
		}
	}
	if f.inFlight == 0 {
		f.finish()
	}
}

// timeOut ends a fetch whose request has reached its deadline.
func (f *fetch) timeOut() {
	f.last = result{
		service: f.service, outcome: route.TimedOut, err: f.ctx.Err(), ran: f.abandon(), target: f.newest().target,
	}
	f.finish()
}

// abandon withdraws the attempts of which nothing has been sent. It reports whether a target may
// have executed the request.
func (f *fetch) abandon() (ran bool) {
	ran = f.last.ran
	for _, a := range f.attempts {
		if !a.ended && !a.withdraw() && a.state.Load() == committed {
			ran = true
		}
	}
	return ran
}

// finish ends the fetch and cancels the attempts in flight; the pool waits for their replies.
func (f *fetch) finish() {
	f.done, f.hedgeAt = true, time.Time{}
	f.last.attempts = f.sent + f.resend.count
	for _, a := range f.attempts {
		a.end()
	}
}

func (f *fetch) newest() *attempt { return f.attempts[len(f.attempts)-1] }

// reserveExtra takes one extra request from the budget, or returns nil if that doesn't allow it.
func (f *fetch) reserveExtra(c repeatCause) *route.Extra {
	extra := f.budget.Reserve(f.Clock.Now(), f.RetryShare)
	f.Metrics.repeat(c, extra != nil)
	return extra
}

// startExtra starts an attempt at another target within the budget. It reports whether it did.
func (f *fetch) startExtra(c repeatCause) bool {
	extra := f.reserveExtra(c)
	if extra == nil {
		return false
	}
	if f.startNext(extra) {
		return true
	}
	extra.Return()
	return false
}

// startAfter starts an attempt at another target after a result. It reports whether it did. An attempt
// that replaces one of which nothing was sent takes nothing more from the budget.
func (f *fetch) startAfter(r *result) bool {
	if reached(r) {
		return f.startExtra(causeRetry)
	}
	t, ok := f.pick()
	if !ok {
		return false
	}
	var extra *route.Extra
	if r.attempt.withdraw() {
		extra = r.attempt.passExtra()
	}
	f.start(t, extra)
	return true
}

// startNext starts an attempt at another target. It reports whether there is one.
func (f *fetch) startNext(extra *route.Extra) bool {
	t, ok := f.pick()
	if ok {
		f.start(t, extra)
	}
	return ok
}

// reassign replaces the newest attempt by one at another target if nothing has been sent; this
// takes nothing from the budget. Without another target the attempt continues to wait. It
// reports whether it replaced the attempt.
func (f *fetch) reassign() bool {
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
	f.start(t, newest.passExtra())
	return true
}

// start starts an attempt at a target.
func (f *fetch) start(t *control.Target, extra *route.Extra) {
	a := &attempt{fetch: f, target: t, extra: extra, terms: f.attemptTerms(), hedge: f.hedgeOf(t)}
	a.parent = f.ctx
	f.attempts = append(f.attempts, a)
	f.sent++
	f.inFlight++
	f.attemptWorkers().start(a)
}

// startResend sends the request again to a target that has refused it. The refused attempt does not
// count any more, so that the request is sent to no more targets than its route allows.
func (f *fetch) startResend(now time.Time, t *control.Target) {
	if f.ctx.Err() != nil || f.refusedFor(f.j, f.service) > 0 || !f.Declared.Take(now, t, f.j.view.division(f.service)) {
		f.finish()
		return
	}
	extra := f.reserveExtra(causeResend)
	if extra == nil {
		f.finish()
		return
	}
	f.sent--
	f.resend.count++
	f.start(t, extra)
	f.hedgeAt = now.Add(f.hedge)
}

// keepBest keeps the most informative result: one that may have been executed takes precedence
// over one that has not, and a reply over a missing one.
func (f *fetch) keepBest(r *result) {
	if f.last.target == nil || r.ran && !f.last.ran || r.ran == f.last.ran && r.response != nil {
		f.last = *r
	}
}

func (f *fetch) mayRetry(r *result) bool {
	if f.ctx.Err() != nil || f.unsent >= maxUnsent {
		return false
	}
	return f.sent < f.j.route.Attempts && (f.j.route.Idempotent || !r.ran)
}

// reached reports whether the request may have reached the target.
func reached(r *result) bool { return r.ran || r.response != nil }

// hedgeOf returns the delay after which an attempt at the target is hedged: that of the request or, if
// the target rarely takes so long, the time that it may take. One that is fast and has stopped is hedged
// sooner than one that is slow, if another target is expected to be faster.
func (f *fetch) hedgeOf(t *control.Target) time.Duration {
	if !f.hedgeByTarget {
		return f.hedge
	}
	c := route.Choice{Replicas: f.j.view.Targets[f.service], Work: f.work, Hosts: hostsOf(f.j.view.division(f.service))}
	if bound := f.Table.HedgeBound(f.Clock.Now(), t, c); bound > 0 {
		return min(max(bound, f.j.ofObjective(minHedge)), f.hedge)
	}
	return f.hedge
}

// hedgeDelay returns the delay after which a request is hedged. It reports whether the delay is learned:
// it isn't if the whole service is slow, when more hedges would only add load.
func (s *Service) hedgeDelay(j *job, work route.Work) (delay time.Duration, learned bool) {
	ofRoute, ok := s.Table.HedgeAfter(s.Clock.Now(), j.route.Name, hedgeQuantile)
	switch {
	case ofRoute == 0:
		return j.ofObjective(defaultHedge), false
	case !ok:
		return j.ofObjective(maxHedge), false
	}
	return min(max(work.HedgeDelay(ofRoute), j.ofObjective(minHedge)), j.ofObjective(maxHedge)), true
}

// pick selects the target for the next attempt. It reports false if there is none.
func (f *fetch) pick() (*control.Target, bool) {
	if f.refusedFor(f.j, f.service) > 0 {
		return nil, false
	}
	now, v := f.Clock.Now(), f.j.view
	version, all := f.drawVersion()
	division := v.division(f.service)
	choice := route.Choice{
		Service: f.service, Replicas: v.Targets[f.service], Exclude: f.triedTargets(), NoProbe: !f.j.route.Idempotent,
		Avoid: func(t *control.Target) bool { return v.Avoid[t.Name] || !f.Pool.HasRoom(t) },
		Work:  f.work, Urgent: len(f.attempts) > 0, Within: f.j.deadline.Sub(now),
		Hosts: hostsOf(division),
	}
	choose := func(allow func(*control.Target) bool) (*control.Target, bool) {
		choice.Allow = func(t *control.Target) bool {
			if !allow(t) || v.Out[t.Centre] || !f.Pool.HasShare(t) {
				return false
			}
			held := f.Declared.Wait(now, t, division) > 0
			if held {
				f.Metrics.holdBack(f.Declared.Reason(now, t))
			}
			return !held
		}
		return f.Table.Pick(now, choice)
	}
	// Between the choice of a target and take, another request may have used the allowance.
	pickOne := func(allow func(*control.Target) bool, take func(*control.Target) bool) (*control.Target, bool) {
		for {
			t, ok := choose(allow)
			if !ok || take(t) {
				return t, ok
			}
		}
	}
	t, ok := pickOne(func(t *control.Target) bool {
		return t.State == control.Warm && (all || (t.Version == v.Moves[f.service].Version) == version)
	}, func(t *control.Target) bool { return f.Declared.Take(now, t, division) })
	if ok {
		return t, true
	}
	return pickOne(func(t *control.Target) bool {
		return t.State == control.Cold && f.cold.allows(now, v, t)
	}, func(t *control.Target) bool { return f.cold.take(now, v, t) && f.Declared.Take(now, t, division) })
}

// triedTargets returns the names of the targets of all attempts, or nil if there are none.
func (f *fetch) triedTargets() map[string]bool {
	if len(f.attempts) == 0 {
		return nil
	}
	names := make(map[string]bool, len(f.attempts))
	for _, a := range f.attempts {
		names[a.target.Name] = true
	}
	return names
}

// drawVersion randomly decides whether the request goes to the new version of a service during
// a version move. Without a move, all is true and targets of any version are eligible.
func (f *fetch) drawVersion() (wantNew, all bool) {
	m, ok := f.j.view.Moves[f.service]
	if !ok {
		return false, true
	}
	return rand.Float64() < m.Share, false
}
