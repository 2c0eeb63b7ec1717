package limit

import (
	"time"

	"wasabirelay/rank"
)

// TargetStats are the statistics of one target.
type TargetStats struct {
	// Open and Idle count open and idle connections, InUse sub-requests in flight.
	Open, Idle, InUse int
	// Waiting counts the sub-requests that wait for a permit. Limit is the in-flight limit.
	Waiting, Limit int
	// Waits counts the sub-requests that had to wait, Refused those that were refused.
	Waits, Refused uint64
	// Waited is the total time that sub-requests waited for a permit.
	Waited time.Duration
	// Opened counts opened connections, OpenFailures failed attempts to open one.
	Opened, OpenFailures uint64
	// Drained counts replies of cancelled sub-requests that were read in the background.
	Drained uint64
	// Ranks says what has become of the requests of each rank, if Pool.Contended.
	Ranks [rank.Count]rank.Counts
}

// Stats returns the statistics of each target by name.
func (p *Pool) Stats() map[string]TargetStats {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make(map[string]TargetStats, len(p.targets))
	for name, t := range p.targets {
		t.mu.Lock()
		s := t.stats
		s.Open, s.Idle, s.InUse = t.open-t.opening, len(t.idle), t.inUse
		s.Waiting, s.Limit = t.queue.Len()+t.ranked.Len(), t.effectiveLimit()
		s.Ranks = t.ranked.Counts
		t.mu.Unlock()
		all[name] = s
	}
	return all
}

// AdmissionStats are the statistics of one service.
type AdmissionStats struct {
	// Pending counts the sub-requests of the queries in progress.
	Pending int
	// Admitted and Refused count queries.
	Admitted, Refused uint64
}

// Stats returns the statistics of each service by name.
func (a *Admission) Stats() map[string]AdmissionStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make(map[string]AdmissionStats, len(a.services))
	for name, l := range a.services {
		all[name] = AdmissionStats{Pending: l.pending, Admitted: l.admitted, Refused: l.refused}
	}
	return all
}
