package limit

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a sub-request that may run once on a connection that has carried it, against one that
// waits for ever because the share is used up, and against needless new connections for others.
func TestSameIDUsesAnotherConnection(t *testing.T) {
	for _, tt := range []struct {
		name        string
		connections int
		once        bool
		ids         []string
		dials       int64
	}{
		{"different ones", 1, true, []string{"a", "b", "c"}, 1},
		{"may run once, share of one", 1, true, []string{"a", "a", "b", "a"}, 3},
		{"may run once", 4, true, []string{"a", "a", "b", "a"}, 3},
		{"idempotent, share of one", 1, false, []string{"a", "a", "b"}, 1},
		{"without an identity", 1, true, []string{"", "", ""}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.connections, echo)
			for _, id := range tt.ids {
				permit := h.acquire(t)
				req, err := http.NewRequest(http.MethodGet, "http://t0/", nil)
				is.NoErr(err)
				bytes := []byte("GET / HTTP/1.1\r\nHost: t0\r\n\r\n")
				_, err = h.pool.Send(t.Context(), permit, &EncodedRequest{Request: req, Bytes: bytes, ID: id, Once: tt.once}, nil)
				is.NoErr(err)
				permit.Release(Succeeded)
			}
			is.Equal(h.dials.Load(), tt.dials)
			is.True(h.maxOpen.Load() <= int64(tt.connections))
		})
	}
}

// Guards against a connection that forgets the latest identities, or remembers without bound.
func TestSentIDs(t *testing.T) {
	is := is.New(t)
	var s sentIDs
	s.add(0)
	is.Equal(len(s.ids), 0)
	const n = 3 * maxSentIDs
	for id := range uint64(n) {
		s.add(id + 1)
	}
	is.Equal(len(s.ids), maxSentIDs)
	is.True(s.has(n))
	is.True(s.has(n - maxSentIDs + 1))
	is.True(!s.has(n - maxSentIDs))
}
