package move

import (
	"cmp"
	"sync"
	"time"

	"wasabirelay/control"
	"wasabirelay/route"
)

const (
	// defaultSkippedLatencies is the default of Collector.SkippedLatencies.
	defaultSkippedLatencies = 8
	// maxMoves and maxTargets bound the moves and the targets for which a host collects
	// evidence.
	maxMoves   = 64
	maxTargets = 1 << 14
)

// Collector collects the evidence of one host between its reports. It is safe for
// concurrent use. The zero value is ready to use.
type Collector struct {
	// SkippedLatencies is the number of first sub-requests to a target whose latency is not
	// counted, 8 if 0. If latencies include the time to open a connection, it has to exceed the
	// number of connections to a target.
	SkippedLatencies int

	mu    sync.Mutex
	moves map[string]*moveCounts
	// first holds the number of sub-requests to each incarnation of a target that did not fail,
	// up to SkippedLatencies.
	first map[string]int
	links links
}

type moveCounts struct {
	version string
	counts  map[Key]*hostCounts
}

// hostCounts are the counts of this host for one key. Sub-requests without a reply are counted
// apart until the host knows whether its links were impaired.
type hostCounts struct{ replied, silent *Counts }

// Observe counts the outcome of a sub-request if a move of its service is running.
func (c *Collector) Observe(v *control.View, t *control.Target, route string, latency time.Duration, o route.Outcome) {
	if len(v.Moves) == 0 {
		return
	}
	r, ok := v.Moves[t.Service]
	if !ok || t.Version != r.Version {
		c.links.observe(o)
	}
	if !ok || !Running(&r) {
		return
	}
	failed, counts := classify(o)
	if !counts {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.countsFor(&r, Key{Route: route, New: t.Version == r.Version})
	if h == nil {
		return
	}
	n := h.replied
	if !o.HasReply() {
		n = h.silent
	}
	n.Total++
	addCount(n.TotalByTarget, t.Name, 1)
	if failed {
		n.Failed++
		n.addFailures(t.Name, 1)
	} else if c.connected(t) {
		n.observe(latency)
	}
}

func (c *Collector) countsFor(r *control.MoveRecord, key Key) *hostCounts {
	g := c.moves[r.Service]
	if g == nil || g.version != r.Version {
		if c.moves == nil {
			c.moves, c.first = map[string]*moveCounts{}, map[string]int{}
		}
		if g == nil && len(c.moves) >= maxMoves {
			return nil
		}
		g = &moveCounts{r.Version, map[Key]*hostCounts{}}
		c.moves[r.Service] = g
	}
	n := g.counts[key]
	if n == nil && len(g.counts) < maxRouteCounts {
		n = &hostCounts{newCounts(), newCounts()}
		g.counts[key] = n
	}
	return n
}

// connected reports whether the target is past its first sub-requests, whose latency is
// not counted.
func (c *Collector) connected(t *control.Target) bool {
	id := t.Name + "/" + t.Incarnation
	if c.first[id] >= cmp.Or(c.SkippedLatencies, defaultSkippedLatencies) {
		return true
	}
	if len(c.first) < maxTargets {
		c.first[id]++
	}
	return false
}

// Take returns the evidence since the last call. Evidence for a move that does not run
// in the view is dropped. If no move runs, the sub-request numbers of the targets are reset.
func (c *Collector) Take(v *control.View) ([]Report, error) {
	c.mu.Lock()
	moves := c.moves
	c.moves = map[string]*moveCounts{}
	if c.first == nil || !anyMoveRunning(v) {
		c.first = map[string]int{}
	}
	c.mu.Unlock()
	impaired := c.links.takeImpaired()
	var reports []Report
	for service, g := range moves {
		r, ok := v.Moves[service]
		if !ok || !Running(&r) || r.Version != g.version {
			continue
		}
		report := Report{Service: service, Version: g.version}
		for key, n := range g.counts {
			if !impaired {
				n.replied.add(n.silent)
			}
			p := RouteCounts{Key: key, Counts: *n.replied}
			if err := p.encode(); err != nil {
				return nil, err
			}
			report.Counts = append(report.Counts, p)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func anyMoveRunning(v *control.View) bool {
	for _, r := range v.Moves {
		if Running(&r) {
			return true
		}
	}
	return false
}

// classify reports whether an outcome is a failure and whether it is counted. A refusal
// by a target that drains, is cold or lacks the snapshot is not counted, because it
// does not depend on the version. A cancelled sub-request counts as a success; its
// latency is a lower bound.
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
