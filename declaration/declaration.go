// Package declaration keeps what targets declare of themselves in their replies, and decides
// whether a request may go to a target now. It has no sockets, goroutines or clocks; the caller
// passes the time in.
package declaration

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"wasabirelay/control"
)

// Declaration is what a target declares of itself in one reply. The zero value declares nothing.
type Declaration struct {
	// Limited is true if the target takes at most Limit requests per second from all hosts
	// together.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit,omitempty"`
	// Leaving is true if the target is about to end. It never takes that back.
	Leaving bool `json:"leaving,omitempty"`
	// Pause is how long the target wants no requests from this host, from the reply on.
	Pause time.Duration `json:"pause,omitempty"`
}

// Change reports that a target has declared something else than before.
type Change struct {
	Target, Incarnation string
	Before, After       Declaration
}

const (
	// initial is the time for which a limit has added up when it is declared.
	initial = 500 * time.Millisecond
	// minLimit is the limit per second that counts for a target that declares less. The target
	// can't declare more again unless it gets a request now and then.
	minLimit = 0.5
	// never is the wait for a target that gets no more requests, and the longest pause.
	never = time.Hour
)

// Table holds the declarations of targets. Exported fields are set before use. It is safe for
// concurrent use; the zero value is ready for use.
type Table struct {
	// OnChange, if set, is called when a target declares something else than before.
	OnChange func(Change)

	// entries is replaced, not modified, so that requests look it up without a lock.
	entries atomic.Pointer[map[key]*entry]
	// writing guards the replacement of entries.
	writing sync.Mutex
}

// key identifies a run of a target: a new one has declared nothing.
type key struct{ name, incarnation string }

// entry is the state of a target that has declared something.
type entry struct {
	mu sync.Mutex
	Declaration
	// pausedUntil is the end of the last pause.
	pausedUntil time.Time
	// sent is when the request was sent whose reply was the last declaration.
	sent time.Time
	// allowance is the number of requests that may go to the target at the time filled.
	allowance float64
	filled    time.Time
	// rate is this host's part of the limit divided by the division, most what may add up.
	division            *Division
	divided, rate, most float64
}

func keyOf(t *control.Target) key { return key{t.Name, t.Incarnation} }

func (t *Table) entry(target *control.Target) *entry {
	if entries := t.entries.Load(); entries != nil {
		return (*entries)[keyOf(target)]
	}
	return nil
}

// Record records the declaration in a reply to a request that was sent at a given time. A limit
// holds until a later request gets a reply with another one or with none; replies to earlier
// requests that arrive late don't change it.
func (t *Table) Record(target *control.Target, sent, now time.Time, d Declaration) {
	e := t.entry(target)
	if e == nil {
		if d == (Declaration{}) {
			return
		}
		e = t.add(target)
	}
	e.mu.Lock()
	before := e.Declaration
	e.Leaving = e.Leaving || d.Leaving // never taken back
	switch {                           // a pause holds to its end, whatever other replies say
	case d.Pause > 0:
		e.Pause, e.pausedUntil = d.Pause, later(e.pausedUntil, now.Add(min(d.Pause, never)))
	case !now.Before(e.pausedUntil):
		e.Pause = 0
	}
	if !sent.Before(e.sent) {
		if d.Limited && !e.Limited {
			e.allowance, e.filled = 0, now.Add(-initial)
		}
		e.Limited, e.Limit, e.sent = d.Limited, d.Limit, sent
	}
	after := e.Declaration
	e.mu.Unlock()
	if before != after && t.OnChange != nil {
		t.OnChange(Change{Target: target.Name, Incarnation: target.Incarnation, Before: before, After: after})
	}
}

func (t *Table) add(target *control.Target) *entry {
	t.writing.Lock()
	defer t.writing.Unlock()
	if e := t.entry(target); e != nil {
		return e
	}
	entries := map[key]*entry{}
	if old := t.entries.Load(); old != nil {
		entries = maps.Clone(*old)
	}
	e := &entry{}
	entries[keyOf(target)] = e
	t.entries.Store(&entries)
	return e
}

// Wait returns how long to wait until a request may go to the target; 0 if it may go now.
func (t *Table) Wait(now time.Time, target *control.Target, d *Division) time.Duration {
	e := t.entry(target)
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	pause := max(0, e.pausedUntil.Sub(now))
	switch {
	case e.Leaving:
		return never
	case !e.Limited:
		return pause
	}
	rate := e.fill(now, target.Name, d)
	switch {
	case e.allowance >= 1:
		return pause
	case rate <= 0:
		return never
	}
	return max(pause, time.Duration((1-e.allowance)/rate*float64(time.Second)))
}

// Reason is why a target takes no request.
type Reason string

// Values of Reason.
const (
	Leaving Reason = "leaving"
	Paused  Reason = "pause"
	Limited Reason = "limit"
)

// Reason returns why the target takes no request now, if Wait is not 0.
func (t *Table) Reason(now time.Time, target *control.Target) Reason {
	e := t.entry(target)
	if e == nil {
		return Limited
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.Leaving:
		return Leaving
	case now.Before(e.pausedUntil):
		return Paused
	}
	return Limited
}

// Refuses reports whether the target takes no request at all now: it leaves, or a pause has not ended.
func (t *Table) Refuses(now time.Time, target *control.Target) bool {
	e := t.entry(target)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refuses(now)
}

// refuses is Refuses. The caller holds e.mu.
func (e *entry) refuses(now time.Time) bool { return e.Leaving || now.Before(e.pausedUntil) }

// Take records a request to the target if it may go now, and reports whether it may.
func (t *Table) Take(now time.Time, target *control.Target, d *Division) bool {
	e := t.entry(target)
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.refuses(now):
		return false
	case !e.Limited:
		return true
	}
	e.fill(now, target.Name, d)
	if e.allowance < 1 {
		return false
	}
	e.allowance--
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fill adds to the allowance what has become available, and returns the requests per second that
// this host may send. The caller holds e.mu.
func (e *entry) fill(now time.Time, target string, d *Division) float64 {
	if limited := max(e.Limit, minLimit); e.division != d || e.divided != limited {
		e.division, e.divided = d, limited
		e.rate, e.most = d.part(target, limited)
	}
	e.allowance = min(e.allowance+e.rate*max(0, now.Sub(e.filled)).Seconds(), e.most)
	e.filled = now
	return e.rate
}

// Forget removes the targets that are not in live, which holds the incarnations by name.
func (t *Table) Forget(live map[string]string) {
	t.writing.Lock()
	defer t.writing.Unlock()
	old := t.entries.Load()
	if old == nil {
		return
	}
	entries := maps.Clone(*old)
	maps.DeleteFunc(entries, func(k key, _ *entry) bool { return live[k.name] != k.incarnation })
	if len(entries) < len(*old) {
		t.entries.Store(&entries)
	}
}
