package relay

import (
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"wasabirelay/declaration"
	"wasabirelay/route"
	"wasabirelay/workload"
)

// maxOutstandingTargets bounds the targets that the metric of outstanding work names: those with the
// most work.
const maxOutstandingTargets = 16

// ratioBuckets are the bounds of the measured time divided by the expected one.
var ratioBuckets = []float64{.1, .2, .33, .5, .67, .8, 1, 1.25, 1.5, 2, 3, 5, 10, 30}

// workOf returns what the request is expected to cost each target.
func (s *Service) workOf(j *job) route.Work {
	if !s.Table.Contended {
		return route.Work{}
	}
	kind := workload.NewKind(j.route.Name, j.Method, strings.TrimPrefix(pathOf(j.RequestURI), j.route.Prefix), j.organisation, len(j.body))
	return s.Table.Estimate(s.Clock.Now(), kind)
}

// hostsOf returns the number of hosts that send to the targets of a service.
func hostsOf(d *declaration.Division) float64 {
	if d == nil || d.Share <= 0 {
		return 1
	}
	return 1 / d.Share
}

// PlacementMetrics holds the metrics of how work is placed. A nil *PlacementMetrics records nothing.
type PlacementMetrics struct {
	table                *route.Table
	clock                clockwork.Clock
	ratio                prometheus.Histogram
	choices, outstanding *prometheus.Desc
}

// NewPlacementMetrics registers the metrics.
func NewPlacementMetrics(r prometheus.Registerer, table *route.Table, clock clockwork.Clock) *PlacementMetrics {
	m := &PlacementMetrics{
		table: table, clock: clock,
		ratio: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "wasabirelay_relay_cost_ratio", Help: "Time of successful requests to targets divided by the expected time.", Buckets: ratioBuckets,
		}),
		choices:     prometheus.NewDesc("wasabirelay_relay_choices_total", "Choices of a target by reason: near, remote, overdue, avoided, deadline or late.", []string{reasonLabel}, nil),
		outstanding: prometheus.NewDesc("wasabirelay_relay_outstanding_seconds", "Work that a target still has to do for this host; those with the most.", []string{"target"}, nil),
	}
	r.MustRegister(m.ratio, m)
	return m
}

// Describe implements prometheus.Collector.
func (m *PlacementMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.choices
	out <- m.outstanding
}

// Collect implements prometheus.Collector.
func (m *PlacementMetrics) Collect(out chan<- prometheus.Metric) {
	for reason, n := range m.table.Choices() {
		out <- prometheus.MustNewConstMetric(m.choices, prometheus.CounterValue, float64(n), reason)
	}
	for _, o := range m.table.MostOutstanding(m.clock.Now(), maxOutstandingTargets) {
		out <- prometheus.MustNewConstMetric(m.outstanding, prometheus.GaugeValue, o.Work.Seconds(), o.Target)
	}
}

func (m *PlacementMetrics) prediction(expected, took time.Duration) {
	if m != nil && expected > 0 {
		m.ratio.Observe(float64(took) / float64(expected))
	}
}
