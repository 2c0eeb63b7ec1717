package move

import (
	"sync/atomic"

	"wasabirelay/route"
)

const (
	// lostShare is the share of sub-requests without a reply above which the links of this host
	// count as impaired, if minLost or more are lost.
	lostShare = 0.2
	minLost   = 3
)

// links judges by the sub-requests to all targets but those of new versions whether this host has
// lost its links to targets, so that a missing reply says nothing of the target.
type links struct {
	replied, lost atomic.Int64
}

func (l *links) observe(o route.Outcome) {
	switch {
	case o == route.Cancelled:
	case o.HasReply():
		l.replied.Add(1)
	default:
		l.lost.Add(1)
	}
}

// takeImpaired reports whether the links were impaired since the last call.
func (l *links) takeImpaired() bool {
	replied, lost := l.replied.Swap(0), l.lost.Swap(0)
	return lost >= minLost && float64(lost) > lostShare*float64(replied+lost)
}
