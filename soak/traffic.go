package soak

import (
	"slices"
	"sync"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// coldFactor and coldSlack are the platform's tolerance: in a second a cold target may get
	// coldFactor times its rate plus coldSlack requests.
	coldFactor, coldSlack = 1.5, 5
	// coldDuration is how long a target that starts cold remains so.
	coldDuration = 3 * time.Second
)

// traffic compares the requests that arrive at targets with those that callers have sent.
type traffic struct {
	mu sync.Mutex
	// sent holds by service when callers sent requests, extra when requests arrived that
	// had already arrived at the service.
	sent, extra map[string][]time.Time
	arrived     map[string]bool // by service and request: whether it has arrived
	// cold holds by target when requests arrived while it was cold.
	cold map[string][]time.Time
	// forbidden holds by target why it must not get requests with numbers above forbiddenAfter.
	forbidden         map[string]string
	forbiddenAfter    int64
	forbiddenArrivals map[string]string
	// limited is a target with a declared limit, limitedArrivals the number of requests that
	// arrived there within limitWindow from limitedFrom on.
	limited         string
	limitedFrom     time.Time
	limitedArrivals int
	// leaving is a target that says in its replies that it leaves, told holds when a host got the
	// first of them.
	leaving string
	told    map[string]time.Time
	// stuttering is true if hosts can't use all replies. A host then counts as told from the first
	// one that it has passed on.
	stuttering bool
}

func (c *traffic) init() {
	c.sent, c.extra, c.arrived = map[string][]time.Time{}, map[string][]time.Time{}, map[string]bool{}
	c.cold, c.forbiddenArrivals = map[string][]time.Time{}, map[string]string{}
}

// recordSent records that a caller sends a request for the services.
func (c *traffic) recordSent(services []string) { c.recordSentAt(time.Now(), services) }

// recordSentAt records that a caller has sent a request for the services at a time.
func (c *traffic) recordSentAt(at time.Time, services []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range services {
		i, _ := slices.BinarySearchFunc(c.sent[s], at, time.Time.Compare)
		c.sent[s] = slices.Insert(c.sent[s], i, at)
	}
}

// recordArrival records that a request arrived at a target, whether or not the target runs it.
func (c *traffic) recordArrival(t *standin.Target, request string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if key := t.Service + " " + request; c.arrived[key] {
		c.extra[t.Service] = append(c.extra[t.Service], now)
	} else {
		c.arrived[key] = true
	}
	if now.Before(t.ColdEnd()) {
		c.cold[t.ID] = append(c.cold[t.ID], now)
	}
	if t.ID == c.limited && now.Sub(c.limitedFrom) < limitWindow {
		c.limitedArrivals++
	}
	number, host := parseID(request)
	c.recordLeaving(t.ID, request, host, now)
	if why := c.forbidden[t.ID]; why != "" && number > c.forbiddenAfter {
		c.forbiddenArrivals[t.ID] = "request " + request + " arrived at " + t.ID + ", which " + why
	}
}

// forbid sets which targets must not get requests with numbers above after, and why.
func (c *traffic) forbid(targets map[string]string, after int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forbidden, c.forbiddenAfter = targets, after
}

// report checks the recorded arrivals at the end of a run. It returns the maximum number of repeated
// arrivals in a window and how many are allowed there.
func (c *traffic) report(to *checker) (repeats int, allowed float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range c.forbiddenArrivals {
		to.addViolation("%s", text)
	}
	c.reportLimited(to)
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
			n, limit := countWithin(times[i:], at, standin.RetryWindow), standin.RetryShare*float64(sent)+standin.RetrySlack
			if n > repeats {
				repeats, allowed = n, limit
			}
			if float64(n) > limit {
				to.addViolation("service %s got %d repeated arrivals for %d requests in %s", service, n, sent, standin.RetryWindow)
				break
			}
		}
	}
	return repeats, allowed
}

// maxSent returns the maximum number of requests sent for a service in one of three windows:
// the one that begins at a time, and those that begin half a window and a window before it.
func (c *traffic) maxSent(service string, at time.Time) int {
	n := 0
	for _, before := range []time.Duration{0, standin.RetryWindow / 2, standin.RetryWindow} {
		from := at.Add(-before)
		i, _ := slices.BinarySearchFunc(c.sent[service], from, time.Time.Compare)
		n = max(n, countWithin(c.sent[service][i:], from, standin.RetryWindow))
	}
	return n
}

// countWithin returns how many of the times, which are sorted, are before the end of a window.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	i, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return i
}
