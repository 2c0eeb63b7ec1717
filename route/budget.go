package route

import "sync"

// burst is the capacity of a budget: the constant by which the extra load may
// exceed its share.
const burst = 10

// Budget bounds the extra sub-requests of a service, hedges and retries alike, to
// a share of the first ones plus a constant. It starts full. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	spent   float64 // capacity that is used up: burst minus the tokens
	sent    int64   // first sub-requests that are not yet credited
	refused uint64
}

// Sent records that a first sub-request was sent.
func (b *Budget) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
}

// Extra takes one extra sub-request from the budget and reports whether there was
// room. The share is that of extra sub-requests to first ones; 0 refuses all.
func (b *Budget) Extra(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share > 0 {
		b.spent = max(0, b.spent-share*float64(b.sent))
		b.sent = 0
		if b.spent+1 <= burst {
			b.spent++
			return true
		}
	}
	b.refused++
	return false
}
