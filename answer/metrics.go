package answer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of query traffic.
type metrics struct {
	queries     *prometheus.CounterVec
	subrequests *prometheus.CounterVec
	dropped     *prometheus.CounterVec
	disputed    *prometheus.GaugeVec
	latency     *prometheus.HistogramVec
}

// newMetrics creates the metrics and registers them unless registry is nil.
func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		queries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_queries_total", Help: "Queries by service and result.",
		}, []string{fieldService, "result"}),
		subrequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_subrequests_total", Help: "Sub-requests that were handed to a target, by kind: first, hedge, retry.",
		}, []string{fieldService, "kind"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabirelay_dropped_replies_total", Help: "Replies of targets that were not used, by reason.",
		}, []string{fieldService, "reason"}),
		disputed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "wasabirelay_disputed_snapshots", Help: "Snapshots whose shard count targets announce differently.",
		}, []string{fieldService}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "wasabirelay_query_seconds", Help: "Time from the arrival of a query to its answer or refusal.",
			// The bounds roughly double from 1 ms. 82 ms is a bound because it is the latency
			// that the design is sized for.
			Buckets: []float64{.001, .002, .004, .008, .016, .032, .05, .082, .128, .256, .512, 1, 2, 4},
		}, []string{fieldService}),
	}
	if registry != nil {
		registry.MustRegister(m.queries, m.subrequests, m.dropped, m.disputed, m.latency)
	}
	return m
}

// countQuery counts an answered or refused query and observes its latency.
func (m *metrics) countQuery(service, result string, took time.Duration) {
	m.queries.WithLabelValues(service, result).Inc()
	m.latency.WithLabelValues(service).Observe(took.Seconds())
}

// countSubrequest counts a sub-request that is handed to a target.
func (m *metrics) countSubrequest(service string, kind Kind) {
	m.subrequests.WithLabelValues(service, string(kind)).Inc()
}

// drop counts a reply that is not used.
func (m *metrics) drop(service, reason string) { m.dropped.WithLabelValues(service, reason).Inc() }

// dispute sets the number of snapshots whose shard count is disputed.
func (m *metrics) dispute(service string, n int) { m.disputed.WithLabelValues(service).Set(float64(n)) }
