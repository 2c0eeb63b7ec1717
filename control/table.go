package control

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// table is a map with a digest that each change updates, so that the digest of the state
// needs no pass over thousands of targets. Values are immutable: a change replaces them.
type table[V any] struct {
	items map[string]V
	sums  map[string]uint64
	// sum is the sum of all sums. It does not depend on the order of changes.
	sum uint64
}

func (t *table[V]) get(key string) (V, bool) {
	v, ok := t.items[key]
	return v, ok
}

func (t *table[V]) set(key string, v V) {
	if t.items == nil {
		t.items, t.sums = map[string]V{}, map[string]uint64{}
	}
	sum := checksum(key, v)
	t.sum += sum - t.sums[key]
	t.items[key], t.sums[key] = v, sum
}

func (t *table[V]) remove(key string) {
	t.sum -= t.sums[key]
	delete(t.items, key)
	delete(t.sums, key)
}

// keys returns the sorted keys.
func (t *table[V]) keys() []string { return sortedKeys(t.items) }

// checksum returns the xxhash of the key and the JSON form of the value.
func checksum(key string, v any) uint64 {
	data, err := json.Marshal(v)
	if err != nil {
		// Only a time or number without a JSON form fails; commands that contain one are
		// refused before they reach a table.
		data = []byte(err.Error())
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(data)
	return d.Sum64()
}
