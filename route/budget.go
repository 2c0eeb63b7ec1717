package route

import "sync"

// burst is the capacity of a budget unless Limit sets another.
const burst = 10

const (
	// earlyShare is the part of the share that early hedges may take. With a hedge at
	// the 0.95 quantile and a share of 0.05, ordinary sub-requests alone would use all
	// of it, and nothing would be left for those that a straggler holds.
	earlyShare = 0.6
	// earlyBurst is the capacity for early hedges.
	earlyBurst = 2
)

// Budget bounds the extra sub-requests of a service, hedges and retries alike, to
// a share of the first ones plus a constant. It starts full. It is safe for
// concurrent use.
type Budget struct {
	// ceiling is the constant by which the extra load may exceed its share in any span of
	// time; 0 stands for burst.
	ceiling float64

	mu      sync.Mutex
	spent   float64 // capacity that is used up
	early   float64 // the same of early hedges, which count in spent too
	sent    int64   // first sub-requests that are not yet credited
	refused uint64
}

// CountFirst records that a first sub-request was sent.
func (b *Budget) CountFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
}

// Spend takes one extra sub-request from the budget and reports whether there was
// room. The share is that of extra sub-requests to first ones; 0 refuses all.
func (b *Budget) Spend(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(share)
	if share <= 0 || b.spent+1 > b.capacity() {
		b.refused++
		return false
	}
	b.spent++
	return true
}

// SpendEarly is Spend for the first attempt to hedge a sub-request. It leaves a part of
// the budget to those that take longer still.
func (b *Budget) SpendEarly(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(share)
	if share <= 0 || b.spent+1 > b.capacity() || b.early+1 > earlyBurst {
		b.refused++
		return false
	}
	b.spent++
	b.early++
	return true
}

// credit adds the part of the first sub-requests that were sent since.
func (b *Budget) credit(share float64) {
	if share <= 0 {
		return
	}
	b.spent = max(0, b.spent-share*float64(b.sent))
	b.early = max(0, b.early-earlyShare*share*float64(b.sent))
	b.sent = 0
}

// SetCapacity sets the constant by which the extra load may exceed its share. With empty,
// the first call empties the budget: the process before this one may have just used
// it.
func (b *Budget) SetCapacity(ceiling float64, empty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ceiling == 0 && empty {
		b.spent = ceiling
	}
	b.ceiling = ceiling
	b.spent = min(b.spent, ceiling)
}

func (b *Budget) capacity() float64 {
	if b.ceiling == 0 {
		return burst
	}
	return b.ceiling
}
