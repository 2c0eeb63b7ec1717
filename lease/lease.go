// Package lease decides which entry hosts may give out work. The leader grants a
// lease that a host measures from its own send time, so that the lease always
// ends first at the host. Both sides are pure: callers pass the time.
package lease

import (
	"slices"
	"time"
)

// driftDivisor is the part of a lease, as a divisor, by which the host ends it
// early. It covers clocks whose rates differ by up to 1%; NTP corrects rates by
// at most 0.05%.
const driftDivisor = 100

// Holder is the host's side of a lease. The zero value holds no lease. It is not
// safe for concurrent use.
type Holder struct {
	lastNumber uint64
	// pending holds the requests after the last one that was answered.
	pending []request
	start   time.Time
	length  time.Duration
}

// request is a renewal that has no reply yet.
type request struct {
	number uint64
	sentAt time.Time
}

// maxPendingRequests bounds the requests that wait for a reply. A host sends several per
// lease, and replies to requests older than a lease are of no use.
const maxPendingRequests = 64

// Request notes that a renewal is sent now and returns its number.
func (h *Holder) Request(now time.Time) uint64 {
	h.lastNumber++
	h.pending = append(h.pending, request{h.lastNumber, now})
	h.pending = h.pending[max(0, len(h.pending)-maxPendingRequests):]
	return h.lastNumber
}

// Reply notes the leader's reply to a renewal: the lease lasts for length from
// the time at which the request was sent. Replies to requests that are unknown or
// older than the last one that was answered are ignored. It reports whether the
// host holds a valid lease.
func (h *Holder) Reply(number uint64, length time.Duration, now time.Time) bool {
	i := slices.IndexFunc(h.pending, func(r request) bool { return r.number == number })
	if i >= 0 {
		h.start, h.length = h.pending[i].sentAt, length-length/driftDivisor
		h.pending = slices.Delete(h.pending, 0, i+1)
	}
	return h.Valid(now)
}

// Valid reports whether the host holds a lease at the time.
func (h *Holder) Valid(now time.Time) bool {
	return h.length > 0 && elapsed(h.start, now) < h.length
}

// Until returns when the lease ends; the zero time if there was none.
func (h *Holder) Until() time.Time {
	if h.length <= 0 {
		return time.Time{}
	}
	return h.start.Add(h.length)
}

// elapsed returns the larger of the times that the monotonic and the wall clock
// show. The monotonic clock may stand still while a machine is suspended, and the
// wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
