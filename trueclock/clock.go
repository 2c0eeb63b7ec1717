// Package trueclock estimates the true time on a host whose time of day may be set wrongly for a
// while.
package trueclock

import (
	"slices"
	"sync"
	"time"
)

// sampleAge is the age from which the samples of a host give way to newer ones.
const sampleAge = 10 * time.Second

// forgetAge is the age of the last sample from which a host does not count.
const forgetAge = time.Minute

// Clock is a clock that counts suspended time, corrected by the median of the offsets of the time of
// day of several hosts. It stays right while the time of day is wrong on fewer than half of them. Exported fields
// are set before use. It is safe for concurrent use.
type Clock struct {
	// Uptime returns the reading of a clock that counts suspended time.
	Uptime func() time.Duration
	// TimeOfDay returns the time of day of this host.
	TimeOfDay func() time.Time

	mu      sync.Mutex
	sources map[string]*source
	offset  time.Duration
	set     bool
}

// source holds the offsets of the time of day of another host. Delays of a message make its offset
// smaller, so that the greatest one is the best.
type source struct {
	best, previous time.Duration
	since, last    time.Duration
}

func (s *source) observe(now, offset time.Duration) {
	if now-s.since >= sampleAge {
		s.previous, s.best, s.since = s.best, offset, now
	}
	s.best, s.last = max(s.best, offset), now
}

// Observe records the time of day of another host, which it has sent with a message.
func (c *Clock) Observe(host string, timeOfDay time.Time) {
	now := c.Uptime()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := time.Duration(timeOfDay.UnixNano()) - now
	s := c.sources[host]
	if s == nil {
		if c.sources == nil {
			c.sources = map[string]*source{}
		}
		s = &source{best: offset, previous: offset, since: now}
		c.sources[host] = s
	}
	s.observe(now, offset)
	c.update(now)
}

// update computes the offset. The caller holds c.mu.
func (c *Clock) update(now time.Duration) {
	offsets := []time.Duration{time.Duration(c.TimeOfDay().UnixNano()) - now}
	for host, s := range c.sources {
		if now-s.last >= forgetAge {
			delete(c.sources, host)
			continue
		}
		offsets = append(offsets, max(s.best, s.previous))
	}
	slices.Sort(offsets)
	c.offset, c.set = offsets[len(offsets)/2], true
}

// Now returns the estimated true time. Without messages of other hosts, the last offset remains in force.
func (c *Clock) Now() time.Time {
	now := c.Uptime()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.set {
		c.update(now)
	}
	return time.Unix(0, int64(now+c.offset)).UTC()
}
