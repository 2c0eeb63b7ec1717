package node

import (
	"slices"
	"time"

	"wasabirelay/portion"
	"wasabirelay/relay"
)

// portionTime is the time for which the first attempts of one request may occupy the processor of a
// host.
const portionTime = 4 * time.Millisecond

// portionSize returns the number of shards that a host with a processor of that many cores asks
// for one request; 0, any number, if the cores are not known.
func portionSize(cores float64) int {
	if cores <= 0 {
		return 0
	}
	return max(portion.MinSize, int(cores*float64(portionTime)/float64(attemptCPUTime)))
}

// divideRequests sets how requests to many shards are divided among hosts.
func (e *Entry) divideRequests(v *relay.View, d *division) {
	if !e.Settings.Peer.IsValid() {
		return
	}
	planner := &portion.Planner{Host: e.Settings.Host, Centre: e.Settings.Centre, Hosts: map[string][]string{}, Size: portionSize(e.Settings.Cores), Usable: e.helpers.Usable}
	var others []portion.Host
	for i := range d.selected {
		h := &d.selected[i]
		if !h.Helper.IsValid() {
			continue
		}
		if h.Name != e.Settings.Host {
			others = append(others, portion.Host{Name: h.Name, Address: h.Helper})
		}
		if h.Stranded {
			continue
		}
		planner.Hosts[h.Centre] = append(planner.Hosts[h.Centre], h.Name)
		if h.Name != e.Settings.Host {
			v.Helpers = append(v.Helpers, h.Name)
		}
	}
	e.helpers.Set(others)
	v.Planner = planner
	d.askers = e.askers(v)
	v.ServiceDivisions = d.serviceDivisions(e.Settings.Host)
}

// askers returns the hosts that ask each service that only some hosts ask.
func (e *Entry) askers(v *relay.View) map[string][]string {
	askers, shared := map[string][]string{}, map[string]bool{}
	for _, list := range e.shardLists {
		teams := v.Planner.Askers(relay.PortionShards(list, v.Targets, v.Out))
		for _, service := range list {
			if teams == nil {
				shared[service] = true
			}
			askers[service] = append(askers[service], teams[service]...)
		}
	}
	for service, hosts := range askers {
		if shared[service] {
			delete(askers, service)
			continue
		}
		askers[service] = slices.Compact(slices.Sorted(slices.Values(hosts)))
	}
	return askers
}
