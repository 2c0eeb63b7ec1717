package relay

import (
	"time"

	"wasabirelay/control"
)

// absentRetry is the delay after which a caller may retry a request to shards that have no
// target: about half a heartbeat interval, in which a target that starts may announce itself.
const absentRetry = 500 * time.Millisecond

// absence counts the shards that a request can't be sent to, and says when to try again.
type absence struct {
	count int
	retry time.Duration
}

// absentShards counts the shards for which no target can be asked: none is known, or all are in
// data centres out of service, have no connection for this host or take no more requests for now;
// wait returns for how long a target takes none. It answers the load of requests that surely can't
// be served, as after the loss of all targets of several shards: sending them to the other shards
// would take slots from requests that can be served, and keep the caller waiting for a refusal that
// would then no longer be true.
func absentShards(v *View, shards []string, hasShare func(*control.Target) bool, wait func(*control.Target) time.Duration) absence {
	var out absence
	for _, service := range shards {
		if left := shardWait(v, service, hasShare, wait); left > 0 {
			out.count++
			out.retry = max(out.retry, left)
		}
	}
	return out
}

// declaredWait returns how long targets take no requests of this host by what they have declared.
func (s *Service) declaredWait(v *View) func(*control.Target) time.Duration {
	now := s.Clock.Now()
	return func(t *control.Target) time.Duration { return s.Declared.Wait(now, t, v.division(t.Service)) }
}

// noWait is the wait for targets that other hosts ask.
func noWait(*control.Target) time.Duration { return 0 }

// shardWait returns how long to wait until a target of the shard can be asked; 0 if one can be
// asked now.
func shardWait(v *View, service string, hasShare func(*control.Target) bool, wait func(*control.Target) time.Duration) time.Duration {
	least := absentRetry
	for _, t := range v.Targets[service] {
		if (t.State == control.Warm || t.State == control.Cold) && !v.Out[t.Centre] && hasShare(t) {
			if least = min(least, wait(t)); least == 0 {
				return 0
			}
		}
	}
	return least
}
