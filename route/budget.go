package route

import (
	"sync"
	"time"
)

// defaultCapacity is the capacity of a budget unless SetCapacity sets another.
const defaultCapacity = 10

const (
	// earlyShare is the fraction of the budget's share that early hedges may use. With hedges
	// at the 0.95 quantile and a share of 0.05, ordinary sub-requests alone would use the
	// whole budget and leave nothing for those that a straggler delays.
	earlyShare = 0.6
	// earlyCapacity is the capacity of a budget for early hedges.
	earlyCapacity = 2
	// chargeSpans is the number of spans that a window is divided into: extra sub-requests of one
	// span expire together.
	chargeSpans = 20
)

// Budget limits the extra sub-requests of a service, hedges and retries together, to a share
// of the first sub-requests plus a constant, its capacity. The full capacity is available at
// the start, unless SetCapacity starts it empty. With a window, the limit applies to each span of
// that length: the capacity that an extra sub-request has used becomes available again after it. A
// capacity below 1 allows no extra sub-request by itself, but the share of the first ones still does.
// It is safe for concurrent use.
type Budget struct {
	// configured is the capacity set by SetCapacity. It applies if isConfigured is true.
	configured   float64
	isConfigured bool
	window       time.Duration

	mu    sync.Mutex
	spent float64 // used part of the capacity
	// reserved is the number of extra sub-requests that are allowed but not sent yet. Each occupies the
	// capacity for a whole one, also if it was earned: it counts in the window in which it is sent.
	reserved int
	// earned is the share of first sub-requests that is saved up for one extra sub-request if the
	// capacity doesn't allow any. It is used only with a window.
	earned float64
	// charges divides spent by time, the oldest first. It is used only with a window.
	charges []charge
	early   float64 // used part of earlyCapacity; early hedges count in spent too
	sent    int64   // first sub-requests that are not credited yet
	refused uint64
}

// charge is the part of the capacity that the extra sub-requests of one span have used.
type charge struct {
	at     time.Time
	amount float64
}

// CountFirst records that a first sub-request was sent.
func (b *Budget) CountFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
}

// Spend takes one extra sub-request from the budget and reports whether the budget allowed it.
// The share is the ratio of extra to first sub-requests; 0 refuses all.
func (b *Budget) Spend(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, share) {
		return false
	}
	b.charge(now, b.take())
	return true
}

// Extra is an extra sub-request that the budget allows and that is not sent yet. Its first method
// call ends it. A nil Extra stands for a sub-request that needs no budget.
type Extra struct {
	budget *Budget
	amount float64
	ended  bool
}

// Reserve is Spend for an extra sub-request that may be sent later or not at all. It returns nil if
// the budget doesn't allow it. The caller must end the result.
func (b *Budget) Reserve(now time.Time, share float64) *Extra {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, share) {
		return nil
	}
	e := &Extra{budget: b, amount: b.take()}
	b.reserved++
	return e
}

// Sent records that the sub-request is about to be sent.
func (e *Extra) Sent(now time.Time) {
	if e.end() {
		e.budget.charge(now, e.amount)
		e.budget.mu.Unlock()
	}
}

// Return makes the capacity available again: the sub-request was not and will not be sent.
func (e *Extra) Return() {
	if e.end() {
		e.budget.mu.Unlock()
	}
}

// end reports whether the reservation ends now. It holds the lock of the budget then.
func (e *Extra) end() bool {
	if e == nil {
		return false
	}
	e.budget.mu.Lock()
	if e.ended {
		e.budget.mu.Unlock()
		return false
	}
	e.ended = true
	e.budget.reserved--
	return true
}

// SpendEarly is Spend for the first hedge of a sub-request. It reserves some of the budget for
// sub-requests that take even longer.
func (b *Budget) SpendEarly(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(now, share) {
		return false
	}
	if b.early+1 > earlyCapacity {
		b.refused++
		return false
	}
	b.charge(now, b.take())
	b.early++
	return true
}

// allows reports whether the budget allows one extra sub-request now, and counts it as refused otherwise.
func (b *Budget) allows(now time.Time, share float64) bool {
	b.expire(now)
	b.credit(share)
	if share <= 0 || b.missing() > b.earned {
		b.refused++
		return false
	}
	return true
}

// take takes one extra sub-request. It uses what is earned for the part that the capacity doesn't allow,
// and returns the other part.
func (b *Budget) take() (ofCapacity float64) {
	missing := b.missing()
	b.earned -= missing
	return 1 - missing
}

// missing returns the part of one extra sub-request that the capacity doesn't allow.
func (b *Budget) missing() float64 { return max(0, b.spent+float64(b.reserved)+1-b.capacity()) }

// charge uses a part of the capacity.
func (b *Budget) charge(now time.Time, amount float64) {
	b.spent += amount
	if b.window <= 0 || amount <= 0 { // expire releases positive amounts only
		return
	}
	if last := len(b.charges) - 1; last >= 0 && now.Sub(b.charges[last].at) < b.window/chargeSpans {
		b.charges[last].amount += amount
		return
	}
	b.charges = append(b.charges, charge{now, amount})
}

// release makes used capacity available again, that of the oldest charges first.
func (b *Budget) release(amount float64) {
	b.spent = max(0, b.spent-amount)
	for len(b.charges) > 0 && amount > 0 {
		oldest := &b.charges[0]
		if oldest.amount > amount {
			oldest.amount -= amount
			return
		}
		amount -= oldest.amount
		b.charges = b.charges[1:]
	}
}

// expire releases what was charged more than a window ago.
func (b *Budget) expire(now time.Time) {
	for len(b.charges) > 0 && now.Sub(b.charges[0].at) >= b.window+b.window/chargeSpans {
		b.release(b.charges[0].amount)
	}
}

// credit adds the share of the first sub-requests that were sent since the last call.
func (b *Budget) credit(share float64) {
	if share <= 0 {
		return
	}
	amount := share * float64(b.sent)
	if b.window > 0 {
		b.earned = min(b.earned+max(0, amount-b.spent), max(0, 1-b.capacity()))
	}
	b.release(amount)
	b.early = max(0, b.early-earlyShare*share*float64(b.sent))
	b.sent = 0
}

// SetCapacity sets the number of extra sub-requests that the budget allows beyond its share in
// any span of the length of the window, or for good if the window is 0. If empty is true, a first or
// risen capacity is not available yet, because the previous process may have just used it.
func (b *Budget) SetCapacity(now time.Time, capacity float64, window time.Duration, empty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	risen := capacity > b.configured
	b.configured, b.isConfigured, b.window = capacity, true, window
	if risen && empty {
		b.charge(now, max(0, capacity-b.spent))
	}
	if window <= 0 { // with a window, what was used before a reduction becomes available after it
		b.release(max(0, b.spent-capacity))
	}
}

func (b *Budget) capacity() float64 {
	if !b.isConfigured {
		return defaultCapacity
	}
	return b.configured
}
