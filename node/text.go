package node

import (
	"bytes"
	"sync"

	"wasabirelay/control"
)

// objectMemory and valueMemory are the memory of an object, for example a route, and of another value of a document that
// is decoded, in bytes. Each of them may have two bytes or three in the document.
const objectMemory, valueMemory = 1024, 64

// decodeMemory returns the memory that decoding a routing document takes.
func decodeMemory(source []byte) int64 {
	return int64(bytes.Count(source, []byte{'{'}))*objectMemory + int64(bytes.Count(source, []byte{','}))*valueMemory
}

// routingText holds the text of the routing document that was read last, so that all who read it at the same time share
// one copy. The zero value is ready to use.
type routingText struct {
	mu           sync.Mutex
	version      uint64
	packed, text []byte
}

// share replaces the source of a compressed document by its text, which must not be changed.
func (t *routingText) share(r *control.Routing) error {
	if !r.Packed {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version != r.Version || !bytes.Equal(t.packed, r.Source) {
		text, err := r.Text()
		if err != nil {
			return err
		}
		t.version, t.packed, t.text = r.Version, r.Source, text
	}
	r.Source, r.Packed = t.text, false
	return nil
}
