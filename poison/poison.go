// Package poison recognizes requests that crash the targets that run them. It
// keeps the sub-requests in flight per target incarnation and turns observed
// deaths into suspects. It holds no sockets and no clock.
package poison

import (
	"encoding/binary"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabirelay/control"
)

const (
	// window is how long after a reset a new incarnation of the target confirms
	// its death. It exceeds the default time until a silent target is removed
	// (6 s) by one renewal period (2 s) with a margin.
	window = 10 * time.Second
	// maxSuspects bounds the fingerprints that are remembered on this host.
	maxSuspects = 4096
)

// Fingerprint returns 16 hexadecimal digits that identify the content of a
// request: the xxhash of the service, the route and the query. The length before
// each part keeps ("ab", "c") and ("a", "bc") apart.
func Fingerprint(service, route string, query []byte) string {
	h := xxhash.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(service), []byte(route), query} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Flight is a sub-request that has been sent to a target.
type Flight struct {
	Fingerprint string
	Service     string
	Target      string
	Incarnation string
	Shard       int
}

// Tracker follows sub-requests in flight and deaths of targets. The zero value
// is ready for use. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	next     uint64
	flights  map[uint64]Flight
	lives    map[life]map[uint64]struct{}
	resets   map[life]*reset
	suspects map[string]*suspect
}

// life is one incarnation of one target.
type life struct{ target, incarnation string }

// reset is a connection reset by a target whose death is not yet decided.
type reset struct {
	at       time.Time
	checking bool
	dead     bool
	// flights holds one flight per fingerprint that was in flight.
	flights map[string]Flight
}

// suspect holds the deaths that one fingerprint was seen at.
type suspect struct {
	until  time.Time
	deaths map[life]struct{}
}

// Begin records a sub-request that is about to be sent and returns its number.
func (t *Tracker) Begin(f Flight) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flights == nil {
		t.flights = map[uint64]Flight{}
		t.lives = map[life]map[uint64]struct{}{}
		t.resets = map[life]*reset{}
		t.suspects = map[string]*suspect{}
	}
	t.next++
	l := life{f.Target, f.Incarnation}
	if t.lives[l] == nil {
		t.lives[l] = map[uint64]struct{}{}
	}
	t.lives[l][t.next] = struct{}{}
	t.flights[t.next] = f
	return t.next
}

// End removes a sub-request. After a reset, Reset is called first.
func (t *Tracker) End(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.flights[number]
	if !ok {
		return
	}
	l := life{f.Target, f.Incarnation}
	delete(t.flights, number)
	delete(t.lives[l], number)
	if len(t.lives[l]) == 0 {
		delete(t.lives, l)
	}
}

// Reset records that the connection of a sub-request was reset after the request
// was sent. Every sub-request in flight to the same incarnation becomes a
// candidate. It reports whether the caller must check the target's health and
// pass the result to Checked.
func (t *Tracker) Reset(now time.Time, number uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.flights[number]
	if !ok {
		return false
	}
	l := life{f.Target, f.Incarnation}
	r := t.resets[l]
	if r == nil || (!r.dead && !r.checking && now.Sub(r.at) > window) {
		r = &reset{flights: map[string]Flight{}}
		t.resets[l] = r
	}
	if r.dead {
		return false
	}
	for n := range t.lives[l] {
		other := t.flights[n]
		r.flights[other.Fingerprint] = other
	}
	first := !r.checking
	r.at, r.checking = now, true
	return first
}

// Checked passes on whether the target answered its health check after a reset,
// and returns the suspects to report if it did not. hold is how long a suspect
// is remembered on this host.
func (t *Tracker) Checked(now time.Time, target, incarnation string, alive bool, hold time.Duration) []control.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := life{target, incarnation}
	r := t.resets[l]
	if r == nil || r.dead {
		return nil
	}
	r.checking = false
	if alive {
		return nil
	}
	return t.died(now, l, r, hold)
}

// Observe compares the incarnations that live now with the targets that reset a
// connection, and returns the suspects of those that came back as a new
// incarnation. A target that is absent from the view has not come back.
func (t *Tracker) Observe(now time.Time, current func(target string) (incarnation string, ok bool), hold time.Duration) []control.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []control.SuspectRequest
	for l, r := range t.resets {
		incarnation, ok := current(l.target)
		switch {
		case !r.dead && ok && incarnation != l.incarnation:
			out = append(out, t.died(now, l, r, hold)...)
		case !r.checking && now.Sub(r.at) > window:
			delete(t.resets, l)
		}
	}
	return out
}

// Deaths returns the number of distinct deaths that the fingerprint was seen at
// on this host. A reset whose health check is still running counts, because a
// retry would otherwise be sent before the check ends.
func (t *Tracker) Deaths(now time.Time, fingerprint string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	if s := t.suspects[fingerprint]; s != nil && now.Before(s.until) {
		n = len(s.deaths)
	}
	for _, r := range t.resets {
		if _, in := r.flights[fingerprint]; in && r.checking && !r.dead {
			n++
		}
	}
	return n
}

func (t *Tracker) died(now time.Time, l life, r *reset, hold time.Duration) []control.SuspectRequest {
	r.dead, r.checking, r.at = true, false, now
	out := make([]control.SuspectRequest, 0, len(r.flights))
	for fingerprint, f := range r.flights {
		t.suspect(now, fingerprint, l, hold)
		out = append(out, control.SuspectRequest{
			Fingerprint: fingerprint, Service: f.Service, Target: f.Target, Incarnation: f.Incarnation, Shard: f.Shard,
		})
	}
	r.flights = nil
	return out
}

func (t *Tracker) suspect(now time.Time, fingerprint string, l life, hold time.Duration) {
	s := t.suspects[fingerprint]
	if s == nil || !now.Before(s.until) {
		t.makeRoom(now)
		s = &suspect{deaths: map[life]struct{}{}}
		t.suspects[fingerprint] = s
	}
	s.until = now.Add(hold)
	s.deaths[l] = struct{}{}
}

// makeRoom removes expired suspects, and the one that expires first if none has.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest string
	for fingerprint, s := range t.suspects {
		if !now.Before(s.until) {
			delete(t.suspects, fingerprint)
		} else if oldest == "" || s.until.Before(t.suspects[oldest].until) {
			oldest = fingerprint
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, oldest)
	}
}
