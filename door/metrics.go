package door

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what the door refuses. Nil counts nothing.
type Metrics struct{ refusals *prometheus.CounterVec }

// NewMetrics registers the metrics of a door.
func NewMetrics(registry *prometheus.Registry, d *Door) *Metrics {
	m := &Metrics{refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabirelay_door_refused_total", Help: "Callers that were refused or whose connection was closed, by listener and reason.",
	}, []string{"listener", "reason"})}
	registry.MustRegister(m.refusals,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "wasabirelay_door_held_bytes", Help: "Memory that requests hold."}, func() float64 { return float64(d.used.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "wasabirelay_door_connections", Help: "Connections of callers."}, func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return float64(len(d.open) + len(d.lingering))
		}))
	return m
}

func (m *Metrics) refused(listener string, reason Reason) {
	if m != nil {
		m.refusals.WithLabelValues(listener, string(reason)).Inc()
	}
}
