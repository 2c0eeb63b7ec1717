package route

import "sync"

// defaultCapacity is the capacity of a budget unless SetCapacity sets another.
const defaultCapacity = 10

const (
	// earlyShare is the fraction of the budget's share that early hedges may use. With hedges
	// at the 0.95 quantile and a share of 0.05, ordinary sub-requests alone would use the
	// whole budget and leave nothing for those that a straggler delays.
	earlyShare = 0.6
	// earlyCapacity is the capacity of a budget for early hedges.
	earlyCapacity = 2
)

// Budget limits the extra sub-requests of a service, hedges and retries together, to a share
// of the first sub-requests plus a constant, its capacity. The full capacity is available at
// the start, unless SetCapacity starts it empty. It is safe for concurrent use.
type Budget struct {
	// configured is the capacity set by SetCapacity; 0 stands for defaultCapacity.
	configured float64

	mu      sync.Mutex
	spent   float64 // used part of the capacity
	early   float64 // used part of earlyCapacity; early hedges count in spent too
	sent    int64   // first sub-requests that are not credited yet
	refused uint64
}

// CountFirst records that a first sub-request was sent.
func (b *Budget) CountFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
}

// Spend takes one extra sub-request from the budget and reports whether the budget allowed it.
// The share is the ratio of extra to first sub-requests; 0 refuses all.
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

// SpendEarly is Spend for the first hedge of a sub-request. It reserves some of the budget for
// sub-requests that take even longer.
func (b *Budget) SpendEarly(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(share)
	if share <= 0 || b.spent+1 > b.capacity() || b.early+1 > earlyCapacity {
		b.refused++
		return false
	}
	b.spent++
	b.early++
	return true
}

// credit adds the share of the first sub-requests that were sent since the last call.
func (b *Budget) credit(share float64) {
	if share <= 0 {
		return
	}
	b.spent = max(0, b.spent-share*float64(b.sent))
	b.early = max(0, b.early-earlyShare*share*float64(b.sent))
	b.sent = 0
}

// SetCapacity sets the number of extra sub-requests that the budget allows beyond its share in
// any span of time. If empty is true, the first call leaves no capacity available, because the
// previous process may have just used it.
func (b *Budget) SetCapacity(capacity float64, empty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.configured == 0 && empty {
		b.spent = capacity
	}
	b.configured = capacity
	b.spent = min(b.spent, capacity)
}

func (b *Budget) capacity() float64 {
	if b.configured == 0 {
		return defaultCapacity
	}
	return b.configured
}
