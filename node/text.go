package node

import (
	"bytes"
	"sync"

	"wasabirelay/control"
)

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
