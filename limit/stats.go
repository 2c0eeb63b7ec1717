package limit

import "time"

// TargetStats are the figures of one target that operators need.
type TargetStats struct {
	// Open, Idle and InUse count connections, idle ones and sub-requests in flight.
	Open, Idle, InUse int
	// Waiting counts the sub-requests that wait for a permit, Limit is the in-flight limit.
	Waiting, Limit int
	// Waits and Refused count the sub-requests that had to wait and that were refused.
	Waits, Refused uint64
	// Waited is the total time that sub-requests waited for a permit.
	Waited time.Duration
	// Opened and OpenFailures count connections that were opened and attempts that failed.
	Opened, OpenFailures uint64
	// Drained counts replies of cancelled sub-requests that were read in the background.
	Drained uint64
}

// Stats returns the figures of each target by name.
func (p *Pool) Stats() map[string]TargetStats {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make(map[string]TargetStats, len(p.members))
	for name, m := range p.members {
		m.mu.Lock()
		s := m.stats
		s.Open, s.Idle, s.InUse = m.open-m.opening, len(m.idle), m.inUse
		s.Waiting, s.Limit = m.queue.Len(), m.ceiling()
		m.mu.Unlock()
		all[name] = s
	}
	return all
}

// AdmissionStats are the figures of one service that operators need.
type AdmissionStats struct {
	// Pending counts the sub-requests of the queries under way.
	Pending int
	// Admitted and Refused count queries.
	Admitted, Refused uint64
}

// Stats returns the figures of each service by name.
func (a *Admission) Stats() map[string]AdmissionStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make(map[string]AdmissionStats, len(a.services))
	for name, l := range a.services {
		all[name] = AdmissionStats{Pending: l.pending, Admitted: l.admitted, Refused: l.refused}
	}
	return all
}
