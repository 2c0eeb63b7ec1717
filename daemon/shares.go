package daemon

import (
	"slices"
	"sync"
	"time"

	"wasabirelay/control"
	"wasabirelay/limit"
)

const (
	// staleDivisionMargin is how long, in addition to the lease length, another host may
	// still use an older division of connections: the time for which the feed of a host
	// may be stalled, and a margin for its clock.
	staleDivisionMargin = time.Second
	// defaultConnections is the number of connections to a target if neither the target
	// nor the inventory states one.
	defaultConnections = 16
	// warmConnections is the number of connections per target that are opened in advance.
	warmConnections = 2
)

// divisions divides the connections to targets among hosts. After a change of the hosts,
// other hosts may use an older division for a while, so the share of a host is the smallest
// one in all divisions that may be in use. It reads no clock: callers pass the time.
type divisions struct {
	inUse []division
}

// division is the list of hosts among which connections are divided.
type division struct {
	hosts []string
	// unusedFrom is the time from which no host uses the division; zero for the newest.
	unusedFrom time.Time
}

// record adds the division among the hosts of a new view. Other hosts may use the previous
// division for the duration overlap.
func (d *divisions) record(now time.Time, hosts []string, overlap time.Duration) {
	if n := len(d.inUse); n > 0 {
		last := &d.inUse[n-1]
		if slices.Equal(last.hosts, hosts) {
			return
		}
		last.unusedFrom = now.Add(overlap)
	}
	d.inUse = append(d.inUse, division{hosts: hosts})
}

// shares returns the number of connections of the host self to each target, by name.
func (d *divisions) shares(now time.Time, self string, targets []*control.Target) map[string]int {
	d.inUse = slices.DeleteFunc(d.inUse, func(v division) bool { return !v.unusedFrom.IsZero() && !now.Before(v.unusedFrom) })
	var smallest map[string]int
	for _, v := range d.inUse {
		shares := limit.Shares(v.hosts, self, targets)
		if smallest == nil {
			smallest = shares
			continue
		}
		for name, n := range smallest {
			smallest[name] = min(n, shares[name])
		}
	}
	return smallest
}

// shareState computes the connection shares of this host from the latest view.
type shareState struct {
	mu        sync.Mutex
	divisions divisions
	view      *control.View
	// computedView is the view that the last computed shares are from, computedDivisions the
	// number of divisions that they took into account.
	computedView      *control.View
	computedDivisions int
}

// recordView stores a new view. It runs on the goroutine of the follower.
func (s *shareState) recordView(now time.Time, v *control.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	if v.Inventory == nil {
		return
	}
	var hosts []string
	for i := range v.Hosts {
		hosts = append(hosts, v.Hosts[i].Name)
	}
	s.divisions.record(now, hosts, v.Inventory.Rules.Lease.Duration+staleDivisionMargin)
}

// compute returns the shares of the host self by target and the view that they are from, or
// false if they have not changed.
func (s *shareState) compute(now time.Time, self string) (map[string]limit.Share, *control.View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	if v == nil || v.Inventory == nil {
		return nil, nil, false
	}
	if s.computedView != nil && sameTargets(s.computedView, v) && s.computedDivisions == 1 && len(s.divisions.inUse) == 1 {
		return nil, nil, false
	}
	var targets []*control.Target
	for _, list := range v.Targets {
		for _, t := range list {
			targets = append(targets, withConnections(v, t))
		}
	}
	counts := s.divisions.shares(now, self, targets)
	s.computedView, s.computedDivisions = v, len(s.divisions.inUse)
	out := make(map[string]limit.Share, len(targets))
	for _, t := range targets {
		out[t.Name] = limit.Share{
			Incarnation: t.Incarnation, Address: t.Address, Connections: counts[t.Name], Slots: t.Slots,
			Warm: min(warmConnections, counts[t.Name]),
		}
	}
	return out, v, true
}

// sameTargets reports whether two views have the same targets and the same inventory version,
// and so the same hosts.
func sameTargets(a, b *control.View) bool {
	if a.Version != b.Version || len(a.Targets) != len(b.Targets) {
		return false
	}
	for service, list := range a.Targets {
		if !slices.Equal(list, b.Targets[service]) {
			return false
		}
	}
	return true
}

// withConnections returns the target with its number of connections and slots. Where the
// target did not announce them, they are those of its service in the inventory, or the
// default.
func withConnections(v *control.View, t *control.Target) *control.Target {
	service := v.Inventory.Services[t.Service]
	if t.Connections > 0 && t.Slots > 0 {
		return t
	}
	c := *t
	if c.Connections == 0 {
		c.Connections = service.Connections
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.Slots == 0 {
		c.Slots = service.Slots
	}
	return &c
}
