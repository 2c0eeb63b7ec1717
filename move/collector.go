package move

import (
	"sync"
	"time"

	"wasabirelay/control"
	"wasabirelay/route"
)

const (
	// skipped is the number of a target's first sub-requests whose latency is not
	// counted: they open connections, which takes several times as long.
	skipped = 8
	// maxMoves bounds the moves, and maxTargets the targets, that a host collects
	// evidence for.
	maxMoves   = 64
	maxTargets = 1 << 14
)

// Collector gathers the evidence of one host between its reports. It is safe for
// concurrent use; the zero value is ready.
type Collector struct {
	mu    sync.Mutex
	moves map[string]*gathered
	// first counts the first sub-requests of each target's incarnation.
	first map[string]int
}

type gathered struct {
	version string
	parts   map[Key]*Counts
}

// Observe counts the outcome of a sub-request if a move of its service is running.
func (c *Collector) Observe(v *control.View, t *control.Target, route string, latency time.Duration, o route.Outcome) {
	r, ok := v.Moves[t.Service]
	if !ok || !Running(&r) {
		return
	}
	failed, counts := classify(o)
	if !counts {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts(&r, Key{Route: route, New: t.Version == r.Version})
	if n == nil {
		return
	}
	n.Total++
	if failed {
		n.Failed++
		n.fail(t.Name, 1)
	} else if c.connected(t) {
		n.observe(latency)
	}
}

func (c *Collector) counts(r *control.MoveRecord, key Key) *Counts {
	g := c.moves[r.Service]
	if g == nil || g.version != r.Version {
		if c.moves == nil {
			c.moves, c.first = map[string]*gathered{}, map[string]int{}
		}
		if g == nil && len(c.moves) >= maxMoves {
			return nil
		}
		g = &gathered{r.Version, map[Key]*Counts{}}
		c.moves[r.Service] = g
	}
	n := g.parts[key]
	if n == nil && len(g.parts) < maxParts {
		n = newCounts()
		g.parts[key] = n
	}
	return n
}

// connected reports whether the target has had its first sub-requests.
func (c *Collector) connected(t *control.Target) bool {
	id := t.Name + "/" + t.Incarnation
	if c.first[id] >= skipped {
		return true
	}
	if len(c.first) < maxTargets {
		c.first[id]++
	}
	return false
}

// Take returns the evidence since the last call. Without a running move in the
// view it returns nothing and forgets what it has.
func (c *Collector) Take(v *control.View) ([]Report, error) {
	c.mu.Lock()
	moves := c.moves
	c.moves = map[string]*gathered{}
	if c.first == nil || !anyRunning(v) {
		c.first = map[string]int{}
	}
	c.mu.Unlock()
	var reports []Report
	for service, g := range moves {
		r, ok := v.Moves[service]
		if !ok || !Running(&r) || r.Version != g.version {
			continue
		}
		report := Report{Service: service, Version: g.version}
		for key, n := range g.parts {
			p := RouteCounts{Key: key, Counts: *n}
			if err := p.encode(); err != nil {
				return nil, err
			}
			report.Counts = append(report.Counts, p)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func anyRunning(v *control.View) bool {
	for _, r := range v.Moves {
		if Running(&r) {
			return true
		}
	}
	return false
}

// classify reports whether an outcome is a failure, and whether it counts at all.
// Refusals of a target that drains, is cold or lacks the snapshot say nothing
// about its version. The time of a cancelled sub-request is a lower bound.
func classify(o route.Outcome) (failed, counts bool) {
	switch o {
	case route.Success, route.Cancelled:
		return false, true
	case route.Shed, route.ConnectFailed, route.Reset, route.BadReply, route.TimedOut, route.Failed:
		return true, true
	default:
		return false, false
	}
}
