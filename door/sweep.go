package door

import "time"

const (
	// sweepInterval is the time between two looks at all connections. Times are counted in these, so that the time for
	// which this process was suspended doesn't count.
	sweepInterval = time.Second
	// headerGrace is what a caller may take beyond the limit for a header.
	headerGrace = 2 * time.Second
	// bodyWindow and minBodyRate (bytes per second) bound the progress of a body: a window with less is too slow. The
	// timeout of a route ends requests sooner.
	bodyWindow  = 10 * time.Second
	minBodyRate = 256
	// readerTimeout is how long a caller may take nothing of an answer.
	readerTimeout = 20 * time.Second
	// stalledReader is the number of sweeps after which a caller that takes nothing of an answer may be evicted.
	stalledReader = 3
	// lingerSweeps is the number of sweeps after which the connection of a refused caller is closed.
	lingerSweeps = 1
)

// sweep records the progress of all connections and closes the slow ones.
func (d *Door) sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.lingering {
		c.sweep()
		if c.closing && c.still > lingerSweeps || c.still > sweeps(readerTimeout) {
			d.closeLingering(c)
		}
	}
	for c := range d.open {
		if reason, slow := c.sweep(); slow {
			d.evict(c, reason)
		}
	}
}

// sweep records the progress of the connection and reports whether it is too slow.
func (c *Conn) sweep() (Reason, bool) {
	moved := c.moved.Load()
	c.still++
	if moved != c.seen {
		c.seen, c.still = moved, 0
	}
	if c.phase.Load() == receiving && c.header.Load() > 0 {
		c.headerSweeps++
	} else {
		c.headerSweeps = 0
	}
	if c.phase.Load() != serving || !c.reading.Load() {
		c.bodySweeps, c.bodyStart = 0, moved
	} else if c.bodySweeps++; c.bodySweeps >= sweeps(bodyWindow) {
		slow := moved-c.bodyStart < int64(bodyWindow.Seconds()*minBodyRate)
		c.bodySweeps, c.bodyStart = 0, moved
		if slow {
			return SlowBody, true
		}
	}
	switch limit := c.limits().HeaderTimeout; {
	case limit > 0 && c.headerSweeps > sweeps(limit+headerGrace):
		return SlowHeader, true
	case c.writing.Load() && c.still > sweeps(readerTimeout):
		return SlowReader, true
	}
	return "", false
}

// sweeps returns the number of sweeps in a time.
func sweeps(t time.Duration) int { return int((t + sweepInterval - 1) / sweepInterval) }
