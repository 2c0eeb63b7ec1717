package answer

// bounded is a map of at most limit entries that evicts the oldest entry when it is full. It is
// not safe for concurrent use.
type bounded[K comparable, V any] struct {
	limit   int
	entries map[K]V
	// order is a ring buffer of the keys. When it is full, next is the index of the oldest key.
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
