package exchange

import (
	"slices"
	"time"

	"wasabirelay/control"
)

const (
	// nearShare is the fraction of the best data centre's coverage that another one needs for
	// callers to be sent to its hosts.
	nearShare = 0.5
	// farAfter is how long a data centre must lack targets before callers are no longer sent to
	// its hosts. It exceeds the restart of all targets of a data centre: callers that move to
	// other hosts need new connections.
	farAfter = 10 * time.Second
	// placementInterval is how often the placement is adapted.
	placementInterval = time.Second
)

// placement decides to which data centres callers are sent. It answers the load of requests to
// all shards: a host without targets in its data centre sends all sub-requests of such a request
// to other data centres, while a caller that uses a host elsewhere sends only one request there.
// The zero value selects all data centres.
type placement struct {
	// centres holds the selected data centres in order; empty before any target is known.
	centres []string
	// farSince holds, for each selected data centre that lacks targets, since when it does.
	farSince map[string]time.Time
}

// update adapts the selection to the coverage of each data centre: the share of the services that
// have a target there. A data centre is added at once and removed after farAfter. It reports
// whether the selection has changed.
func (p *placement) update(now time.Time, coverage map[string]float64) bool {
	best := 0.0
	for _, share := range coverage {
		best = max(best, share)
	}
	if best == 0 {
		return false // without any target, no data centre is better than another
	}
	if p.farSince == nil {
		p.farSince = map[string]time.Time{}
	}
	changed := false
	for centre, share := range coverage {
		if share >= nearShare*best && !slices.Contains(p.centres, centre) {
			p.centres = append(slices.Clone(p.centres), centre)
			changed = true
		}
	}
	near := make([]string, 0, len(p.centres))
	for _, centre := range p.centres {
		if coverage[centre] >= nearShare*best {
			delete(p.farSince, centre)
			near = append(near, centre)
			continue
		}
		since, ok := p.farSince[centre]
		if !ok {
			since = now
			p.farSince[centre] = now
		}
		if now.Sub(since) < farAfter {
			near = append(near, centre)
			continue
		}
		delete(p.farSince, centre)
		changed = true
	}
	slices.Sort(near)
	p.centres = near
	return changed
}

// Coverage returns, for each data centre, the share of the services that have a target there.
func Coverage(targets map[string][]*control.Target) map[string]float64 {
	coverage := map[string]float64{}
	for _, list := range targets {
		centres := map[string]bool{}
		for _, t := range list {
			if t.State != control.Draining && !centres[t.Centre] {
				centres[t.Centre] = true
				coverage[t.Centre] += 1 / float64(len(targets))
			}
		}
	}
	return coverage
}
