package route

import (
	"cmp"
	"slices"
	"time"
)

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

// Choices returns how often Pick has decided for each reason, if Contended is set.
func (t *Table) Choices() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]uint64, len(choiceReasonNames))
	for reason, name := range choiceReasonNames {
		counts[name] = t.placement().choices[reason]
	}
	return counts
}

// OutstandingWork is the work that a target still has to do for this host, as the time that an ordinary
// target takes.
type OutstandingWork struct {
	Target string
	Work   time.Duration
}

// MostOutstanding returns the n targets with the most outstanding work, the most first.
func (t *Table) MostOutstanding(now time.Time, n int) []OutstandingWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []OutstandingWork
	for name, state := range t.targets {
		if state.work == nil {
			continue
		}
		if work := state.work.Outstanding(now); work > 0 {
			list = append(list, OutstandingWork{name, work})
		}
	}
	slices.SortFunc(list, func(a, b OutstandingWork) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(n, len(list))]
}
