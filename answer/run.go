package answer

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// maxMargin is kept back from a query's deadline for writing the answer and its
// way to the caller: the one-way latency to clients is 1 to 3 ms.
const maxMargin = 5 * time.Millisecond

const (
	// retryPart is the part of the hedge delay after which a hedge without budget is
	// tried again. With lognormal service times (sigma 0.3), the 0.99 quantile is 1.25
	// times the 0.95 quantile, so that four in five of the ordinary sub-requests above
	// the delay have ended by then.
	retryPart = 4
	// minRetry bounds how often that is done when delays are short.
	minRetry = time.Millisecond
)

// run is one query on its way. Its methods are called by one goroutine, except
// those of flight.
type run struct {
	s *Service
	q *Query
	// caller ends when the caller hangs up, ctx also at the deadline less the margin.
	caller  context.Context
	ctx     context.Context
	nonce   string
	drawn   string
	round   *round
	number  uint64
	flights []*flight
	events  chan event
	done    chan struct{}
	// skip holds the snapshots that were given up, failed the targets that do not
	// answer.
	skip     map[uint64]bool
	failed   map[string]bool
	executed problem.Executed
	asked    int
	// hedge is the delay of hedges in this round, 0 if there are none.
	hedge time.Duration
}

// event is the end of a flight.
type event struct {
	flight *flight
	result []byte
	err    *SendError
}

// newRun prepares a query.
func (s *Service) newRun(caller, ctx context.Context, q *Query) *run {
	return &run{
		s: s, q: q, caller: caller, ctx: ctx, nonce: uuid.NewString(), events: make(chan event), done: make(chan struct{}),
		skip: map[uint64]bool{}, failed: map[string]bool{}, executed: problem.None,
	}
}

// selectSnapshot draws the version and pins the snapshot. The refusal says that
// nothing was run.
func (r *run) selectSnapshot(v *control.View) (*snapshot, *problem.Details) {
	ix := r.s.index(v, r.q.Service)
	best, covered, drawn := r.choose(ix, ix.draw(r.s.RandomFloat()))
	r.drawn = drawn
	switch {
	case best == nil && len(ix.disputed()) > 0:
		return nil, problem.Unavailable("disputed", fmt.Sprintf("targets announce different shard counts of snapshots %v", ix.disputed()))
	case best == nil:
		return nil, problem.Unavailable("no-target", "no target of service "+r.q.Service+" is known")
	case !r.q.acceptsCoverage(covered, best.total):
		return nil, refuseCoverage(newRound(best.total, true), best.number, problem.None)
	}
	return best, nil
}

// choose selects a snapshot for the drawn version. A share is an upper limit: if
// the version can't answer alone, the query goes to the versions without a limit.
func (r *run) choose(ix *index, drawn string) (best *snapshot, covered int, version string) {
	best, covered = ix.choose(r.usable(ix, drawn), r.skip)
	if drawn != "" && (best == nil || covered < best.total) {
		best, covered = ix.choose(r.usable(ix, ""), r.skip)
		return best, covered, ""
	}
	return best, covered, drawn
}

// usable returns the filter for targets that may answer this query.
func (r *run) usable(ix *index, drawn string) func(*control.Target) bool {
	return func(t *control.Target) bool {
		return !r.failed[t.Name] && ix.serves(t.Version, drawn) && (!r.s.cold(t) || r.s.Granted(ix.view, t))
	}
}

// cold reports whether a target is cold or behaves as if it were.
func (s *Service) cold(t *control.Target) bool {
	return t.State == control.Cold || s.SuspectCold(s.Clock.Now(), t)
}

// fanOut runs rounds until every shard has settled or ctx ends.
func (r *run) fanOut(best *snapshot) {
	defer close(r.done)
	if ended(r.ctx) { // Admission or the claim took all the time.
		r.number, r.round = best.number, newRound(best.total, r.q.Idempotent)
		return
	}
	r.begin(best.number, best.total)
	for !r.round.over() {
		timer, stop := r.timer()
		select {
		case e := <-r.events:
			r.handle(e)
		case <-timer:
			r.do(r.round.tick(r.s.Clock.Now()))
		case <-r.ctx.Done():
			stop()
			r.abandon()
			return
		}
		stop()
	}
	r.abandon()
}

// timer returns a channel for the next hedge.
func (r *run) timer() (fire <-chan time.Time, stop func()) {
	at := r.round.wake()
	if at.IsZero() {
		return nil, func() {}
	}
	t := r.s.Clock.NewTimer(at.Sub(r.s.Clock.Now()))
	return t.Chan(), func() { t.Stop() }
}

func (r *run) begin(number uint64, total int) {
	r.number = number
	r.round = newRound(total, r.q.Idempotent)
	r.flights = nil
	r.hedge = r.hedgeDelay()
	r.do(r.round.start())
}

// do carries out a step and those that follow from it.
func (r *run) do(s step) {
	steps := []step{s}
	for len(steps) > 0 {
		s, steps = steps[0], steps[1:]
		for _, id := range s.cancels {
			r.cancel(r.flights[id])
		}
		if s.lost && r.restart() {
			return
		}
		for _, a := range s.asks {
			why := r.send(a)
			if why != notDenied {
				steps = append(steps, r.round.denied(a.attempt, why))
			}
			if why == noBudget && a.kind == Hedge {
				r.round.postpone(a.shard, r.hedgeAgain())
			}
		}
	}
}

// restart begins a new round on another snapshot if that covers more shards than
// this one still can. It reports whether it did.
func (r *run) restart() bool {
	if !r.q.Idempotent || ended(r.ctx) {
		return false
	}
	view, err := r.s.View()
	if err != nil {
		return false
	}
	r.skip[r.number] = true
	ix := r.s.index(view, r.q.Service)
	best, covered, drawn := r.choose(ix, r.drawn)
	if best == nil || covered*len(r.round.parts) <= r.round.reachable()*best.total {
		return false
	}
	r.abandon()
	r.drawn = drawn
	r.begin(best.number, best.total)
	return true
}

// abandon cancels the sub-requests that are out.
func (r *run) abandon() {
	r.executed = worse(r.executed, r.round.executed())
	for _, id := range r.round.outstanding() {
		r.cancel(r.flights[id])
	}
}

// handle passes the end of a flight to the round.
func (r *run) handle(e event) {
	f := e.flight
	if f.round != r.round {
		r.late(e)
		return
	}
	if e.err == nil {
		s, drop := r.round.reply(f.id, e.result)
		if drop != "" {
			r.drop(drop)
		}
		r.do(s)
		return
	}
	switch e.err.Outcome {
	case ConnectFailed, Reset, DrainingReply, ColdReply:
		r.failed[f.target.Name] = true
	}
	r.do(r.round.failed(f.id, e.err.Sent, costsNothing(e.err.Outcome) || !e.err.Sent))
}

// late counts a reply that came after its round.
func (r *run) late(e event) {
	if e.err == nil {
		r.drop(dropLate)
	}
}

func (r *run) drop(reason string) {
	r.s.metrics.drop(r.q.Service, reason)
}

// send selects a replica for an ask and starts the sub-request.
func (r *run) send(a ask) denial {
	view, err := r.s.View()
	if err != nil {
		return noLease
	}
	ix := r.s.index(view, r.q.Service)
	snap := ix.find(r.number)
	if snap == nil || a.shard >= len(snap.shards) {
		return noReplica
	}
	if r.s.poisoned(view, r.q) || r.lastForSuspect(view, snap.shards[a.shard], a.shard, a.kind) {
		return noSuspect
	}
	if a.kind == Hedge && r.hedgeDelay() == 0 {
		return noBudget // Everything became slow after the hedge was planned.
	}
	t, release := r.pick(ix, snap, a)
	if t == nil {
		return noReplica
	}
	draw := r.s.SpendBudget
	if a.kind == Hedge && !a.late {
		draw = r.s.SpendEarlyBudget
	}
	if a.kind != First && !a.free && !draw(r.q.Service, rules(view).Hedge.Budget) {
		release()
		return noBudget
	}
	if a.kind == First {
		r.s.CountFirst(r.q.Service)
	}
	r.start(a, t, release, rules(view).Poison.Hold.Duration)
	return notDenied
}

// pick selects a replica. A hedge or retry of a query that drew a limited version
// may go to the versions without a limit, so that the failures of a bad version
// do not reduce coverage.
func (r *run) pick(ix *index, snap *snapshot, a ask) (*control.Target, func()) {
	t, release := r.pickVersion(ix, snap, a, r.drawn)
	if t == nil && a.kind != First && r.drawn != "" {
		t, release = r.pickVersion(ix, snap, a, "")
	}
	return t, release
}

func (r *run) pickVersion(ix *index, snap *snapshot, a ask, drawn string) (*control.Target, func()) {
	c := Choice{
		Service: r.q.Service, Shard: a.shard, Replicas: snap.shards[a.shard], Exclude: r.round.parts[a.shard].tried,
		Allow: r.usable(ix, drawn), NoProbe: !r.q.Idempotent,
	}
	for {
		t, ok := r.s.Pick(r.s.Clock.Now(), c)
		if !ok {
			return nil, nil
		}
		if !r.s.cold(t) {
			return t, func() {}
		}
		if release, granted := r.s.ReserveGrant(t); granted {
			return t, release
		}
		exclude := map[string]bool{t.Name: true}
		maps.Copy(exclude, c.Exclude)
		c.Exclude = exclude
	}
}

// start hands a sub-request to its target.
func (r *run) start(a ask, t *control.Target, release func(), hold time.Duration) {
	now := r.s.Clock.Now()
	r.asked++
	f := &flight{
		s: r.s, round: r.round, id: a.attempt, target: t, release: release, fingerprint: r.q.Fingerprint,
		hold: hold,
		sub: &Subrequest{
			Request: r.q.Request.Request + "/" + r.nonce + "/" + strconv.Itoa(r.asked),
			Service: r.q.Service, Route: r.q.Route, Shard: a.shard, Snapshot: r.number, Kind: a.kind,
			Deadline: r.q.Deadline, Query: r.q.Query,
		},
	}
	f.sub.Check = f.check
	f.ctx, f.stop = clockwork.WithDeadline(context.WithoutCancel(r.ctx), r.s.Clock, r.q.Deadline.Add(linger))
	for len(r.flights) <= a.attempt {
		r.flights = append(r.flights, nil)
	}
	r.flights[a.attempt] = f
	var hedgeAt time.Time
	if r.hedge > 0 {
		hedgeAt = now.Add(r.hedge)
	}
	r.round.placed(a.attempt, t, hedgeAt)
	r.s.metrics.subrequest(r.q.Service, a.kind)
	r.s.work.Go(func() {
		e := f.fly()
		select {
		case r.events <- e:
		case <-r.done:
			r.late(e)
		}
	})
}

// hedgeDelay returns the delay of hedges, or 0 while none may be sent.
func (r *run) hedgeDelay() time.Duration {
	view, err := r.s.View()
	if err != nil {
		return 0
	}
	after, ok := r.s.HedgeAfter(r.s.Clock.Now(), r.q.Service, rules(view).Hedge.Quantile)
	if !ok {
		return 0
	}
	return max(after, 1) // 0 stands for no hedge.
}

// hedgeAgain returns when a hedge that the budget had no room for is tried again, or
// zero.
func (r *run) hedgeAgain() time.Time {
	view, err := r.s.View()
	if err != nil {
		return time.Time{}
	}
	now := r.s.Clock.Now()
	after, ok := r.s.HedgeAfter(now, r.q.Service, rules(view).Hedge.Quantile)
	if !ok {
		return time.Time{}
	}
	return now.Add(max(after/retryPart, minRetry))
}

// cancel tells the target of a flight that its result is not needed. A target
// that does not take cancellations runs the sub-request to completion, unless
// the caller has hung up: then closing the connection is the only way to stop it.
func (r *run) cancel(f *flight) {
	if f.cancelled.Swap(true) {
		return
	}
	if f.number.Load() == 0 {
		f.stop() // It was not sent, and check will not let it.
		return
	}
	if f.target.SupportsCancel {
		r.s.goBackground(func(ctx context.Context) {
			if err := r.s.Cancel(ctx, f.target, f.sub); err != nil {
				r.s.Log.Debug().Err(err).Str("target", f.target.Name).Msg("cancellation failed")
			}
		})
	} else if ended(r.caller) {
		f.stop()
	}
}

// ended reports whether ctx has ended. Err of a context on a fake clock blocks
// until then.
func ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// margin returns the time kept back of a query's whole time.
func margin(whole time.Duration) time.Duration { return min(maxMargin, whole/20) }
