package answer

import (
	"sync"
	"time"
)

// metrics counts query traffic. It does not export its figures yet.
type metrics struct {
	mu     sync.Mutex
	counts map[[2]string]float64
}

func newMetrics() *metrics { return &metrics{counts: map[[2]string]float64{}} }

func (m *metrics) add(name, label string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[[2]string{name, label}]++
}

// query counts an answered or refused query.
func (m *metrics) query(service, result string, _ time.Duration) {
	m.add("wasabirelay_queries_total", result)
	m.add("wasabirelay_queries_total", service)
}

// subrequest counts a sub-request that is handed to a target.
func (m *metrics) subrequest(_ string, kind Kind) {
	m.add("wasabirelay_subrequests_total", string(kind))
}

// drop counts a reply that is not used.
func (m *metrics) drop(_, reason string) { m.add("wasabirelay_dropped_replies_total", reason) }

// dispute sets the number of snapshots with disputed shard counts.
func (m *metrics) dispute(_ string, _ int) {}
