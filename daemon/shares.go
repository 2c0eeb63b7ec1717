package daemon

import (
	"slices"
	"sync"
	"time"

	"wasabirelay/control"
	"wasabirelay/limit"
)

const (
	// settle is how long after a lease length an older division of connections may
	// still be in use on another host: the time for which a host's feed may stand
	// still, and a margin for its clock.
	settle = time.Second
	// defaultConnections is used for a target if neither it nor the inventory
	// states its number of connections.
	defaultConnections = 16
	// warmConnections is how many connections are opened ahead per target.
	warmConnections = 2
)

// division divides the connections of targets among hosts. After a change of the
// hosts, other hosts may use the older division for a while, so a target's share
// is the smallest of all divisions that may be in use. It is pure.
type division struct {
	lists []hostList
}

type hostList struct {
	hosts []string
	// until is when no host uses the list any more; zero for the newest.
	until time.Time
}

// note records the hosts of a new view.
func (d *division) note(now time.Time, hosts []string, inUse time.Duration) {
	if n := len(d.lists); n > 0 {
		last := &d.lists[n-1]
		if slices.Equal(last.hosts, hosts) {
			return
		}
		last.until = now.Add(inUse)
	}
	d.lists = append(d.lists, hostList{hosts: hosts})
}

// shares returns the connections of the host self per target.
func (d *division) shares(now time.Time, self string, targets []*control.Target) map[string]int {
	d.lists = slices.DeleteFunc(d.lists, func(l hostList) bool { return !l.until.IsZero() && !now.Before(l.until) })
	var smallest map[string]int
	for _, l := range d.lists {
		shares := limit.Shares(l.hosts, self, targets)
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

// shares is the division with the view that it was made from.
type shares struct {
	mu       sync.Mutex
	division division
	view     *control.View
	// set is the view that the pool has the shares of, with the number of lists.
	set   *control.View
	lists int
}

// note takes a new view. It runs on the control goroutine.
func (s *shares) note(now time.Time, v *control.View) {
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
	s.division.note(now, hosts, v.Inventory.Rules.Lease.Duration+settle)
}

// compute returns the shares of the host self, or false if they have not changed.
func (s *shares) compute(now time.Time, self string) (map[string]limit.Share, *control.View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	if v == nil || v.Inventory == nil {
		return nil, nil, false
	}
	if s.set != nil && sameTargets(s.set, v) && s.lists == 1 && len(s.division.lists) == 1 {
		return nil, nil, false
	}
	var targets []*control.Target
	for _, list := range v.Targets {
		for _, t := range list {
			targets = append(targets, withConnections(v, t))
		}
	}
	counts := s.division.shares(now, self, targets)
	s.set, s.lists = v, len(s.division.lists)
	out := make(map[string]limit.Share, len(targets))
	for _, t := range targets {
		out[t.Name] = limit.Share{
			Incarnation: t.Incarnation, Address: t.Address, Connections: counts[t.Name], Slots: t.Slots,
			Warm: min(warmConnections, counts[t.Name]),
		}
	}
	return out, v, true
}

// sameTargets reports whether two views have the same targets and hosts.
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

// withConnections fills in what a target did not announce.
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
