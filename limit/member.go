package limit

import (
	"container/heap"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result is how a sub-request ended, as far as the in-flight limit is concerned.
type Result int

// Values of Result.
const (
	// Succeeded means that the target ran the sub-request.
	Succeeded Result = iota
	// Shed means that the target refused because it has too much work.
	Shed
	// Failed stands for every other end; it does not change the limit.
	Failed
)

const (
	// decrease is the factor of the in-flight limit after a shed reply.
	decrease = 0.7
	// timeWeight is the weight of a sample in the mean time of a sub-request.
	timeWeight = 0.1
)

// errRetired is the cause if a target went away while a connection was awaited.
var errRetired = errors.New("the target is gone or has a new incarnation")

// member is the state of one target incarnation.
type member struct {
	pool        *Pool
	incarnation string
	address     netip.AddrPort

	mu      sync.Mutex
	share   Share
	retired bool

	// inUse counts permits, and cancelled sub-requests whose reply is awaited.
	inUse int
	// limit is the adaptive in-flight limit, decreased the time of its last decrease.
	limit     float64
	decreased time.Time
	// reached is when the limit was last reached.
	reached time.Time
	// mean is the mean time that a permit is held.
	mean  time.Duration
	queue waiters

	// idle holds open connections, the last one used most recently.
	idle []*connection
	// open counts connections, opening those of them that are being opened.
	open, opening int
	// wanting holds the sub-requests that wait for a connection, in order.
	wanting []chan delivery
	// quiet is the time until which no connection is opened ahead, after pause.
	quiet time.Time
	pause time.Duration
	// unneeded states that a connection has expired unused since the last use.
	unneeded bool

	stats TargetStats
}

// Permit allows one sub-request to a target at a time.
type Permit struct {
	member   *member
	granted  time.Time
	released bool
	// holders counts the owner and the cancelled sub-requests whose reply is awaited.
	holders int
}

// startLimit is the in-flight limit of a target before any reply: its slots,
// because nothing is known about the load from other hosts.
func startLimit(s Share) float64 {
	if s.Slots <= 0 {
		return max(1, float64(s.Connections))
	}
	return float64(s.Slots)
}

// resize sets the share of the same incarnation.
func (m *member) resize(s Share) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.share = s
	for len(m.idle) > 0 && (s.CloseAfterUse || m.open > s.Connections) {
		m.drop(m.idle[0])
		m.idle = m.idle[1:]
	}
	m.serve()
	m.fill()
}

// retire refuses everything that waits and closes idle connections.
func (m *member) retire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retired = true
	for m.queue.Len() > 0 {
		m.queue.pop().ready <- admitted{err: &RefusedError{Reason: NoShare}}
	}
	for _, c := range m.idle {
		m.drop(c)
	}
	m.idle = nil
	for _, w := range m.wanting {
		w <- delivery{err: errRetired}
	}
	m.wanting = nil
}

// room reports whether one more sub-request may be in flight.
func (m *member) room() bool {
	return m.inUse < m.ceiling()
}

func (m *member) ceiling() int {
	return min(int(m.limit), m.share.Connections)
}

func (m *member) acquire(ctx context.Context) (*Permit, *RefusedError) {
	now := m.pool.clock().Now()
	deadline, bounded := ctx.Deadline()
	m.mu.Lock()
	if m.retired || m.share.Connections <= 0 {
		m.mu.Unlock()
		return nil, &RefusedError{Reason: NoShare}
	}
	if m.room() && m.queue.Len() == 0 {
		defer m.mu.Unlock()
		return m.grant(now), nil
	}
	if wait := m.expectedWait(deadline, bounded); bounded && now.Add(wait+m.mean).After(deadline) {
		m.stats.Refused++
		m.mu.Unlock()
		return nil, &RefusedError{Reason: TooLate, Wait: wait}
	}
	w := &waiter{since: now, deadline: deadline, bounded: bounded, ready: make(chan admitted, 1)}
	heap.Push(&m.queue, w)
	m.stats.Waits++
	m.mu.Unlock()
	return m.await(ctx, w)
}

// await waits for the waiter's turn.
func (m *member) await(ctx context.Context, w *waiter) (*Permit, *RefusedError) {
	select {
	case a := <-w.ready:
		return a.permit, a.err
	case <-ctx.Done():
	}
	m.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&m.queue, w.index)
		m.stats.Refused++
	}
	m.mu.Unlock()
	select {
	case a := <-w.ready: // granted in the meantime
		if a.permit != nil {
			a.permit.Release(Failed)
		}
	default:
	}
	return nil, &RefusedError{Reason: ContextEnded, Err: ctx.Err()}
}

// expectedWait is the time until a waiter with the deadline has its turn, from the
// measured time per sub-request.
func (m *member) expectedWait(deadline time.Time, bounded bool) time.Duration {
	ahead := m.queue.ahead(deadline, bounded)
	return m.mean * time.Duration(ahead+1) / time.Duration(max(1, m.ceiling()))
}

func (m *member) grant(now time.Time) *Permit {
	m.inUse++
	if !m.room() {
		m.reached = now
	}
	return &Permit{member: m, granted: now, holders: 1}
}

// serve grants permits to waiters, earliest deadline first, and refuses those that
// can't be answered in time any more.
func (m *member) serve() {
	now := m.pool.clock().Now()
	for m.queue.Len() > 0 && m.room() {
		w := m.queue.pop()
		if w.bounded && now.Add(m.mean).After(w.deadline) {
			m.stats.Refused++
			w.ready <- admitted{err: &RefusedError{Reason: TooLate, Wait: m.mean}}
			continue
		}
		m.stats.Waited += now.Sub(w.since)
		w.ready <- admitted{permit: m.grant(now)}
	}
}

// Release returns the permit. Later calls have no effect.
func (r *Permit) Release(o Result) {
	m := r.member
	now := m.pool.clock().Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	held := now.Sub(r.granted)
	switch o {
	case Succeeded:
		m.succeeded(r)
		m.took(held)
	case Shed:
		m.shed(now, r)
	case Failed:
		if held > m.mean { // the sub-request would have taken at least as long
			m.took(held)
		}
	}
	r.leave()
}

// succeeded adds one to the limit per limit sub-requests that were in flight while
// the limit was reached.
func (m *member) succeeded(r *Permit) {
	if !m.reached.Before(r.granted) {
		m.limit = min(m.limit+1/m.limit, max(m.limit, float64(m.share.Connections)))
	}
}

// took records how long a permit was held.
func (m *member) took(held time.Duration) {
	if m.mean == 0 {
		m.mean = held
		return
	}
	m.mean += time.Duration(timeWeight * float64(held-m.mean))
}

// shed lowers the limit once for all shed replies to sub-requests that were sent
// before the last decrease had an effect.
func (m *member) shed(now time.Time, r *Permit) {
	if r.granted.Before(m.decreased) {
		return
	}
	m.limit = max(1, decrease*min(m.limit, float64(m.inUse)))
	m.decreased = now
}

// hold keeps the permit's place for a cancelled sub-request whose reply is awaited.
func (r *Permit) hold() {
	r.member.mu.Lock()
	defer r.member.mu.Unlock()
	r.holders++
}

// leave gives the place up once nobody holds it. The member is locked.
func (r *Permit) leave() {
	r.holders--
	if r.holders == 0 {
		r.member.inUse--
		r.member.serve()
	}
}
