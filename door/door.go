// Package door bounds what the callers of a process hold together: connections, and the memory of requests that are
// received, executed and answered. It decides before it is spent. A caller beyond the bounds is refused, which is true
// to its promise that the request has not run, or its connection is closed; the slowest callers go first.
package door

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/eventlog"
)

const (
	// defaultMemory is the memory of a process whose settings state none, in bytes, and
	// defaultDescriptors the number of its file descriptors.
	defaultMemory      = 256 << 20
	defaultDescriptors = 1024
	// memoryShare is the share of the memory that requests may hold together, and that all connections
	// may hold beside it.
	memoryShare = 0.2
	// connectionMemory is the memory of a connection that waits: its buffers and goroutines. What the kernel holds beside it
	// is ReceiveMemory.
	connectionMemory = 40 << 10
	// reservedDescriptors are those that the process can't use for connections, descriptorShare is the share of the
	// others that callers may take, and that other hosts may take. The rest is for targets and files.
	reservedDescriptors = 200
	descriptorShare     = 0.4
	// ordinaryMemory is what an ordinary request holds at most. The last part of the memory, reserveShare, is kept for
	// those that hold no more.
	ordinaryMemory = 16 << 10
	reserveShare   = 0.25
	// retryEviction is how long a search for callers to evict that has found none is not repeated.
	retryEviction = 50 * time.Millisecond
	// refusedLines bounds the log lines per second.
	refusedLines = 5
)

// Door is the account of all callers of a process. Exported fields are set before Run. It is safe for concurrent use.
type Door struct {
	// Memory is the memory of the process in bytes, Descriptors the number of its file descriptors; 0 for the defaults.
	Memory      int64
	Descriptors int
	// CallerMemory is the memory that requests may hold together, in bytes, CallerConnections the number of connections
	// of callers; 0 for what follows from Memory and Descriptors.
	CallerMemory      int64
	CallerConnections int
	Clock             clockwork.Clock
	Log               zerolog.Logger
	Events            *eventlog.Limiter
	Metrics           *Metrics

	used atomic.Int64 // memory that requests hold

	mu sync.Mutex // guards the fields below and those that Conn names
	// open holds the connections, lingering those of refused callers until these have got the refusal.
	open, lingering map[*Conn]bool
	// noMemoryAt and noPlaceAt are when a search for callers to evict, for memory and for the place of a connection, has last
	// found none.
	noMemoryAt, noPlaceAt time.Time
}

// Budget returns the memory that requests may hold together, in bytes.
func (d *Door) Budget() int64 {
	if d.CallerMemory > 0 {
		return d.CallerMemory
	}
	memory := d.Memory
	if memory <= 0 {
		memory = defaultMemory
	}
	return int64(memoryShare * float64(memory))
}

// MaxConnections returns the number of connections that callers may have open together.
func (d *Door) MaxConnections() int {
	if d.CallerConnections > 0 {
		return d.CallerConnections
	}
	return max(1, min(d.MaxPeers(), int(d.Budget()/connectionMemory)))
}

// MaxPeers returns the number of connections that other hosts may have open together.
func (d *Door) MaxPeers() int {
	descriptors := d.Descriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	free := max(descriptors-reservedDescriptors, descriptors/4)
	return max(1, int(descriptorShare*float64(free)))
}

// Run closes callers that are too slow until ctx ends.
func (d *Door) Run(ctx context.Context) error {
	ticker := d.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			d.sweep()
		}
	}
}

// reserve takes n bytes for a connection. It reports false if there is no room, also after the slowest callers have
// been evicted.
func (d *Door) reserve(c *Conn, n int64) bool {
	limit := d.Budget()
	if c.held.Load()+n > ordinaryMemory {
		limit -= int64(reserveShare * float64(limit))
	}
	for {
		used := d.used.Load()
		if used+n > limit {
			if !d.evictSlowest(c) {
				return false
			}
			continue
		}
		if d.used.CompareAndSwap(used, used+n) {
			c.held.Add(n)
			if c.gone.Load() {
				d.release(c)
			}
			return true
		}
	}
}

// reserveAnswer takes the n bytes of an answer, as far as the connection doesn't hold them yet. The slowest callers make
// room. An answer is delivered in any case; without room it doesn't count, so that ordinary requests keep their reserve.
func (d *Door) reserveAnswer(c *Conn, n int64) {
	if n -= c.held.Load(); n > 0 {
		d.reserve(c, n)
	}
}

// release returns all that a connection holds.
func (d *Door) release(c *Conn) { d.used.Add(-c.held.Swap(0)) }

// evictSlowest evicts the caller that has been silent for longest and holds memory. It reports whether there was one.
func (d *Door) evictSlowest(except *Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if now.Sub(d.noMemoryAt) < retryEviction {
		return false
	}
	victim := slowest(d.open, func(c *Conn) bool { return c != except && c.held.Load() > 0 && c.isStalled() })
	if victim == nil {
		d.noMemoryAt = now
		return false
	}
	d.evict(victim, Memory)
	return true
}

// slowest returns the connection that has been silent for longest of those that match, or nil.
func slowest(open map[*Conn]bool, match func(*Conn) bool) (victim *Conn) {
	for c := range open {
		if (victim == nil || c.still > victim.still || c.still == victim.still && c.held.Load() > victim.held.Load()) && match(c) {
			victim = c
		}
	}
	return victim
}

// evict ends a connection of a caller. The caller holds d.mu.
func (d *Door) evict(c *Conn, reason Reason) {
	delete(d.open, c)
	d.release(c)
	d.record(reason, c.name)
	if c.writing.Load() {
		c.drop()
		return
	}
	c.still = 0
	d.lingering[c] = true
	c.refuse(reason)
}

// admit adds a new connection. It reports false if there are too many, and none that can be closed in its place.
func (d *Door) admit(c *Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open == nil {
		d.open, d.lingering = map[*Conn]bool{}, map[*Conn]bool{}
	}
	if len(d.open)+len(d.lingering) >= d.MaxConnections() && !d.makePlace() {
		return false
	}
	d.open[c] = true
	return true
}

// makePlace closes a connection: one that lingers, one of a caller that is slow, or one that is idle. The caller
// holds d.mu.
func (d *Door) makePlace() bool {
	for c := range d.lingering {
		if c.closing {
			d.closeLingering(c)
			return true
		}
	}
	now := d.Clock.Now()
	if now.Sub(d.noPlaceAt) < retryEviction {
		return false
	}
	victim := slowest(d.open, (*Conn).isStalled)
	if victim == nil {
		victim = slowest(d.open, (*Conn).isIdle)
	}
	if victim == nil {
		d.noPlaceAt = now
		return false
	}
	d.evict(victim, Connections)
	// If a read still waits, it will see the refusal, and no request is served on the connection.
	if d.lingering[victim] && victim.reading.Load() {
		d.closeLingering(victim)
	}
	return true
}

// closeLingering closes a connection for good. The caller holds d.mu.
func (d *Door) closeLingering(c *Conn) {
	delete(d.lingering, c)
	c.drop()
}

// remove forgets a connection that net/http closes. It reports true if it is closed later: its caller hasn't read the
// refusal yet.
func (d *Door) remove(c *Conn) (lingers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, c)
	d.release(c)
	if c.refusal.Load() != nil && !c.gone.Load() {
		c.still, c.closing = 0, true
		d.lingering[c] = true
		return true
	}
	c.gone.Store(true)
	return false
}

// record counts a refusal and logs it.
func (d *Door) record(reason Reason, listener string) {
	d.Metrics.refused(listener, reason)
	if omitted, ok := d.Events.Allow("door", refusedLines); ok {
		d.Log.Warn().Str("listener", listener).Str("reason", string(reason)).Int64("held", d.used.Load()).Int64("budget", d.Budget()).
			Int("omitted", omitted).Msg("caller refused or closed: it exceeds what callers may hold")
	}
}
