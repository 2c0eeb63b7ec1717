package relay

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"wasabirelay/portion"
	"wasabirelay/route"
)

// fetchGroup runs the fetches of one request, one for each service that it needs a reply from.
// It runs on the goroutine of the request; only attempts have goroutines of their own.
type fetchGroup struct {
	*Service
	j       *job
	ctx     context.Context
	message *message
	// work is what the request is expected to cost each target.
	work route.Work
	// hedge is the delay after which an attempt is hedged.
	hedge time.Duration
	// hedgeByTarget is true if attempts at fast targets are hedged sooner.
	hedgeByTarget bool
	fetches       []fetch
	// pending counts the fetches that are not done.
	pending int
	// failed counts the fetches that have ended without a reply, or are about to because they are
	// omitted. spare is how many of them the response can do without.
	failed, spare int
	// delegations are the portions that other hosts collect, delegated counts the shards in them
	// that are not reported yet.
	delegations []*delegation
	delegated   int
	frames      chan delegationEvent
	// portionsChanged is true if next has not returned portionChanged since the last change.
	portionsChanged bool
	// received holds the replies so far.
	received gathered
	// unreturned holds the fetches that are done and that next has not returned yet.
	unreturned []*fetch
	results    chan *result
	timer      clockwork.Timer
	// timerAt is the time at which the timer fires.
	timerAt time.Time
	// progress is the age of the request at which an attempt was last sent or ended.
	progress atomic.Int64
}

// event is the kind of event that next returns.
type event int

const (
	// fetchEnded means that a fetch is done.
	fetchEnded event = iota
	// portionChanged means that another host has sent replies of its portion, or that it has ended.
	portionChanged
	// cutoffReached means that the cutoff has been reached.
	cutoffReached
	// requestEnded means that the deadline has been reached, the caller has left or the process
	// stops.
	requestEnded
)

// stallShare is the fraction of the hedge delay without progress after which the attempts that are
// left count as slow: replies of healthy targets follow each other faster.
const stallShare = 0.25

// tailShare is the share of the fetches of a request below which those that are left are hedged
// although replies still come in: as few replies don't occupy this host for long.
const tailShare = 0.15

// idleTimer is the initial duration of a timer that nothing waits for yet.
const idleTimer = time.Hour

// startFetches starts the fetches of this host and leaves the portions of the plan to others. The
// caller stops the group when ctx ends.
func (s *Service) startFetches(ctx context.Context, j *job, plan *portion.Plan) *fetchGroup {
	total, work := plan.Count(), s.workOf(j)
	g := &fetchGroup{
		Service: s, j: j, ctx: ctx, message: s.encodeMessage(j), work: work, spare: j.spare,
		// Fetches must not move: each shard has at most one.
		fetches: make([]fetch, 0, total), results: make(chan *result, total), timer: s.Clock.NewTimer(idleTimer),
	}
	hedge, learned := s.hedgeDelay(j, work)
	g.hedge, g.hedgeByTarget = hedge, learned && s.Table.Contended
	left := g.delegate(plan.Portions, total)
	now := s.Clock.Now()
	for _, service := range plan.Own {
		g.startFetch(service, now)
	}
	for _, service := range left {
		g.startFetch(service, now)
	}
	return g
}

// startFetch starts to fetch from a service.
func (g *fetchGroup) startFetch(service string, now time.Time) {
	g.fetches = append(g.fetches, fetch{fetchGroup: g, service: service})
	g.pending++
	f := &g.fetches[len(g.fetches)-1]
	f.begin(now)
	g.queueIfDone(f)
}

// complete reports whether the results of all shards have been returned.
func (g *fetchGroup) complete() bool {
	return g.pending == 0 && g.delegated == 0 && len(g.unreturned) == 0
}

// stop cancels the attempts that are still in flight; the pool waits for their replies. It returns
// what attempts have reserved of the budget and have not used.
func (g *fetchGroup) stop() {
	g.timer.Stop()
	g.cancelDelegations()
	for i := range g.fetches {
		for _, a := range g.fetches[i].attempts {
			a.end()
			a.returnExtra()
		}
	}
}

func (g *fetchGroup) queueIfDone(f *fetch) {
	if !f.done {
		return
	}
	g.unreturned = append(g.unreturned, f)
	before := g.inTail()
	g.pending--
	switch failed := !f.last.succeeded(); {
	case failed && !f.omitted:
		g.failed++
	case !failed && f.omitted:
		g.failed--
	}
	if !before && g.inTail() {
		g.advanceHedges()
	}
}

// omit records that the response omits the shard of the fetch.
func (f *fetch) omit() {
	if !f.omitted {
		f.omitted = true
		f.failed++
	}
}

// canOmitOne reports whether the response is still possible if one more fetch fails. It answers the
// load of requests to shards of which all replicas are overloaded: a response without one of them
// is better than a late one, but a late one is better than none.
func (g *fetchGroup) canOmitOne() bool { return g.failed+1 <= g.spare }

// inTail reports whether only few of the replies are left.
func (g *fetchGroup) inTail() bool { return float64(g.pending) <= tailShare*float64(len(g.fetches)) }

// advanceHedges brings the hedges of the fetches that are left forward when the tail begins.
func (g *fetchGroup) advanceHedges() {
	for i := range g.fetches {
		f := &g.fetches[i]
		if f.hedgeAt.IsZero() || f.resend.target != nil || f.newest().sent.Load() == 0 {
			continue
		}
		if due := g.slowAt(f.newest()); due.Before(f.hedgeAt) {
			f.hedgeAt = due
		}
	}
}

// next handles events until there is one to return. If cutoff is zero, there is no
// cutoffReached event.
func (g *fetchGroup) next(cutoff time.Time) (*result, event) {
	for {
		if n := len(g.unreturned); n > 0 {
			f := g.unreturned[n-1]
			g.unreturned = g.unreturned[:n-1]
			return &f.last, fetchEnded
		}
		if g.portionsChanged {
			g.portionsChanged = false
			return nil, portionChanged
		}
		g.arm(cutoff)
		select {
		case r := <-g.results:
			g.handleResult(r)
		case e := <-g.frames:
			g.handleFrame(&e)
		case <-g.timer.Chan():
			g.timerAt = time.Time{}
			g.handleReceived() // replies that are here already need no hedge
			now := g.Clock.Now()
			g.handleSlow(now)
			g.handleSilence(now)
			if !cutoff.IsZero() && !now.Before(cutoff) {
				return nil, cutoffReached
			}
		case <-g.ctx.Done():
			return nil, requestEnded
		case <-g.stopper.done():
			return nil, requestEnded
		}
	}
}

// arm sets the timer to the earliest of cutoff and the hedge times of the fetches.
func (g *fetchGroup) arm(cutoff time.Time) {
	next := cutoff
	for i := range g.fetches {
		if due := g.fetches[i].hedgeAt; !due.IsZero() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	for _, d := range g.delegations {
		if !d.done && !d.silentAt.IsZero() && (next.IsZero() || d.silentAt.Before(next)) {
			next = d.silentAt
		}
	}
	if next.IsZero() || next.Equal(g.timerAt) {
		return // a timer that fires for an outdated time has no effect
	}
	g.timerAt = next
	g.timer.Reset(max(0, next.Sub(g.Clock.Now())))
}

func (g *fetchGroup) handleResult(r *result) {
	g.recordProgress()
	if f := r.fetch; !f.done {
		f.handleResult(r)
		g.queueIfDone(f)
	}
}

// handleReceived handles the results and frames that have arrived.
func (g *fetchGroup) handleReceived() {
	for {
		select {
		case r := <-g.results:
			g.handleResult(r)
		case e := <-g.frames:
			g.handleFrame(&e)
		default:
			return
		}
	}
}

// recordProgress records that an attempt was sent or has ended, and returns the age of the request.
func (g *fetchGroup) recordProgress() int64 {
	age := int64(g.Clock.Since(g.j.started))
	g.progress.Store(age)
	return age
}

// slowAt returns when an attempt counts as slow: the hedge delay after it was sent, and not while
// the request makes progress, unless only few replies are left. It answers the load of requests to
// many shards on a small host: to send them and to read their replies takes longer than the hedge
// delay, and hedges for shards whose replies wait for the processor would only double the work.
func (g *fetchGroup) slowAt(a *attempt) time.Time {
	sent := time.Duration(a.sent.Load())
	return g.j.started.Add(slowAge(sent, time.Duration(g.progress.Load()), cmp.Or(a.hedge, g.hedge), g.inTail()))
}

// slowAge is slowAt in terms of the age of the request. sent is 0 for an attempt that has not been
// sent, progress the age at the last progress of the request.
func slowAge(sent, progress, hedge time.Duration, tail bool) time.Duration {
	if tail && sent > 0 {
		return sent + hedge
	}
	due := progress + time.Duration(stallShare*float64(hedge))
	if sent > 0 {
		due = max(due, sent+hedge)
	}
	return due
}

func (g *fetchGroup) handleSlow(now time.Time) {
	for i := range g.fetches {
		f := &g.fetches[i]
		if !f.hedgeAt.IsZero() && !now.Before(f.hedgeAt) {
			f.handleSlow(now)
			g.queueIfDone(f)
		}
	}
}
