// Package lease implements the leases under which entry hosts may dispatch work. The
// leader grants a lease, and the host measures it from the time at which it sent the
// request, so that the lease always ends at the host first. Neither side reads a
// clock: callers pass the time.
package lease

import (
	"slices"
	"time"
)

// driftDivisor determines how early a host ends its lease: by the length divided by
// driftDivisor. This covers clocks whose rates differ by up to 1%; NTP corrects rates
// by at most 0.05%.
const driftDivisor = 100

// Holder is the host's side of a lease. The zero value holds no lease. It is not
// safe for concurrent use.
type Holder struct {
	lastNumber uint64
	// pending holds the requests sent after the newest one that has a reply.
	pending []request
	start   time.Time
	length  time.Duration
}

// request is a renewal request that has no reply yet.
type request struct {
	number uint64
	sentAt time.Time
}

// maxPendingRequests limits the requests that wait for a reply. A host sends several per
// lease, and a reply to a request older than a lease has no effect.
const maxPendingRequests = 64

// Request records that a renewal request is sent now, and returns its number.
func (h *Holder) Request(now time.Time) uint64 {
	h.lastNumber++
	h.pending = append(h.pending, request{h.lastNumber, now})
	h.pending = h.pending[max(0, len(h.pending)-maxPendingRequests):]
	return h.lastNumber
}

// Reply records the leader's reply to a renewal request: the lease lasts for length
// from the time at which the request was sent. Replies to requests that are unknown,
// or older than the newest one that has a reply, are ignored. Reply reports whether
// the host holds a valid lease.
func (h *Holder) Reply(number uint64, length time.Duration, now time.Time) bool {
	i := slices.IndexFunc(h.pending, func(r request) bool { return r.number == number })
	if i >= 0 {
		h.start, h.length = h.pending[i].sentAt, length-length/driftDivisor
		h.pending = slices.Delete(h.pending, 0, i+1)
	}
	return h.Valid(now)
}

// Valid reports whether the host holds a lease at the time now.
func (h *Holder) Valid(now time.Time) bool {
	return h.length > 0 && elapsed(h.start, now) < h.length
}

// Until returns the time at which the lease ends or ended; the zero time if there was none.
func (h *Holder) Until() time.Time {
	if h.length <= 0 {
		return time.Time{}
	}
	return h.start.Add(h.length)
}

// elapsed returns the longer of the durations that the monotonic and the wall clock
// show. The monotonic clock may stop while the host is suspended, and the wall clock
// may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
