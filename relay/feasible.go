package relay

import (
	"time"

	"wasabirelay/control"
)

// absentRetry is the delay after which a caller may retry a request to shards that have no
// target: about half a heartbeat interval, in which a target that starts may announce itself.
const absentRetry = 500 * time.Millisecond

// absentShards counts the shards for which no target can be asked: none is known, or all are in
// data centres out of service or have no connection for this host. It answers the load of
// requests that surely can't be served, as after the loss of all targets of several shards:
// sending them to the other shards would take slots from requests that can be served, and keep
// the caller waiting for a refusal that would then no longer be true.
func absentShards(v *View, shards []string, hasShare func(*control.Target) bool) int {
	absent := 0
	for _, service := range shards {
		if !hasTarget(v, service, hasShare) {
			absent++
		}
	}
	return absent
}

func hasTarget(v *View, service string, hasShare func(*control.Target) bool) bool {
	for _, t := range v.Targets[service] {
		if (t.State == control.Warm || t.State == control.Cold) && !v.Out[t.Centre] && hasShare(t) {
			return true
		}
	}
	return false
}
