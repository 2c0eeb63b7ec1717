package answer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// maxDeadlineMargin is the maximum time reserved before a query's deadline for writing the answer
// and sending it to the caller. The one-way latency to clients is 1 to 3 ms.
const maxDeadlineMargin = 5 * time.Millisecond

const (
	// hedgeRetryDivisor divides the hedge delay to get the time after which a hedge that the
	// budget denied is tried again. With lognormal service times (sigma 0.3), the 0.99
	// quantile is 1.25 times the 0.95 quantile, so that by then four in five of the ordinary
	// sub-requests that exceed the delay have ended.
	hedgeRetryDivisor = 4
	// minHedgeRetryDelay is the minimum time between two such attempts when hedge delays are short.
	minHedgeRetryDelay = time.Millisecond
)

// queryRun is the execution of one query. One goroutine calls its methods; the methods of its
// flights run on goroutines of their own.
type queryRun struct {
	s *Service
	q *Query
	// callerCtx ends when the caller disconnects, ctx also at the deadline minus the margin. For
	// a request that is not idempotent, both ignore that the caller disconnects.
	callerCtx    context.Context
	ctx          context.Context
	nonce        string
	drawnVersion string
	round        *round
	number       uint64
	flights      []*flight
	events       chan event
	done         chan struct{}
	// skippedSnapshots holds the snapshots that an earlier round abandoned, failed the targets
	// whose connection failed or was reset, that drain or that have become cold.
	skippedSnapshots map[uint64]bool
	failed           map[string]bool
	executed         problem.Executed
	subrequests      int
	// hedgeAfter is the hedge delay of this round, or 0 if no hedges are sent.
	hedgeAfter time.Duration
}

// event reports the end of a flight.
type event struct {
	flight *flight
	result []byte
	err    *SendError
}

// newQueryRun prepares the execution of a query.
func (s *Service) newQueryRun(callerCtx, ctx context.Context, q *Query) *queryRun {
	return &queryRun{
		s: s, q: q, callerCtx: callerCtx, ctx: ctx, nonce: uuid.NewString(), events: make(chan event), done: make(chan struct{}),
		skippedSnapshots: map[uint64]bool{}, failed: map[string]bool{}, executed: problem.None,
	}
}

// selectSnapshot selects the version at random according to the shares, and the snapshot for
// it. Its refusals report that nothing was executed.
func (r *queryRun) selectSnapshot(v *control.View) (*snapshot, *problem.Details) {
	ix := r.s.index(v, r.q.Service)
	best, covered, drawnVersion := r.choose(ix, ix.drawVersion(r.s.RandomFloat()))
	r.drawnVersion = drawnVersion
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

// choose selects a snapshot for the drawn version. A share below 1 is an upper limit: if the
// version can't cover all shards by itself, the versions without a limit answer the query.
func (r *queryRun) choose(ix *index, drawnVersion string) (best *snapshot, covered int, version string) {
	best, covered = ix.choose(r.usable(ix, drawnVersion), r.skippedSnapshots)
	if ix.fallback(drawnVersion) && (best == nil || covered < best.total) {
		drawnVersion = ""
		best, covered = ix.choose(r.usable(ix, ""), r.skippedSnapshots)
	}
	if best != nil && covered < best.total && r.clearSuspicions(ix, best, drawnVersion) {
		best, covered = ix.choose(r.usable(ix, drawnVersion), r.skippedSnapshots)
	}
	return best, covered, drawnVersion
}

// clearSuspicions makes replicas of shards usable of which all replicas are suspected to be
// cold. It reports whether there are any.
func (r *queryRun) clearSuspicions(ix *index, snap *snapshot, drawnVersion string) bool {
	usable, cleared := r.usable(ix, drawnVersion), false
	for shard := range snap.shards {
		if !slices.ContainsFunc(snap.shards[shard], usable) && r.clearSuspicion(ix.replicasOf(snap, shard, drawnVersion), nil) {
			cleared = true
		}
	}
	return cleared
}

// clearSuspicion makes one of the replicas usable if all that are left to this query are suspected
// to be cold.
func (r *queryRun) clearSuspicion(replicas []*control.Target, tried map[string]bool) bool {
	var left []*control.Target
	for _, t := range replicas {
		if !r.failed[t.Name] && !tried[t.Name] {
			left = append(left, t)
		}
	}
	return len(left) > 0 && r.s.ClearSuspicion(r.s.Clock.Now(), left)
}

// usable returns a predicate that reports whether a target may answer this query.
func (r *queryRun) usable(ix *index, drawnVersion string) func(*control.Target) bool {
	return func(t *control.Target) bool {
		return !r.failed[t.Name] && ix.servesVersion(t.Version, drawnVersion) && (!r.s.behavesCold(t) || r.s.Granted(ix.view, t))
	}
}

// behavesCold reports whether a target is cold or behaves as if it were.
func (s *Service) behavesCold(t *control.Target) bool {
	return t.State == control.Cold || s.SuspectCold(s.Clock.Now(), t)
}

// fanOut runs rounds until every shard has settled or ctx ends.
func (r *queryRun) fanOut(best *snapshot) {
	defer close(r.done)
	if contextEnded(r.ctx) { // Admission or the claim took until the deadline.
		r.number, r.round = best.number, newRound(best.total, r.q.Idempotent)
		return
	}
	r.beginRound(best.number, best.total)
	for !r.round.finished() {
		hedgeTimer, stop := r.hedgeTimer()
		select {
		case e := <-r.events:
			r.handle(e)
		case <-hedgeTimer:
			r.perform(r.round.dueHedges(r.s.Clock.Now()))
		case <-r.ctx.Done():
			stop()
			r.cancelOutstanding()
			return
		}
		stop()
	}
	r.cancelOutstanding()
}

// hedgeTimer returns a channel that fires when the next hedge is due.
func (r *queryRun) hedgeTimer() (fire <-chan time.Time, stop func()) {
	at := r.round.nextHedge()
	if at.IsZero() {
		return nil, func() {}
	}
	t := r.s.Clock.NewTimer(at.Sub(r.s.Clock.Now()))
	return t.Chan(), func() { t.Stop() }
}

// beginRound starts a round on a snapshot.
func (r *queryRun) beginRound(number uint64, total int) {
	r.number = number
	r.round = newRound(total, r.q.Idempotent)
	r.flights = nil
	r.hedgeAfter = r.hedgeDelay()
	r.perform(r.round.start())
}

// perform performs the given actions and those that follow from them.
func (r *queryRun) perform(s actions) {
	queue := []actions{s}
	for len(queue) > 0 {
		s, queue = queue[0], queue[1:]
		for _, id := range s.cancels {
			r.cancel(r.flights[id])
		}
		if s.lost && r.restartRound() {
			return
		}
		for _, a := range s.dispatches {
			reason := r.send(a)
			if reason != notDenied {
				queue = append(queue, r.round.denied(a.attempt, reason))
			}
			if reason == deniedNoBudget && a.kind == Hedge {
				r.round.postpone(a.shard, r.nextHedgeAttempt())
			}
		}
	}
}

// restartRound begins a round on another snapshot if that snapshot covers more shards than the
// current round can still reach. It reports whether it began one.
func (r *queryRun) restartRound() bool {
	if !r.q.Idempotent || contextEnded(r.ctx) {
		return false
	}
	view, err := r.s.View()
	if err != nil {
		return false
	}
	r.skippedSnapshots[r.number] = true
	ix := r.s.index(view, r.q.Service)
	best, covered, drawnVersion := r.choose(ix, r.drawnVersion)
	if best == nil || covered*len(r.round.shardStates) <= r.round.reachable()*best.total {
		return false
	}
	r.cancelOutstanding()
	r.drawnVersion = drawnVersion
	r.beginRound(best.number, best.total)
	return true
}

// cancelOutstanding cancels the outstanding sub-requests of the round and records what the round
// executed.
func (r *queryRun) cancelOutstanding() {
	r.executed = worse(r.executed, r.round.executed())
	for _, id := range r.round.outstanding() {
		r.cancel(r.flights[id])
	}
}

// handle passes the result of a flight to the round.
func (r *queryRun) handle(e event) {
	f := e.flight
	if f.round != r.round {
		r.countLateReply(e)
		return
	}
	if e.err == nil {
		s, drop := r.round.replied(f.id, e.result)
		if drop != "" {
			r.drop(drop)
		}
		r.perform(s)
		return
	}
	switch e.err.Outcome {
	case ConnectFailed, Reset, DrainingReply, ColdReply:
		r.failed[f.target.Name] = true
	}
	r.perform(r.round.failed(f.id, e.err.Sent, causesNoWork(e.err.Outcome) || !e.err.Sent))
}

// countLateReply counts a reply that arrived after its round had ended.
func (r *queryRun) countLateReply(e event) {
	if e.err == nil {
		r.drop(dropLate)
	}
}

func (r *queryRun) drop(reason string) {
	r.s.metrics.drop(r.q.Service, reason)
}

// send selects a replica for an attempt and starts the sub-request.
func (r *queryRun) send(a dispatch) denialReason {
	view, err := r.s.View()
	if err != nil {
		return deniedNoLease
	}
	ix := r.s.index(view, r.q.Service)
	snap := ix.find(r.number)
	if snap == nil || a.shard >= len(snap.shards) {
		return deniedNoReplica
	}
	if r.s.poisoned(view, r.q) || r.shardAtRisk(view, snap.shards[a.shard], a.shard, a.kind) {
		return deniedSuspect
	}
	if a.kind == Hedge && r.hedgeDelay() == 0 {
		return deniedNoBudget // All targets became slow after the hedge was scheduled.
	}
	t, release := r.pick(ix, snap, a)
	if t == nil {
		return deniedNoReplica
	}
	spend := r.s.SpendBudget
	if a.kind == Hedge && !a.postponed {
		spend = r.s.SpendEarlyBudget
	}
	if a.kind != First && !a.budgetExempt && !spend(r.q.Service, rules(view).Hedge.Budget) {
		release()
		return deniedNoBudget
	}
	if a.kind == First {
		r.s.CountFirst(r.q.Service)
	}
	r.start(a, t, release, rules(view).Poison.HoldDuration.Duration)
	return notDenied
}

// pick selects a replica. A hedge or retry of a query that drew a version with a share below 1
// may use the versions without a limit, so that failures of a bad version do not reduce coverage.
// Replicas are compared only with those of the versions that the query may use.
func (r *queryRun) pick(ix *index, snap *snapshot, a dispatch) (*control.Target, func()) {
	t, release := r.pickVersion(ix, snap, a, r.drawnVersion)
	if t == nil && a.kind != First && ix.fallback(r.drawnVersion) {
		t, release = r.pickVersion(ix, snap, a, "")
	}
	state := &r.round.shardStates[a.shard]
	if t == nil && state.live == 0 && r.clearSuspicion(ix.replicasOf(snap, a.shard, r.drawnVersion), state.tried) {
		t, release = r.pickVersion(ix, snap, a, r.drawnVersion)
	}
	return t, release
}

// pickVersion selects a replica that may answer queries that drew the given version. For a cold
// target it reserves room in this host's grant, which the returned function releases.
func (r *queryRun) pickVersion(ix *index, snap *snapshot, a dispatch, drawnVersion string) (*control.Target, func()) {
	c := Choice{
		Service: r.q.Service, Shard: a.shard, Replicas: ix.replicasOf(snap, a.shard, drawnVersion),
		Exclude: r.round.shardStates[a.shard].tried,
		Allow:   r.usable(ix, drawnVersion), NoProbe: !r.q.Idempotent,
	}
	for {
		t, ok := r.s.Pick(r.s.Clock.Now(), c)
		if !ok {
			return nil, nil
		}
		if !r.s.behavesCold(t) {
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

// start starts a sub-request to a target on a new goroutine.
func (r *queryRun) start(a dispatch, t *control.Target, release func(), suspectHold time.Duration) {
	now := r.s.Clock.Now()
	r.subrequests++
	f := &flight{
		s: r.s, round: r.round, id: a.attempt, target: t, release: release, fingerprint: r.q.Fingerprint,
		suspectHold: suspectHold,
		sub: &Subrequest{
			Request: r.q.Request.Request + "/" + r.nonce + "/" + strconv.Itoa(r.subrequests),
			Service: r.q.Service, Route: r.q.Route, Shard: a.shard, Snapshot: r.number, Kind: a.kind,
			Deadline: r.q.Deadline, Query: r.q.Query,
		},
	}
	f.sub.Check = f.checkBeforeSend
	f.ctx, f.stop = clockwork.WithDeadline(context.WithoutCancel(r.ctx), r.s.Clock, r.q.Deadline.Add(subrequestLinger))
	for len(r.flights) <= a.attempt {
		r.flights = append(r.flights, nil)
	}
	r.flights[a.attempt] = f
	var hedgeAt time.Time
	if r.hedgeAfter > 0 {
		hedgeAt = now.Add(r.hedgeAfter)
	}
	r.round.started(a.attempt, t, hedgeAt)
	r.s.metrics.countSubrequest(r.q.Service, a.kind)
	r.s.work.Go(func() {
		e := f.execute()
		select {
		case r.events <- e:
		case <-r.done:
			r.countLateReply(e)
		}
	})
}

// hedgeDelay returns the hedge delay, or 0 while no hedges may be sent.
func (r *queryRun) hedgeDelay() time.Duration {
	view, err := r.s.View()
	if err != nil {
		return 0
	}
	after, ok := r.s.HedgeAfter(r.s.Clock.Now(), r.q.Service, rules(view).Hedge.Quantile)
	if !ok {
		return 0
	}
	return max(after, 1) // 0 would disable hedges.
}

// nextHedgeAttempt returns the time at which a hedge that the budget denied is tried again, or
// zero while no hedges may be sent.
func (r *queryRun) nextHedgeAttempt() time.Time {
	view, err := r.s.View()
	if err != nil {
		return time.Time{}
	}
	now := r.s.Clock.Now()
	after, ok := r.s.HedgeAfter(now, r.q.Service, rules(view).Hedge.Quantile)
	if !ok {
		return time.Time{}
	}
	return now.Add(max(after/hedgeRetryDivisor, minHedgeRetryDelay))
}

// cancel cancels a sub-request. A target that does not support cancellation runs the
// sub-request to completion, unless the caller has disconnected: then the context of the
// sub-request ends, so that the connection is closed, which is the only way to stop such a
// target. The standard client closes it at once, limit.Pool after DrainTimeout.
func (r *queryRun) cancel(f *flight) {
	if f.cancelled.Swap(true) {
		return
	}
	if f.trackerNumber.Load() == 0 {
		f.stop() // It has not been sent, and checkBeforeSend will return an error.
		return
	}
	if f.target.SupportsCancel {
		r.s.goBackground(func(ctx context.Context) {
			if err := r.s.Cancel(ctx, f.target, f.sub); err != nil {
				r.s.Log.Debug().Err(err).Str("target", f.target.Name).Msg("failed to cancel a sub-request")
			}
		})
	} else if contextEnded(r.callerCtx) {
		f.stop()
	}
}

// contextEnded reports whether ctx has ended. It does not call ctx.Err, which blocks until the
// end if the context uses a fake clock.
func contextEnded(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// deadlineMargin returns the part of a query's total time that is reserved for sending the answer.
func deadlineMargin(total time.Duration) time.Duration { return min(maxDeadlineMargin, total/20) }
