package rank

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLeft is the share of the time that a caller has left for which it waits at most.
	maxLeft = 1.0 / 3
	// crowdTime is the time constant within which refusals count as those of one crowd.
	crowdTime = time.Second
	// maxCallers bounds the callers that are remembered, in entries of about 100 bytes.
	maxCallers = 4096
	// callerTTL is how long a caller is remembered after its last refusal: about the time that callers have.
	callerTTL = 10 * time.Second
	// forgetInterval is how often callers to forget are searched: all are looked at.
	forgetInterval = 100 * time.Millisecond
	// tolerance is how much earlier than told a caller may come back: the time until the refusal has reached it counts.
	tolerance = 10 * time.Millisecond
	// maxEarly is the number of early returns, which decays with callerTTL, beyond which a caller counts as repeating.
	maxEarly = 2
)

// Returns decides when refused callers return, and recognises them. It answers the load of a crowd that is refused
// together: told the same delay, it would come back together and be refused again. It is safe for concurrent use.
type Returns struct {
	mu      sync.Mutex
	refused [Count]float64
	served  float64
	updated time.Time
	callers map[Caller]*record
	// newest is when a caller was last refused, searched when forgetOld has last searched.
	newest, searched time.Time
}

// Caller identifies a caller by its address. Port and Content tell apart the callers of one address: requests on the
// same connection, or with the same content on any, are those of the same caller. One of them is zero.
type Caller struct {
	Address netip.Addr
	Port    uint16
	Content uint64
}

// record is what is remembered of a caller.
type record struct {
	// due is when the caller was told to return, last its last refusal.
	due, last time.Time
	early     float64
	waiting   bool
}

// Served records that a request was answered.
func (r *Returns) Served(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.served++
}

// After returns when the caller of a refused request may return: wait is when room for its rank is expected, left the
// time that the caller has. Those refused lately return at the rate at which requests are served, higher ranks first,
// and in a rank spread by the request's ID.
func (r *Returns) After(now time.Time, t *Terms, wait, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	own := t.index()
	r.refused[own]++
	turn := crowdTime.Seconds() / max(1, r.served)
	before := 0.0
	for i := range own {
		before += r.refused[i]
	}
	spread := float64(xxhash.Sum64String(t.ID)>>11) / (1 << 53) // from 0 to 1
	after := wait + time.Duration((before+spread*r.refused[own])*turn*float64(time.Second))
	most := time.Duration(maxLeft * float64(left))
	if after <= most {
		return after
	}
	// The crowd doesn't fit into the time that callers wait: it is spread over the second half of that.
	return max(0, most/2+time.Duration(spread*float64(most/2)))
}

// Refuse remembers that a caller was told to return after a delay.
func (r *Returns) Refuse(now time.Time, after time.Duration, callers ...Caller) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = now
	for _, c := range callers {
		known := r.callers[c]
		if known == nil {
			if len(r.callers) >= maxCallers && !r.forgetOld(now) {
				continue
			}
			if r.callers == nil {
				r.callers = map[Caller]*record{}
			}
			known = &record{last: now}
			r.callers[c] = known
		}
		known.early *= decay(now.Sub(known.last), callerTTL)
		known.due, known.last, known.waiting = now.Add(after), now, true
	}
}

// Arrive returns the standing of the caller of a request that arrives now.
func (r *Returns) Arrive(now time.Time, callers ...Caller) Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	standing := Newcomer
	for _, c := range callers {
		known := r.callers[c]
		if known == nil || now.Sub(known.last) > callerTTL {
			continue
		}
		early := now.Add(tolerance).Before(known.due)
		switch {
		case known.waiting && early:
			known.early++
		case known.waiting && standing == Newcomer:
			standing = Returned
		}
		known.waiting = early && known.waiting
		if known.early > maxEarly {
			standing = Repeating
		}
	}
	return standing
}

// Known reports whether any caller is remembered.
func (r *Returns) Known(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.callers) > 0 && now.Sub(r.newest) <= callerTTL
}

// forgetOld removes callers that were not refused lately. It reports whether there were any.
func (r *Returns) forgetOld(now time.Time) bool {
	if now.Sub(r.searched) < forgetInterval {
		return false
	}
	r.searched = now
	before := len(r.callers)
	for c, known := range r.callers {
		if now.Sub(known.last) > callerTTL {
			delete(r.callers, c)
		}
	}
	return len(r.callers) < before
}

// advance lets the counts decay.
func (r *Returns) advance(now time.Time) {
	keep := decay(now.Sub(r.updated), crowdTime)
	r.updated = now
	r.served *= keep
	for i := range r.refused {
		r.refused[i] *= keep
	}
}
