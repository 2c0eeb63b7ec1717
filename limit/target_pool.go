package limit

import (
	"container/heap"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result is the outcome of a sub-request as far as the in-flight limit is concerned.
type Result int

// Values of Result.
const (
	// Succeeded means that the target processed the sub-request.
	Succeeded Result = iota
	// Shed means that the target refused because it is overloaded.
	Shed
	// Failed stands for every other outcome; it does not change the limit.
	Failed
)

const (
	// decreaseFactor is the factor that a shed reply multiplies the in-flight limit by.
	decreaseFactor = 0.7
	// heldWeight is the weight of one sample in the mean time that a permit is held.
	heldWeight = 0.1
)

// errRetired is the cause if the target was retired while a sub-request waited for a
// connection.
var errRetired = errors.New("the target is gone or has a new incarnation")

// targetPool holds the connections, the in-flight limit and the queue of one target
// incarnation.
type targetPool struct {
	pool        *Pool
	incarnation string
	address     netip.AddrPort

	mu      sync.Mutex
	share   Share
	retired bool

	// inUse counts the permits that are held, and cancelled sub-requests whose reply is still
	// pending.
	inUse int
	// limit is the adaptive in-flight limit, and lastDecrease the time of its last decrease.
	limit        float64
	lastDecrease time.Time
	// limitReached is when the limit was last reached.
	limitReached time.Time
	// meanHeld is the moving average of the time that a permit is held.
	meanHeld time.Duration
	queue    waiterQueue
	// ranked takes the place of queue if Pool.Contended.
	ranked rankedQueue

	// idle holds the open connections that are not in use, the most recently used one last.
	idle []*connection
	// open counts all connections, opening those of them that are still being opened.
	open, opening int
	// connectionWaiters holds the sub-requests that wait for a connection, in order of
	// arrival.
	connectionWaiters []connectionWaiter
	// backoffUntil is the time until which no connection is opened ahead of use, and backoff
	// the length of that period.
	backoffUntil time.Time
	backoff      time.Duration
	// expiredUnused is true if a connection has expired unused since the last use of the
	// target.
	expiredUnused bool

	// record is kept for the incarnation: another one may be sound.
	record record

	stats TargetStats
}

// Permit allows one sub-request to a target at a time.
type Permit struct {
	target   *targetPool
	granted  time.Time
	released bool
	// rank is that of the request, if Pool.Contended.
	rank int
	// holders counts the owner and the cancelled sub-requests whose reply is still pending.
	holders int
}

// initialLimit returns the in-flight limit of a target before any reply: its slots, because
// the load from other hosts is unknown.
func initialLimit(s Share) float64 {
	if s.Slots <= 0 {
		return max(1, float64(s.Connections))
	}
	return float64(s.Slots)
}

// setShare replaces the share of the same incarnation.
func (t *targetPool) setShare(s Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share = s
	for len(t.idle) > 0 && (s.CloseAfterUse || t.open > s.Connections) {
		t.drop(t.idle[0])
		t.idle = t.idle[1:]
	}
	t.grantWaiting()
	t.dialMissing()
}

// retire refuses everything that waits and closes the idle connections.
func (t *targetPool) retire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retired = true
	for t.queue.Len() > 0 {
		t.queue.pop().result <- permitResult{err: &RefusedError{Reason: NoShare}}
	}
	t.ranked.refuseAll()
	for _, c := range t.idle {
		t.drop(c)
	}
	t.idle = nil
	for _, w := range t.connectionWaiters {
		w.result <- connectionResult{err: errRetired}
	}
	t.connectionWaiters = nil
}

// hasRoom reports whether one more sub-request may be in flight.
func (t *targetPool) hasRoom() bool {
	return t.inUse < t.effectiveLimit()
}

// effectiveLimit returns the lower of the in-flight limit and the connection share.
func (t *targetPool) effectiveLimit() int {
	return min(int(t.limit), t.share.Connections)
}

func (t *targetPool) acquire(ctx context.Context) (*Permit, *RefusedError) {
	now := t.pool.clock().Now()
	deadline, bounded := ctx.Deadline()
	t.mu.Lock()
	if t.retired || t.share.Connections <= 0 {
		t.mu.Unlock()
		return nil, &RefusedError{Reason: NoShare}
	}
	if t.hasRoom() && t.queue.Len() == 0 {
		defer t.mu.Unlock()
		return t.grant(now), nil
	}
	if wait := t.expectedWait(deadline, bounded); bounded && now.Add(wait+t.meanHeld).After(deadline) {
		t.stats.Refused++
		t.mu.Unlock()
		return nil, &RefusedError{Reason: TooLate, Wait: wait}
	}
	w := &waiter{since: now, deadline: deadline, bounded: bounded, result: make(chan permitResult, 1)}
	heap.Push(&t.queue, w)
	t.stats.Waits++
	t.mu.Unlock()
	return t.await(ctx, w.result, func() bool {
		waits := w.index >= 0
		if waits {
			heap.Remove(&t.queue, w.index)
		}
		return waits
	})
}

// await waits until the request gets a permit or is refused. remove removes its waiter and reports whether it waited.
func (t *targetPool) await(ctx context.Context, result chan permitResult, remove func() bool) (*Permit, *RefusedError) {
	select {
	case a := <-result:
		return a.permit, a.err
	case <-ctx.Done():
	}
	t.mu.Lock()
	if remove() {
		t.stats.Refused++
	}
	t.mu.Unlock()
	select {
	case a := <-result: // the result arrived in the meantime
		if a.permit != nil {
			a.permit.Release(Failed)
		}
	default:
	}
	return nil, &RefusedError{Reason: ContextEnded, Err: ctx.Err()}
}

// expectedWait returns the time until a waiter with the deadline gets its permit, estimated
// from the mean time that permits are held.
func (t *targetPool) expectedWait(deadline time.Time, bounded bool) time.Duration {
	ahead := t.queue.ahead(deadline, bounded)
	return t.meanHeld * time.Duration(ahead+1) / time.Duration(max(1, t.effectiveLimit()))
}

func (t *targetPool) grant(now time.Time) *Permit {
	t.inUse++
	if !t.hasRoom() {
		t.limitReached = now
	}
	return &Permit{target: t, granted: now, holders: 1}
}

// grantWaiting grants permits to waiters, earliest deadline first, and refuses those that can
// no longer be answered in time.
func (t *targetPool) grantWaiting() {
	now := t.pool.clock().Now()
	if t.pool.Contended {
		t.grantRanked(now)
		return
	}
	for t.queue.Len() > 0 && t.hasRoom() {
		w := t.queue.pop()
		if w.bounded && now.Add(t.meanHeld).After(w.deadline) {
			t.stats.Refused++
			w.result <- permitResult{err: &RefusedError{Reason: TooLate, Wait: t.meanHeld}}
			continue
		}
		t.stats.Waited += now.Sub(w.since)
		w.result <- permitResult{permit: t.grant(now)}
	}
}

// Release returns the permit. Further calls have no effect.
func (p *Permit) Release(o Result) {
	t := p.target
	now := t.pool.clock().Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	held := now.Sub(p.granted)
	switch o {
	case Succeeded:
		t.increaseLimit(p)
		t.observeHeld(held)
		t.ranked.Observe(p.rank, held)
	case Shed:
		t.decreaseLimit(now, p)
	case Failed:
		if held > t.meanHeld { // the sub-request would have taken at least as long
			t.observeHeld(held)
		}
		t.ranked.ObserveFailed(p.rank, held)
	}
	p.removeHolder()
}

// increaseLimit raises the limit by 1/limit, so by about 1 for each full set of concurrent
// sub-requests. Only sub-requests that were in flight while the limit was reached count.
func (t *targetPool) increaseLimit(p *Permit) {
	if !t.limitReached.Before(p.granted) {
		t.limit = min(t.limit+1/t.limit, max(t.limit, float64(t.share.Connections)))
	}
}

// observeHeld records how long a permit was held.
func (t *targetPool) observeHeld(held time.Duration) {
	if t.meanHeld == 0 {
		t.meanHeld = held
		return
	}
	t.meanHeld += time.Duration(heldWeight * float64(held-t.meanHeld))
}

// decreaseLimit lowers the limit. Shed replies to sub-requests that were sent before the last
// decrease took effect do not lower it again.
func (t *targetPool) decreaseLimit(now time.Time, p *Permit) {
	if p.granted.Before(t.lastDecrease) {
		return
	}
	t.limit = max(1, decreaseFactor*min(t.limit, float64(t.inUse)))
	t.lastDecrease = now
}

// addHolder keeps the permit's in-flight slot for a cancelled sub-request whose reply is
// pending.
func (p *Permit) addHolder() {
	p.target.mu.Lock()
	defer p.target.mu.Unlock()
	p.holders++
}

// removeHolder frees the in-flight slot once there is no holder left. The caller holds the
// lock of the target pool.
func (p *Permit) removeHolder() {
	p.holders--
	if p.holders == 0 {
		p.target.inUse--
		p.target.grantWaiting()
	}
}
