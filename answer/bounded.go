package answer

// bounded is a map that holds at most limit entries and evicts the oldest one to
// make room. It is not safe for concurrent use.
type bounded[K comparable, V any] struct {
	limit   int
	entries map[K]V
	// order is a ring of the keys; next is the oldest once the ring is full.
	order []K
	next  int
}

func (b *bounded[K, V]) put(k K, v V) {
	if b.entries == nil {
		b.entries = make(map[K]V, b.limit)
	}
	if _, known := b.entries[k]; !known {
		if len(b.order) < b.limit {
			b.order = append(b.order, k)
		} else {
			delete(b.entries, b.order[b.next])
			b.order[b.next] = k
			b.next = (b.next + 1) % b.limit
		}
	}
	b.entries[k] = v
}

func (b *bounded[K, V]) get(k K) (V, bool) {
	v, ok := b.entries[k]
	return v, ok
}
