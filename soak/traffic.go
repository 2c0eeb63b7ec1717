package soak

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// coldFactor and coldSlack are the platform's tolerance above what a cold target
	// bears in a second.
	coldFactor, coldSlack = 1.5, 5
	// coldDuration is how long a target is cold after its start.
	coldDuration = 3 * time.Second
)

// traffic compares what arrives at targets with what callers have sent.
type traffic struct {
	mu sync.Mutex
	// sent holds when callers sent requests for a service, extra when further arrivals
	// of the same request came there.
	sent, extra map[string][]time.Time
	first       map[string]bool
	// cold holds the arrivals at a target while it is cold.
	cold map[string][]time.Time
	// forbidden holds why targets must not get requests with numbers above after.
	forbidden         map[string]string
	forbiddenAfter    int64
	forbiddenArrivals map[string]string
}

func (c *traffic) init() {
	c.sent, c.extra, c.first = map[string][]time.Time{}, map[string][]time.Time{}, map[string]bool{}
	c.cold, c.forbiddenArrivals = map[string][]time.Time{}, map[string]string{}
}

// recordSent notes that a caller sends a request for the services.
func (c *traffic) recordSent(services []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range services {
		c.sent[s] = append(c.sent[s], time.Now())
	}
}

// recordArrival notes that a request has recordArrival at a target, whatever becomes of it.
func (c *traffic) recordArrival(t *standin.Target, request string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if key := t.Service + " " + request; c.first[key] {
		c.extra[t.Service] = append(c.extra[t.Service], now)
	} else {
		c.first[key] = true
	}
	if now.Before(t.ColdEnd()) {
		c.cold[t.ID] = append(c.cold[t.ID], now)
	}
	number, _ := strconv.ParseInt(strings.TrimPrefix(request, "r"), 10, 64) // 0 for one that nobody sent
	if why := c.forbidden[t.ID]; why != "" && number > c.forbiddenAfter {
		c.forbiddenArrivals[t.ID] = "request " + request + " arrived at " + t.ID + ", which " + why
	}
}

// forbid states which targets must not get requests with numbers above after, and why.
func (c *traffic) forbid(targets map[string]string, after int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forbidden, c.forbiddenAfter = targets, after
}

// report checks what shows at the end only.
func (c *traffic) report(to *checker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range c.forbiddenArrivals {
		to.addViolation("%s", text)
	}
	for target, times := range c.cold {
		for i, at := range times {
			if n := countWithin(times[i:], at, time.Second); float64(n) > coldFactor*standin.ColdRate+coldSlack {
				to.addViolation("cold target %s got %d requests in a second", target, n)
				break
			}
		}
	}
	for service, times := range c.extra {
		for i, at := range times {
			sent := c.maxSent(service, at)
			if n := countWithin(times[i:], at, standin.RetryWindow); float64(n) > standin.RetryShare*float64(sent)+standin.RetrySlack {
				to.addViolation("service %s got %d further arrivals for %d requests in %s", service, n, sent, standin.RetryWindow)
				break
			}
		}
	}
}

// maxSent returns the number of requests for a service in the window that begins at a
// time, the one before it, or the one half a window before it, whichever has maxSent.
func (c *traffic) maxSent(service string, at time.Time) int {
	n := 0
	for _, before := range []time.Duration{0, standin.RetryWindow / 2, standin.RetryWindow} {
		from := at.Add(-before)
		i, _ := slices.BinarySearchFunc(c.sent[service], from, time.Time.Compare)
		n = max(n, countWithin(c.sent[service][i:], from, standin.RetryWindow))
	}
	return n
}

// countWithin counts the times, which are in order, before the end of a window.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	i, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return i
}
