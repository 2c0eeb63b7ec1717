package relay

import (
	"time"

	"wasabirelay/control"
	"wasabirelay/route"
)

const (
	// maxResends bounds how often the request of a fetch is sent again to targets that refused it.
	maxResends = 4
	// resendShare is the fraction of the hedge delay after which a request is sent again.
	resendShare = 0.5
)

// resend decides whether a request is sent again to a target that has refused it unexecuted. It
// answers the load of targets that refuse a part of their requests, more of them than a route allows
// attempts for: another try at the same target is likely to succeed, and a request to many shards
// fails otherwise because each of its shards has to. The budget for extra requests bounds it, so
// that targets that are really overloaded get no more than they would by hedges.
type resend struct {
	// target is the target of the next try, or nil if none is scheduled.
	target *control.Target
	// count is the number of tries so far.
	count int
}

// schedule schedules one more try at the target. It reports false if there were enough, or if the
// target is cold: its allowance is counted per attempt.
func (s *resend) schedule(t *control.Target) bool {
	if s.count >= maxResends || t.State != control.Warm {
		return false
	}
	s.target = t
	return true
}

// take returns the target of the scheduled try, or nil.
func (s *resend) take() *control.Target {
	t := s.target
	s.target = nil
	return t
}

// resendDelay returns the delay before the next try.
func resendDelay(hedge time.Duration) time.Duration {
	return time.Duration(resendShare * float64(hedge))
}

// refusedUnrun reports whether the target itself has refused the request without executing it,
// because it is busy.
func refusedUnrun(r *result) bool {
	return r.outcome == route.Shed && r.response != nil && !r.ran
}
