package control

import "wasabirelay/inventory"

// mark notes the time since which a condition holds, or that it no longer holds.
func (s *State) mark(condition string, holds bool) {
	_, held := s.since.get(condition)
	if holds == held {
		return
	}
	s.cache.since = nil
	if holds {
		s.since.set(condition, s.clock)
	} else {
		s.since.remove(condition)
	}
}

// updateSince notes what a new inventory takes out of service or brings back.
func (s *State) updateSince(previous *inventory.Document) {
	if previous == nil {
		previous = &inventory.Document{}
	}
	for name := range previous.Centres {
		s.mark("centres/"+name, s.document.Centres[name].Out)
	}
	for name, centre := range s.document.Centres {
		s.mark("centres/"+name, centre.Out)
	}
	for name := range previous.Hosts {
		s.mark("hosts/"+name, s.document.Hosts[name].Out)
	}
	for name, host := range s.document.Hosts {
		s.mark("hosts/"+name, host.Out)
	}
	for name := range previous.Services {
		s.updateService(name)
	}
	for name := range s.document.Services {
		s.updateService(name)
	}
}
