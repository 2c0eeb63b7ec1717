package relay

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// gathering runs the fetches of one request, one for each service that it needs a
// reply from. It decides on the goroutine of the request; only attempts have their own.
type gathering struct {
	*Service
	j       *job
	ctx     context.Context
	message *message
	// hedge is the delay after which an attempt is hedged.
	hedge   time.Duration
	fetches []fetch
	// ended holds the fetches that are over and that next has not returned.
	ended   []*fetch
	results chan *result
	timer   clockwork.Timer
	// armed is when the timer fires.
	armed time.Time
}

// event is what next has seen.
type event int

const (
	// fetchEnded is the end of a fetch.
	fetchEnded event = iota
	// alarm is the time that the caller of next named.
	alarm
	// requestEnded is the end of the request's time, or its caller has left.
	requestEnded
)

// idleTimer is the time to which a timer is set that nothing waits for.
const idleTimer = time.Hour

// gathering starts to fetch from the services. Attempts end with ctx.
func (s *Service) gathering(ctx context.Context, j *job, services []string) *gathering {
	g := &gathering{
		Service: s, j: j, ctx: ctx, message: s.encode(j), hedge: s.hedgeDelay(j),
		fetches: make([]fetch, len(services)), results: make(chan *result, len(services)), timer: s.Clock.NewTimer(idleTimer),
	}
	now := s.Clock.Now()
	for i, service := range services {
		f := &g.fetches[i]
		f.gathering, f.service = g, service
		f.begin(now)
		g.noteEnd(f)
	}
	return g
}

func (g *gathering) stop() { g.timer.Stop() }

func (g *gathering) noteEnd(f *fetch) {
	if f.over {
		g.ended = append(g.ended, f)
	}
}

// next handles events until there is one for the caller. An alarm that is zero does
// not come.
func (g *gathering) next(at time.Time) (*result, event) {
	for {
		if n := len(g.ended); n > 0 {
			f := g.ended[n-1]
			g.ended = g.ended[:n-1]
			return &f.last, fetchEnded
		}
		g.arm(at)
		select {
		case r := <-g.results:
			if f := r.fetch; !f.over {
				f.received(r)
				g.noteEnd(f)
			}
		case <-g.timer.Chan():
			g.armed = time.Time{}
			now := g.Clock.Now()
			g.overdue(now)
			if !at.IsZero() && !now.Before(at) {
				return nil, alarm
			}
		case <-g.ctx.Done():
			return nil, requestEnded
		}
	}
}

// arm sets the timer to the next time at which something is due.
func (g *gathering) arm(at time.Time) {
	next := at
	for i := range g.fetches {
		if due := g.fetches[i].due; !due.IsZero() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	if next.IsZero() || next.Equal(g.armed) {
		return // a timer that fires without need does no harm
	}
	g.armed = next
	g.timer.Reset(max(0, next.Sub(g.Clock.Now())))
}

func (g *gathering) overdue(now time.Time) {
	for i := range g.fetches {
		f := &g.fetches[i]
		if !f.due.IsZero() && !now.Before(f.due) {
			f.overdue(now)
			g.noteEnd(f)
		}
	}
}
