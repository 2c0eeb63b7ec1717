package relay

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// fetchGroup runs the fetches of one request, one for each service that it needs a reply from.
// It runs on the goroutine of the request; only attempts have goroutines of their own.
type fetchGroup struct {
	*Service
	j       *job
	ctx     context.Context
	message *message
	// hedge is the delay after which an attempt is hedged.
	hedge   time.Duration
	fetches []fetch
	// unreturned holds the fetches that are done and that next has not returned yet.
	unreturned []*fetch
	results    chan *result
	timer      clockwork.Timer
	// timerAt is the time at which the timer fires.
	timerAt time.Time
}

// event is the kind of event that next returns.
type event int

const (
	// fetchEnded means that a fetch is done.
	fetchEnded event = iota
	// cutoffReached means that the cutoff has been reached.
	cutoffReached
	// requestEnded means that the deadline has been reached or the caller has left.
	requestEnded
)

// idleTimer is the initial duration of a timer that nothing waits for yet.
const idleTimer = time.Hour

// startFetches starts a fetch from each of the services. Attempts end with ctx.
func (s *Service) startFetches(ctx context.Context, j *job, services []string) *fetchGroup {
	g := &fetchGroup{
		Service: s, j: j, ctx: ctx, message: s.encodeMessage(j), hedge: s.hedgeDelay(j),
		fetches: make([]fetch, len(services)), results: make(chan *result, len(services)), timer: s.Clock.NewTimer(idleTimer),
	}
	now := s.Clock.Now()
	for i, service := range services {
		f := &g.fetches[i]
		f.fetchGroup, f.service = g, service
		f.begin(now)
		g.queueIfDone(f)
	}
	return g
}

func (g *fetchGroup) stop() { g.timer.Stop() }

func (g *fetchGroup) queueIfDone(f *fetch) {
	if f.done {
		g.unreturned = append(g.unreturned, f)
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
		g.arm(cutoff)
		select {
		case r := <-g.results:
			if f := r.fetch; !f.done {
				f.handleResult(r)
				g.queueIfDone(f)
			}
		case <-g.timer.Chan():
			g.timerAt = time.Time{}
			now := g.Clock.Now()
			g.handleSlow(now)
			if !cutoff.IsZero() && !now.Before(cutoff) {
				return nil, cutoffReached
			}
		case <-g.ctx.Done():
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
	if next.IsZero() || next.Equal(g.timerAt) {
		return // a timer that fires for an outdated time has no effect
	}
	g.timerAt = next
	g.timer.Reset(max(0, next.Sub(g.Clock.Now())))
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
