package route

import "time"

// Stats are the counters and the current state of a Table for metrics.
type Stats struct {
	// Ejections counts ejections by reason: connection, failures or latency.
	Ejections map[string]uint64
	// Probes counts probes of ejected targets.
	Probes uint64
	// Ejected holds the reason for each target that is currently ejected, by name.
	Ejected map[string]string
	// Suspected holds the names of targets that are currently treated as cold.
	Suspected map[string]bool
	// Refused counts hedges and retries that the budget refused, by service.
	Refused map[string]uint64
}

// counters are the counters of a Table.
type counters struct {
	ejections map[reason]uint64
	probes    uint64
}

func (c *counters) addEjection(why reason) {
	if c.ejections == nil {
		c.ejections = map[reason]uint64{}
	}
	c.ejections[why]++
}

// Stats returns the current statistics.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{
		Ejections: map[string]uint64{}, Probes: t.counters.probes, Ejected: map[string]string{},
		Suspected: map[string]bool{}, Refused: map[string]uint64{},
	}
	for why, n := range t.counters.ejections {
		s.Ejections[string(why)] = n
	}
	for name, r := range t.targets {
		if r.ejected {
			s.Ejected[name] = string(r.reason)
		}
		if now.Before(r.coldUntil) {
			s.Suspected[name] = true
		}
	}
	for name, service := range t.services {
		service.budget.mu.Lock()
		s.Refused[name] = service.budget.refused
		service.budget.mu.Unlock()
	}
	return s
}
