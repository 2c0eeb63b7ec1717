// Package poison recognizes requests that crash the targets that run them. It
// keeps the sub-requests in flight per target incarnation and turns observed
// deaths into suspects. It holds no sockets and no clock.
//
// A death may have another cause, and a request that is sent often is in flight at
// most deaths. A death is therefore confirmed only if a second target of the same
// shard dies of the request, or if no target answers it for that shard within GracePeriod.
// Its caller may have sent it through other hosts by then, so the death is reported
// early as well, unless a target has answered the request for that shard lately.
package poison

import (
	"encoding/binary"
	"encoding/hex"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabirelay/control"
)

// GracePeriod is how long a reply for the same shard clears a suspect after a death. It
// is the default deadline of a query, in which a retry or the next copy of a
// harmless request is answered.
const GracePeriod = time.Second

const (
	// window is how long after a reset a new incarnation of the target confirms
	// its death. It exceeds the default time until a silent target is removed
	// (6 s) by one renewal period (2 s) with a margin.
	window = 10 * time.Second
	// term is how long an early report counts in the replicated state.
	term = 5 * time.Second
	// again is the least time between two withdrawals of a part by this host. It
	// exceeds the way of a command to the view many times.
	again = 500 * time.Millisecond
	// maxEarly bounds the early reports of one death, because each is a part of a
	// command in the log. A death with more new requests in flight is not explained
	// by one of them until it is confirmed.
	maxEarly = 64
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

// SubRequest is a sub-request that has been sent to a target.
type SubRequest struct {
	Fingerprint string
	Service     string
	Target      string
	Incarnation string
	Shard       int
}

// Tracker follows sub-requests in flight and deaths of targets. The zero value
// is ready for use. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	next    uint64
	flights map[uint64]SubRequest
	lives   map[life]map[uint64]struct{}
	resets  map[life]*reset
	// undecided is the number of resets without a death.
	undecided int
	pending   map[part]*pending
	suspects  map[string]*suspect
	answers   answers
	// shared holds the parts that this host has reported early, until the report is
	// withdrawn or no longer counts.
	shared map[part]time.Time
	// withdrawn holds until when a part is not withdrawn again.
	withdrawn map[part]time.Time
}

// part is one request for one shard.
type part struct {
	fingerprint string
	shard       int
}

// pending holds the deaths of a part that are not yet reported.
type pending struct {
	due    time.Time
	hold   time.Duration
	deaths []control.SuspectRequest
}

// life is one incarnation of one target.
type life struct{ target, incarnation string }

// reset is a connection reset by a target whose death is not yet decided.
type reset struct {
	at       time.Time
	checking bool
	dead     bool
	// flights holds one flight per part that was in flight.
	flights map[part]SubRequest
	// answered holds the parts that were answered while the health check ran.
	answered map[part]bool
}

// suspect holds the reported deaths of one fingerprint with their shards.
type suspect struct {
	until  time.Time
	deaths map[life]int
}

// Begin records a sub-request that is about to be sent and returns its number.
func (t *Tracker) Begin(f SubRequest) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flights == nil {
		t.flights = map[uint64]SubRequest{}
		t.lives = map[life]map[uint64]struct{}{}
		t.resets = map[life]*reset{}
		t.pending = map[part]*pending{}
		t.suspects = map[string]*suspect{}
		t.shared = map[part]time.Time{}
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
// pass the result to HealthChecked.
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
		if r == nil {
			t.undecided++
		}
		r = &reset{flights: map[part]SubRequest{}, answered: map[part]bool{}}
		t.resets[l] = r
	}
	if r.dead {
		return false
	}
	for n := range t.lives[l] {
		other := t.flights[n]
		r.flights[part{other.Fingerprint, other.Shard}] = other
	}
	first := !r.checking
	if first {
		clear(r.answered)
	}
	r.at, r.checking = now, true
	return first
}

// HealthChecked passes on whether the target answered its health check after a reset.
// If it did not, it returns the suspects to report now, early or confirmed, and
// others may be due after GracePeriod. hold is how long a suspect is remembered on this host.
func (t *Tracker) HealthChecked(now time.Time, target, incarnation string, alive bool, hold time.Duration) []control.SuspectRequest {
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
	maps.DeleteFunc(r.flights, func(p part, _ SubRequest) bool { return r.answered[p] })
	return t.died(now, l, r, hold)
}

// Succeeded clears a fingerprint for a shard that has answered it. seen states
// that the view shows an early suspicion of it. It returns the withdrawal of the
// early reports, if one is due.
func (t *Tracker) Succeeded(now time.Time, f SubRequest, seen bool) []control.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := part{f.Fingerprint, f.Shard}
	t.answers.add(now, p)
	delete(t.pending, p)
	if t.undecided > 0 {
		for _, r := range t.resets {
			if _, ok := r.flights[p]; ok && r.checking {
				r.answered[p] = true
			}
		}
	}
	if s := t.suspects[f.Fingerprint]; s != nil {
		maps.DeleteFunc(s.deaths, func(_ life, of int) bool { return of == f.Shard })
		if len(s.deaths) == 0 {
			delete(t.suspects, f.Fingerprint)
		}
	}
	_, shared := t.shared[p]
	if !shared && (!seen || now.Before(t.withdrawn[p])) {
		return nil
	}
	delete(t.shared, p)
	t.noteWithdrawn(now, p)
	return []control.SuspectRequest{{Fingerprint: f.Fingerprint, Service: f.Service, Shard: f.Shard, Cleared: true}}
}

// noteWithdrawn remembers a withdrawal, so that the answers that come before the
// view shows it withdraw nothing.
func (t *Tracker) noteWithdrawn(now time.Time, p part) {
	if t.withdrawn == nil || len(t.withdrawn) >= maxSuspects {
		t.withdrawn = map[part]time.Time{}
	}
	t.withdrawn[p] = now.Add(again)
}

// AnsweredRecently reports whether a target has answered the request for the shard lately.
func (t *Tracker) AnsweredRecently(now time.Time, fingerprint string, shard int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers.has(now, part{fingerprint, shard})
}

// Died reports whether this host has seen the incarnation die, or checks now
// whether it has.
func (t *Tracker) Died(target, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.resets[life{target, incarnation}]
	return r != nil && (r.dead || r.checking)
}

// HasPending reports whether suspects wait for GracePeriod to end.
func (t *Tracker) HasPending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending) > 0
}

// DueReports returns the suspects that were not cleared within GracePeriod.
func (t *Tracker) DueReports(now time.Time) []control.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []control.SuspectRequest
	for p, w := range t.pending {
		if !now.Before(w.due) {
			out = append(out, t.release(now, p, w)...)
		}
	}
	return out
}

// ObserveIncarnations compares the incarnations that live now with the targets that reset a
// connection, and returns the suspects to report now of those that came back as a
// new incarnation. A target that is absent from the view has not come back.
func (t *Tracker) ObserveIncarnations(now time.Time, current func(target string) (incarnation string, ok bool), hold time.Duration) []control.SuspectRequest {
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
			if !r.dead {
				t.undecided--
			}
		}
	}
	return out
}

// Deaths returns the largest number of distinct deaths of one shard with the
// fingerprint in flight that this host has confirmed and that are not cleared.
func (t *Tracker) Deaths(now time.Time, fingerprint string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deaths(now, fingerprint)
}

func (t *Tracker) deaths(now time.Time, fingerprint string) int {
	s := t.suspects[fingerprint]
	if s == nil || !now.Before(s.until) {
		return 0
	}
	most, shards := 0, map[int]int{}
	for _, shard := range s.deaths {
		shards[shard]++
		most = max(most, shards[shard])
	}
	return most
}

// Suspected reports whether the fingerprint was seen at a death that is not
// cleared. A reset whose health check still runs counts, because a retry would
// otherwise be sent before the check ends.
func (t *Tracker) Suspected(now time.Time, fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.deaths(now, fingerprint) > 0 {
		return true
	}
	for p := range t.pending {
		if p.fingerprint == fingerprint {
			return true
		}
	}
	for _, r := range t.resets {
		for p := range r.flights {
			if r.checking && p.fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}

// SuspectedEarly reports whether the fingerprint was seen at a death that is
// neither confirmed nor cleared, or at a reset whose health check still runs, for a
// shard that has not answered it lately.
func (t *Tracker) SuspectedEarly(now time.Time, fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p := range t.pending {
		if p.fingerprint == fingerprint && !t.answers.has(now, p) {
			return true
		}
	}
	for _, r := range t.resets {
		if !r.checking {
			continue
		}
		for p := range r.flights {
			if p.fingerprint == fingerprint && !t.answers.has(now, p) {
				return true
			}
		}
	}
	return false
}

// died makes the flights of a reset wait for GracePeriod. It returns the early reports,
// and those of the parts that have died of two targets as confirmed. A part that
// was answered lately is in flight at most deaths, so it waits for GracePeriod.
func (t *Tracker) died(now time.Time, l life, r *reset, hold time.Duration) []control.SuspectRequest {
	r.dead, r.checking, r.at = true, false, now
	t.undecided--
	t.makeRoomShared(now)
	var out []control.SuspectRequest
	early := 0
	for p, f := range r.flights {
		w := t.pending[p]
		if w == nil {
			if len(t.pending) >= maxSuspects {
				continue // Many targets died at once, which no request explains.
			}
			w = &pending{due: now.Add(GracePeriod), hold: hold}
			t.pending[p] = w
		}
		d := control.SuspectRequest{
			Fingerprint: f.Fingerprint, Service: f.Service, Target: l.target, Incarnation: l.incarnation, Shard: f.Shard,
		}
		w.deaths = append(w.deaths, d)
		if t.answers.has(now, p) {
			continue
		}
		if s := t.suspects[p.fingerprint]; len(w.deaths) > 1 || (s != nil && now.Before(s.until)) {
			out = append(out, t.release(now, p, w)...)
		} else if early < maxEarly && len(t.shared) < maxSuspects {
			early++
			t.shared[p] = now.Add(term)
			d.Early = true
			out = append(out, d)
		}
	}
	r.flights, r.answered = nil, nil
	return out
}

// makeRoomShared forgets the early reports that no longer count.
func (t *Tracker) makeRoomShared(now time.Time) {
	maps.DeleteFunc(t.shared, func(_ part, until time.Time) bool { return !now.Before(until) })
}

// release moves the deaths of a part to the reported ones and returns them.
func (t *Tracker) release(now time.Time, p part, w *pending) []control.SuspectRequest {
	delete(t.pending, p)
	s := t.suspects[p.fingerprint]
	if s == nil || !now.Before(s.until) {
		t.makeRoom(now)
		s = &suspect{deaths: map[life]int{}}
		t.suspects[p.fingerprint] = s
	}
	s.until = now.Add(w.hold)
	for _, d := range w.deaths {
		s.deaths[life{d.Target, d.Incarnation}] = p.shard
	}
	return w.deaths
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
