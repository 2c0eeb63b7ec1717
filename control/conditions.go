package control

import "wasabirelay/inventory"

// setCondition records whether a condition holds, and since when.
func (s *State) setCondition(condition string, holds bool) {
	_, held := s.conditionSince.get(condition)
	if holds == held {
		return
	}
	s.cache.conditionSince = nil
	if holds {
		s.conditionSince.set(condition, s.clock)
	} else {
		s.conditionSince.remove(condition)
	}
}

// updateConditions records what a new inventory takes out of service or returns to service.
func (s *State) updateConditions(previous *inventory.Document) {
	if previous == nil {
		previous = &inventory.Document{}
	}
	for name := range previous.Centres {
		s.setCondition("centres/"+name, s.document.Centres[name].OutOfService)
	}
	for name, centre := range s.document.Centres {
		s.setCondition("centres/"+name, centre.OutOfService)
	}
	for name := range previous.Hosts {
		s.setCondition("hosts/"+name, s.document.Hosts[name].OutOfService)
	}
	for name, host := range s.document.Hosts {
		s.setCondition("hosts/"+name, host.OutOfService)
	}
	for name := range previous.Services {
		s.updateService(name)
	}
	for name := range s.document.Services {
		s.updateService(name)
	}
}
