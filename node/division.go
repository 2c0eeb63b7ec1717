package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wasabirelay/control"
	"wasabirelay/declaration"
	"wasabirelay/exchange"
	"wasabirelay/limit"
	"wasabirelay/relay"
)

const (
	// inactiveHostTTL is how long a host keeps its share of divided resources after it was
	// last active. It exceeds the window of the retry budget.
	inactiveHostTTL = 15 * time.Second
	// activeShare is the share of divided resources that the active hosts get together if
	// there are others. The others get requests only from callers with an older list of
	// addresses.
	activeShare = 0.9
	// usableFraction is the fraction of a target's connections that hosts use. Connections of
	// hosts that lost power stay open at the target, beside the new ones.
	usableFraction = 0.5
	// minConnectionsPerHost is how many connections per host a target must accept for every
	// host to use it. Connections of hosts that lost power stay open at the target, beside the
	// new ones.
	minConnectionsPerHost = 2
	// subsetSize is the number of targets of a service that a host uses if they accept fewer
	// connections: one for requests and one for hedges.
	subsetSize = 2
)

// division describes how hosts divide the resources that they share.
type division struct {
	// hosts are the active hosts, the recently active ones, and this host.
	hosts []string
	// selected are the hosts that callers are sent to.
	selected []exchange.Host
	// active is true if callers are, or recently were, sent to this host. It is false until
	// the list of hosts is synced: with too few hosts known, each would count as active.
	active bool
	// share is this host's share of resources that are divided evenly.
	share float64
	// askers holds the hosts that ask a service, for services that only some hosts ask. former are
	// the hosts that were active recently, but are not now: they may have used shares of any.
	askers map[string][]string
	former []string
	// entries is the number of all entry hosts.
	entries int
}

// hostsOf returns the hosts that share the connections of the targets of a service and the limits
// on requests to it. member is true if this host is one of them.
func (d *division) hostsOf(service, self string) (hosts []string, member bool) {
	askers, divided := d.askers[service]
	if !divided {
		return d.hosts, true
	}
	return slices.Concat(askers, d.former), slices.Contains(askers, self)
}

// ofLimits returns how all hosts divide limits.
func (d *division) ofLimits(self string) *declaration.Division {
	return &declaration.Division{Hosts: d.hosts, Self: self, Share: d.share}
}

// serviceDivisions returns how hosts divide the limits of the services that only some hosts ask.
func (d *division) serviceDivisions(self string) map[string]*declaration.Division {
	divisions := make(map[string]*declaration.Division, len(d.askers))
	for service := range d.askers {
		hosts, member := d.hostsOf(service, self)
		divisions[service] = &declaration.Division{Hosts: hosts, Self: self, Share: hostShare(len(hosts), max(1, d.entries-len(hosts)), member)}
	}
	return divisions
}

// divide computes the division among the hosts that are currently known.
func (e *Entry) divide() division {
	return e.divideAmong(e.client.Active(), e.client.EntryCount(), e.client.Synced())
}

// divideAmong computes the division among the active hosts and those that were active recently, of
// entries hosts. The list of active hosts may be incomplete unless it is synced.
func (e *Entry) divideAmong(active []exchange.Host, entries int, synced bool) division {
	names := e.recentlyActive(active, synced)
	self := slices.Contains(names, e.Settings.Host)
	others := max(0, entries-len(active))
	if !self {
		names, others = append(names, e.Settings.Host), max(1, others)
	}
	slices.Sort(names)
	count := len(names)
	if !self {
		count--
	}
	selected := map[string]bool{e.Settings.Host: true}
	for i := range active {
		selected[active[i].Name] = true
	}
	former := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return selected[name] })
	return division{
		former: former, hosts: names, selected: active, active: self && synced, share: hostShare(count, others, self), entries: entries,
	}
}

// recentlyActive returns the names of the active hosts and of those that were active within
// inactiveHostTTL. It remembers the active hosts for later calls only if the list is synced.
func (e *Entry) recentlyActive(active []exchange.Host, synced bool) []string {
	now := e.Clock.Now()
	names := map[string]bool{}
	for _, h := range active {
		names[h.Name] = true
		if synced {
			e.lastActive[h.Name] = now
		}
	}
	for name, at := range e.lastActive {
		if now.Sub(at) > inactiveHostTTL {
			delete(e.lastActive, name)
			continue
		}
		names[name] = true
	}
	return slices.Collect(maps.Keys(names))
}

// hostShare returns the share of one host if a resource is divided among the given numbers of
// active and other hosts. isActive is true if the host is an active one.
func hostShare(active, others int, isActive bool) float64 {
	switch {
	case others == 0:
		return 1 / float64(max(1, active))
	case isActive:
		return activeShare / float64(active)
	}
	return (1 - activeShare) / float64(others)
}

// connectionShares divides the connections of all targets among the hosts and returns the
// shares of this host by target name.
func (e *Entry) connectionShares(v *relay.View, d *division) map[string]limit.Share {
	out := make(map[string]limit.Share, len(v.Targets))
	for service, list := range v.Targets {
		s := v.Routing.Service(service)
		if s == nil {
			continue
		}
		hosts, member := d.hostsOf(service, e.Settings.Host)
		for _, t := range list {
			t.Connections = usableConnections(s.Connections, len(hosts))
		}
		counts := limit.Shares(hosts, e.Settings.Host, list)
		for _, t := range list {
			n := counts[t.Name]
			if !member { // for portions that no other host takes
				n = min(1, t.Connections)
			}
			out[t.Name] = limit.Share{
				Incarnation: t.Incarnation, Address: t.Address, Connections: n, Slots: t.Slots, Warm: min(e.warmConnections(v, d, t, member), n),
				CloseAfterUse: !d.active, CapAtWarm: true,
			}
		}
	}
	return out
}

// usableConnections returns how many connections all hosts together open to a target that
// accepts the given number: usableFraction of them or, if that is more, one for each host as
// far as the target accepts them.
func usableConnections(connections, hosts int) int {
	return max(int(usableFraction*float64(connections)), min(connections, hosts))
}

// avoidedTargets returns the targets that this host leaves to other hosts. If the targets of a
// service accept few connections, the host uses only subsetSize of them: nearby ones first,
// the rest chosen by rendezvous hashing, so that the hosts spread over the targets.
func (e *Entry) avoidedTargets(v *relay.View, d *division) map[string]bool {
	out := map[string]bool{}
	for service, list := range v.Targets {
		s := v.Routing.Service(service)
		if s == nil || len(list) <= subsetSize {
			continue
		}
		if hosts, _ := d.hostsOf(service, e.Settings.Host); s.Connections >= minConnectionsPerHost*len(hosts) {
			continue
		}
		ranked := slices.Clone(list)
		slices.SortFunc(ranked, func(a, b *control.Target) int {
			return cmp.Or(
				cmp.Compare(e.preferenceRank(a), e.preferenceRank(b)),
				cmp.Compare(limit.Score(e.Settings.Host, a.Name), limit.Score(e.Settings.Host, b.Name)),
			)
		})
		for _, t := range ranked[subsetSize:] {
			out[t.Name] = true
		}
	}
	return out
}

// preferenceRank returns 0 for a warm target in the data centre of this host, 1 for a warm
// target elsewhere, and 2 for a cold one.
func (e *Entry) preferenceRank(t *control.Target) int {
	switch {
	case t.State != control.Warm:
		return 2
	case t.Centre == e.Settings.Centre:
		return 0
	}
	return 1
}

// warmConnections returns the number of connections to open ahead of use: one to each target
// that may get requests, so that a hedge does not wait for a new connection. A host that
// callers are not sent to opens none, and no host opens any to targets that other hosts ask.
func (e *Entry) warmConnections(v *relay.View, d *division, t *control.Target, member bool) int {
	if d.active && member && t.State == control.Warm && !v.Avoid[t.Name] {
		return 1
	}
	return 0
}
