package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Counter counts the requests of an entry host. Exported fields are set before use. It is safe for concurrent
// use.
type Counter struct {
	// Length is the length of a window.
	Length time.Duration

	mu      sync.Mutex
	windows map[uint64]*counted
	// next is the first window that is not known to be closed.
	next uint64
	// token is that of the host that the receipts in windows are from.
	token uint64
	late  uint64
}

type counted struct {
	counts Counts
	// revision counts the changes, received is the revision that the collecting host has.
	revision, received uint64
}

// Count counts a request that began to run at a time.
func (c *Counter) Count(organisation string, at time.Time) {
	n := number(at, c.Length)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n < c.next {
		c.late++
		return
	}
	w := c.windows[n]
	if w == nil {
		if c.windows == nil {
			c.windows = map[uint64]*counted{}
		}
		w = &counted{counts: Counts{}}
		c.windows[n] = w
		c.bound()
	}
	w.counts[organisation]++
	w.revision++
}

// bound drops the oldest window if there are too many. The caller holds c.mu.
func (c *Counter) bound() {
	if len(c.windows) <= maxWindows {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(c.windows)))
	c.drop(oldest)
	c.next = max(c.next, oldest+1)
}

// drop removes a window and counts what the collecting host does not have. The caller holds c.mu.
func (c *Counter) drop(n uint64) {
	w := c.windows[n]
	c.late += w.revision - w.received
	delete(c.windows, n)
}

// Sending is what has to be sent to the collecting host.
type Sending struct {
	Windows   []Window
	token     uint64
	revisions map[uint64]uint64
}

// Pending returns the counts that the host with the token does not have. A host with another token has none.
func (c *Counter) Pending(token uint64) Sending {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token != c.token {
		c.token = token
		for _, w := range c.windows {
			w.received = 0
		}
	}
	s := Sending{token: token, revisions: map[uint64]uint64{}}
	for _, n := range slices.Sorted(maps.Keys(c.windows)) {
		if w := c.windows[n]; w.received < w.revision {
			s.Windows = append(s.Windows, Window{Number: n, Counts: maps.Clone(w.counts)})
			s.revisions[n] = w.revision
		}
	}
	return s
}

// Received records that the host has received what was sent. next is that of its receipt.
func (c *Counter) Received(s *Sending, next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.token != c.token {
		return
	}
	for n, revision := range s.revisions {
		if w := c.windows[n]; w != nil && n >= next {
			w.received = revision
		}
	}
	c.next = max(c.next, next)
	for n := range c.windows {
		if n < c.next {
			c.drop(n)
		}
	}
}

// Statistics describe a counter.
type Statistics struct {
	// Windows is the number of windows that are kept. Late counts the requests that came after their window
	// was closed.
	Windows int
	Late    uint64
}

// Statistics returns the statistics of the counter.
func (c *Counter) Statistics() Statistics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Statistics{Windows: len(c.windows), Late: c.late}
}
