package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wasabirelay/control"
	"wasabirelay/exchange"
	"wasabirelay/limit"
	"wasabirelay/relay"
)

const (
	// hostMemory is for how long a host that was active still has its part of what hosts
	// share. It exceeds the window of the retry budget.
	hostMemory = 15 * time.Second
	// activePart is the part of what hosts share that is for the active ones if there are
	// others, which get requests of callers with older lists only.
	activePart = 0.9
	// usedPart is the part of a target's connections that hosts use. Connections of hosts
	// that lost power stay open at the target, beside the new ones.
	usedPart = 0.5
	// roomy is how many connections per host a target must accept for every host to use
	// it: connections of hosts that lost power stay open at it beside the new ones.
	roomy = 2
	// subset is the number of targets of a service that a host uses otherwise: one, and
	// one for its hedges.
	subset = 2
)

// division is how hosts divide what they share.
type division struct {
	// hosts are the active hosts, those that were active lately, and this one.
	hosts []string
	// active states that callers are, or were lately, sent to this host. Before it is
	// settled, too few hosts are known, and each would count as active.
	active bool
	// part is this host's part of what is divided evenly among hosts.
	part float64
}

// divide computes the division among the hosts that are known now.
func (e *Entry) divide() division {
	active := e.client.Active()
	settled := e.client.Synced()
	names := e.remember(active, settled)
	self := slices.Contains(names, e.Settings.Host)
	others := max(0, e.client.EntryCount()-len(active))
	if !self {
		names, others = append(names, e.Settings.Host), max(1, others)
	}
	slices.Sort(names)
	count := len(names)
	if !self {
		count--
	}
	return division{hosts: names, active: self && settled, part: part(count, others, self)}
}

// remember returns the names of the active hosts and of those that were active lately.
// Lists count for later only if they are settled.
func (e *Entry) remember(active []exchange.Host, settled bool) []string {
	now := e.Clock.Now()
	names := map[string]bool{}
	for _, h := range active {
		names[h.Name] = true
		if settled {
			e.known[h.Name] = now
		}
	}
	for name, at := range e.known {
		if now.Sub(at) > hostMemory {
			delete(e.known, name)
			continue
		}
		names[name] = true
	}
	return slices.Collect(maps.Keys(names))
}

// part returns the part of one host, active or not, of what is divided among so many
// active hosts and others.
func part(active, others int, isActive bool) float64 {
	switch {
	case others == 0:
		return 1 / float64(max(1, active))
	case isActive:
		return activePart / float64(active)
	}
	return (1 - activePart) / float64(others)
}

// shares divides the connections of the targets among the hosts.
func (e *Entry) shares(v *relay.View, d *division) map[string]limit.Share {
	var all []*control.Target
	for service, list := range v.Targets {
		s := v.Routing.Service(service)
		for _, t := range list {
			if s != nil {
				t.Connections = usable(s.Connections, len(d.hosts))
				all = append(all, t)
			}
		}
	}
	counts := limit.Shares(d.hosts, e.Settings.Host, all)
	out := make(map[string]limit.Share, len(all))
	for _, t := range all {
		n := counts[t.Name]
		out[t.Name] = limit.Share{Incarnation: t.Incarnation, Address: t.Address, Connections: n, Slots: t.Slots, Warm: min(e.warm(v, d, t), n), CloseAfterUse: !d.active, CapAtWarm: true}
	}
	return out
}

// usable returns how many connections all hosts together open to a target that accepts
// so many: a part of them, but one for each host if it has as many.
func usable(connections, hosts int) int {
	return max(int(usedPart*float64(connections)), min(connections, hosts))
}

// spare returns the targets that this host leaves to others. Of each service whose
// targets have little room it keeps those nearby and fills up by rendezvous hashing,
// so that hosts spread over the targets.
func (e *Entry) spare(v *relay.View, hosts int) map[string]bool {
	out := map[string]bool{}
	for service, list := range v.Targets {
		s := v.Routing.Service(service)
		if s == nil || len(list) <= subset || s.Connections >= roomy*hosts {
			continue
		}
		ranked := slices.Clone(list)
		slices.SortFunc(ranked, func(a, b *control.Target) int {
			return cmp.Or(
				cmp.Compare(e.distance(a), e.distance(b)),
				cmp.Compare(limit.Score(e.Settings.Host, a.Name), limit.Score(e.Settings.Host, b.Name)),
			)
		})
		for _, t := range ranked[subset:] {
			out[t.Name] = true
		}
	}
	return out
}

// distance is 0 for a warm target of this data centre, 1 for one of another, and 2 for
// a cold one.
func (e *Entry) distance(t *control.Target) int {
	switch {
	case t.State != control.Warm:
		return 2
	case t.Centre == e.Settings.Centre:
		return 0
	}
	return 1
}

// warm is the number of connections that are opened ahead of use: one to each target
// that may get work, so that a hedge does not wait for a new one. A host that callers are
// not sent to opens none.
func (e *Entry) warm(v *relay.View, d *division, t *control.Target) int {
	if d.active && t.State == control.Warm && !v.Avoid[t.Name] {
		return 1
	}
	return 0
}
