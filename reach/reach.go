// Package reach judges from the outcomes of its own sub-requests whether a host has lost its links to
// the targets, while other hosts may still reach them. It holds no sockets, goroutines or clocks.
package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silence is how long no target must have replied, and minLost how many sub-requests to
	// minTargets targets must have been lost since the last reply, before the links count as lost.
	// One target that is silent is a fault of that target.
	silence    = 300 * time.Millisecond
	minLost    = 5
	minTargets = 3
	// ProbeInterval is the interval of probes while the links are lost.
	ProbeInterval = 200 * time.Millisecond
	// probesNeeded is the number of probes that must succeed before the links count as restored.
	// Probes that fail say nothing: their targets may be dead.
	probesNeeded = 2
	// RestoreTime is how long links that are restored count as lost, unless they flap.
	RestoreTime = probesNeeded * ProbeInterval
	// Links that are lost again within flapTime of their restoration count as lost for
	// minHold at least; the time doubles up to maxHold.
	flapTime = 10 * time.Second
	minHold  = 500 * time.Millisecond
	maxHold  = 4 * time.Second
)

// Change reports that the links were lost or restored.
type Change struct {
	// Lost is true if the links were lost. Requests is the number of sub-requests, Targets the number
	// of targets without a reply in Silence.
	Lost              bool
	Requests, Targets int
	Silence           time.Duration
	// Hold is the minimum time for which the links count as lost.
	Hold time.Duration
}

// Judge judges the links of one host. Exported fields are set before use. The zero value is ready
// to use, and the links count as sound. It is safe for concurrent use.
type Judge struct {
	// OnChange, if set, is called without any lock held when the links were lost or restored.
	OnChange func(Change)

	cut atomic.Bool
	// pending is true if a sub-request was lost since the last reply.
	pending atomic.Bool
	// lastReply is the time of the last reply in nanoseconds since the Unix epoch, or of the first
	// loss if there was none before.
	lastReply atomic.Int64

	mu      sync.Mutex
	lost    int
	targets map[string]bool
	probes  int
	// changed is when the links were last lost or restored.
	changed time.Time
	hold    time.Duration
}

// Lost reports whether the links count as lost.
func (j *Judge) Lost() bool { return j.cut.Load() }

// RecordReply records that a target has replied.
func (j *Judge) RecordReply(now time.Time) {
	j.lastReply.Store(now.UnixNano())
	if j.pending.Load() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.clear()
	}
}

// clear forgets the lost sub-requests. The caller holds j.mu.
func (j *Judge) clear() {
	j.lost, j.targets = 0, nil
	j.pending.Store(false)
}

// RecordLoss records a sub-request that has ended without a reply.
func (j *Judge) RecordLoss(now time.Time, target string) {
	if j.cut.Load() {
		return
	}
	j.mu.Lock()
	if j.targets == nil {
		j.targets = map[string]bool{}
	}
	j.pending.Store(true)
	j.lost++
	j.targets[target] = true
	j.lastReply.CompareAndSwap(0, now.UnixNano())
	silent := now.Sub(time.Unix(0, j.lastReply.Load()))
	if j.cut.Load() || silent < silence || j.lost < minLost || len(j.targets) < minTargets {
		j.mu.Unlock()
		return
	}
	switch {
	case j.changed.IsZero() || now.Sub(j.changed) > flapTime:
		j.hold = 0
	default:
		j.hold = min(max(2*j.hold, minHold), maxHold)
	}
	change := Change{Lost: true, Requests: j.lost, Targets: len(j.targets), Silence: silent, Hold: j.hold}
	j.changed, j.probes = now, 0
	j.clear()
	j.cut.Store(true)
	j.mu.Unlock()
	j.notify(change)
}

// RecordProbe records whether a target could be reached by a probe while the links were lost.
func (j *Judge) RecordProbe(now time.Time, reached bool) {
	j.mu.Lock()
	if !j.cut.Load() || !reached {
		j.mu.Unlock()
		return
	}
	j.probes++
	if j.probes < probesNeeded || now.Sub(j.changed) < j.hold {
		j.mu.Unlock()
		return
	}
	change := Change{Silence: now.Sub(j.changed), Hold: j.hold}
	j.changed = now
	j.lastReply.Store(now.UnixNano())
	j.cut.Store(false)
	j.mu.Unlock()
	j.notify(change)
}

func (j *Judge) notify(c Change) {
	if j.OnChange != nil {
		j.OnChange(c)
	}
}
