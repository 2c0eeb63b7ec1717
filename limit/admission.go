package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// headroom is the part of the time that is left that the expected time of a query
	// may take: the mean hides the spread.
	headroom = 0.8
	// rateMemory is the time constant of the measured service rate.
	rateMemory = time.Second
	// queueing is how far the recent time of queries must exceed the usual one before
	// any is refused. Below it, the service rate only tells how much was asked for.
	queueing = 2.0
	// recentWeight is the weight of a query in the recent time.
	recentWeight = 0.1
	// usualDoubling is the time in which the usual time may double. It is long, so that
	// an overload of some minutes does not become usual.
	usualDoubling = time.Hour
)

// Admission refuses queries early, while nothing was sent, if they can't be answered
// in time. The expected time follows from the sub-requests under way and the measured
// rate at which they end. Exported fields are set before use. It is safe for
// concurrent use.
type Admission struct {
	// Clock is the source of time; nil stands for the real clock.
	Clock clockwork.Clock

	mu       sync.Mutex
	services map[string]*load
}

// load is the work of one service.
type load struct {
	// pending counts the sub-requests of the queries under way.
	pending int
	// completed and busy are the sub-requests that ended and the seconds with work
	// under way, both forgotten with rateMemory.
	completed, busy float64
	updated         time.Time
	// recent and usual are the recent time of queries and its usual low, in seconds.
	recent, usual float64

	admitted, refused uint64
}

// Admit decides on a query of so many sub-requests, whose deadline is that of ctx.
// It returns a *RefusedError if the expected time exceeds the time that is left.
// Otherwise release must be called when the query ends.
func (a *Admission) Admit(ctx context.Context, service string, subrequests int) (release func(), err error) {
	now := a.now()
	deadline, bounded := ctx.Deadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.load(service)
	l.advance(now)
	if bounded {
		left := deadline.Sub(now)
		if expected := l.expected(subrequests); left <= 0 || expected > time.Duration(headroom*float64(left)) {
			l.refused++
			return nil, &RefusedError{Reason: TooLate, Wait: expected}
		}
	}
	l.pending += subrequests
	l.admitted++
	return sync.OnceFunc(func() { a.release(l, now, subrequests, deadline, bounded) }), nil
}

func (a *Admission) release(l *load, admitted time.Time, subrequests int, deadline time.Time, bounded bool) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	l.advance(now)
	l.pending -= subrequests
	// What ended by its deadline was not served and must not raise the rate.
	if !bounded || now.Before(deadline) {
		l.completed += float64(subrequests)
	}
	l.took(now.Sub(admitted).Seconds())
}

// expected returns the expected time of a query, or 0 while queries take their usual
// time.
func (l *load) expected(subrequests int) time.Duration {
	if l.pending == 0 || l.busy == 0 || l.recent <= queueing*l.usual {
		return 0
	}
	if l.completed == 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(l.pending+subrequests) * l.busy / l.completed * float64(time.Second))
}

// advance accounts for the time since the last event.
func (l *load) advance(now time.Time) {
	passed := now.Sub(l.updated).Seconds()
	if l.updated.IsZero() || passed <= 0 {
		l.updated = now
		return
	}
	l.updated = now
	keep := math.Exp(-passed / rateMemory.Seconds())
	l.completed *= keep
	l.busy *= keep
	if l.pending > 0 {
		l.busy += passed
	}
	l.usual *= math.Exp2(passed / usualDoubling.Seconds())
}

// took records the time of a query. The usual time follows lower ones at once, and
// higher ones only as it doubles.
func (l *load) took(seconds float64) {
	if l.usual == 0 {
		l.usual, l.recent = seconds, seconds
		return
	}
	l.recent += recentWeight * (seconds - l.recent)
	if seconds < l.usual {
		l.usual += recentWeight * (seconds - l.usual)
	}
}

func (a *Admission) load(service string) *load {
	l, ok := a.services[service]
	if !ok {
		l = &load{}
		if a.services == nil {
			a.services = map[string]*load{}
		}
		a.services[service] = l
	}
	return l
}

func (a *Admission) now() time.Time {
	if a.Clock == nil {
		return realClock.Now()
	}
	return a.Clock.Now()
}
