package limit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxTimeShare is the share of the remaining time that the expected time of a query may
	// take. It leaves a margin because the mean hides the spread.
	maxTimeShare = 0.8
	// rateDecayTime is the time constant of the measured service rate.
	rateDecayTime = time.Second
	// queueingFactor is how many times the baseline the recent query time must exceed before
	// any query is refused. Below it, the service rate only reflects the demand.
	queueingFactor = 2.0
	// recentWeight is the weight of one query in the recent query time.
	recentWeight = 0.1
	// baselineDoubling is the time within which the baseline may double. It is long, so that
	// an overload of some minutes does not become the baseline.
	baselineDoubling = time.Hour
)

// Admission refuses a query before any of its sub-requests is sent if it can't be answered in
// time. The expected time is estimated from the number of pending sub-requests and the
// measured rate at which they complete. Exported fields are set before use. It is safe for
// concurrent use.
type Admission struct {
	// Clock is the source of time; nil stands for the real clock.
	Clock clockwork.Clock

	mu       sync.Mutex
	services map[string]*serviceLoad
}

// serviceLoad is the load of one service.
type serviceLoad struct {
	// pending counts the sub-requests of the queries in progress.
	pending int
	// completed is the number of completed sub-requests and busySeconds the time with pending
	// ones. Both decay with rateDecayTime.
	completed, busySeconds float64
	updated                time.Time
	// recent is the moving average of the query time, and baseline its lower level without
	// queueing, both in seconds.
	recent, baseline float64

	admitted, refused uint64
}

// Admit decides whether to admit a query with this number of sub-requests and the deadline of
// ctx. It returns a *RefusedError if the expected time exceeds the remaining time. Otherwise
// the caller must call release when the query ends.
func (a *Admission) Admit(ctx context.Context, service string, subrequests int) (release func(), err error) {
	now := a.now()
	deadline, bounded := ctx.Deadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.service(service)
	l.advance(now)
	if bounded {
		left := deadline.Sub(now)
		if expected := l.expected(subrequests); left <= 0 || expected > time.Duration(maxTimeShare*float64(left)) {
			l.refused++
			return nil, &RefusedError{Reason: TooLate, Wait: expected}
		}
	}
	l.pending += subrequests
	l.admitted++
	return sync.OnceFunc(func() { a.release(l, now, subrequests, deadline, bounded) }), nil
}

func (a *Admission) release(l *serviceLoad, admitted time.Time, subrequests int, deadline time.Time, bounded bool) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	l.advance(now)
	l.pending -= subrequests
	// A query that ended at its deadline was not served and must not raise the rate.
	if !bounded || now.Before(deadline) {
		l.completed += float64(subrequests)
	}
	l.observe(now.Sub(admitted).Seconds())
}

// expected returns the expected time of a query, or 0 while there is no queueing.
func (l *serviceLoad) expected(subrequests int) time.Duration {
	if l.pending == 0 || l.busySeconds == 0 || l.recent <= queueingFactor*l.baseline {
		return 0
	}
	if l.completed == 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(l.pending+subrequests) * l.busySeconds / l.completed * float64(time.Second))
}

// advance accounts for the time that has passed since the last call.
func (l *serviceLoad) advance(now time.Time) {
	passed := now.Sub(l.updated).Seconds()
	if l.updated.IsZero() || passed <= 0 {
		l.updated = now
		return
	}
	l.updated = now
	keep := math.Exp(-passed / rateDecayTime.Seconds())
	l.completed *= keep
	l.busySeconds *= keep
	if l.pending > 0 {
		l.busySeconds += passed
	}
	l.baseline *= math.Exp2(passed / baselineDoubling.Seconds())
}

// observe records the time of a query. The baseline follows lower times with recentWeight, and
// rises only with baselineDoubling.
func (l *serviceLoad) observe(seconds float64) {
	if l.baseline == 0 {
		l.baseline, l.recent = seconds, seconds
		return
	}
	l.recent += recentWeight * (seconds - l.recent)
	if seconds < l.baseline {
		l.baseline += recentWeight * (seconds - l.baseline)
	}
}

func (a *Admission) service(service string) *serviceLoad {
	l, ok := a.services[service]
	if !ok {
		l = &serviceLoad{}
		if a.services == nil {
			a.services = map[string]*serviceLoad{}
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
