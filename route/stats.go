package route

import "time"

// Stats are the figures of a Table that operators need.
type Stats struct {
	// Ejections counts ejections by reason: connection, failures or latency.
	Ejections map[string]uint64
	// Probes counts probes of ejected targets.
	Probes uint64
	// Ejected holds the names of targets that are ejected now, with the reason.
	Ejected map[string]string
	// Suspected holds the names of targets that are treated as cold now.
	Suspected map[string]bool
	// Refused counts hedges and retries that the budget refused, by service.
	Refused map[string]uint64
}

// counts are the counters of a Table.
type counts struct {
	ejections map[reason]uint64
	probes    uint64
}

func (c *counts) ejected(why reason) {
	if c.ejections == nil {
		c.ejections = map[reason]uint64{}
	}
	c.ejections[why]++
}

// Stats returns the current figures.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{
		Ejections: map[string]uint64{}, Probes: t.counts.probes, Ejected: map[string]string{},
		Suspected: map[string]bool{}, Refused: map[string]uint64{},
	}
	for why, n := range t.counts.ejections {
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
	for name, v := range t.services {
		v.budget.mu.Lock()
		s.Refused[name] = v.budget.refused
		v.budget.mu.Unlock()
	}
	return s
}
