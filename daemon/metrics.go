package daemon

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"wasabirelay/operator"
	"wasabirelay/peer"
)

// collector exports the metrics of routing, connections and the control plane.
type collector struct {
	d *Daemon

	lease, inventory, revision, targets            *prometheus.Desc
	ejections, ejected, extraRefused               *prometheus.Desc
	open, inUse, waiting, limit, opened            *prometheus.Desc
	admitted, refusedEarly, peerSent, peerReceived *prometheus.Desc
}

func (d *Daemon) registerMetrics() {
	d.Registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), newCollector(d))
}

func newCollector(d *Daemon) *collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("wasabirelay_"+name, help, labels, nil)
	}
	return &collector{
		d:            d,
		lease:        desc("lease_held", "1 while this host holds a lease."),
		inventory:    desc("inventory_version", "Version of the inventory that this host has."),
		revision:     desc("control_revision", "Index of the last control command that this host has applied."),
		targets:      desc("targets", "Live targets.", "service", "state"),
		ejections:    desc("target_ejections_total", "Ejections of targets.", "reason"),
		ejected:      desc("targets_ejected", "Targets that are ejected now."),
		extraRefused: desc("extra_refused_total", "Hedges and retries that the budget refused.", "service"),
		open:         desc("target_connections", "Open connections.", "target"),
		inUse:        desc("target_inflight", "Sub-requests in flight.", "target"),
		waiting:      desc("target_waiting", "Sub-requests that wait for room.", "target"),
		limit:        desc("target_limit", "Limit of sub-requests in flight.", "target"),
		opened:       desc("target_connections_opened_total", "Connections opened.", "target"),
		admitted:     desc("queries_admitted_total", "Queries admitted.", "service"),
		refusedEarly: desc("queries_refused_early_total", "Queries refused because they can't be answered in time.", "service"),
		peerSent:     desc("peer_sent_bytes_total", "Bytes sent to other daemons."),
		peerReceived: desc("peer_received_bytes_total", "Bytes received from other daemons."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, out) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	c.collectControl(out)
	c.collectRoutes(out)
	c.collectConnections(out)
}

func gauge[T int | uint64 | float64](out chan<- prometheus.Metric, d *prometheus.Desc, v T, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
}

func counter[T int64 | uint64](out chan<- prometheus.Metric, d *prometheus.Desc, v T, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

func (c *collector) collectControl(out chan<- prometheus.Metric) {
	held := 0
	if _, err := c.d.follower.LeasedView(); err == nil {
		held = 1
	}
	v := c.d.follower.View()
	gauge(out, c.lease, held)
	gauge(out, c.inventory, v.Version)
	gauge(out, c.revision, v.Revision)
	for service, list := range v.Targets {
		states := map[string]int{}
		for _, t := range list {
			states[string(t.State)]++
		}
		for state, n := range states {
			gauge(out, c.targets, n, service, state)
		}
	}
	sent, received := peer.Traffic()
	counter(out, c.peerSent, sent)
	counter(out, c.peerReceived, received)
}

func (c *collector) collectRoutes(out chan<- prometheus.Metric) {
	s := c.d.routes.Stats(c.d.Clock.Now())
	for reason, n := range s.Ejections {
		counter(out, c.ejections, n, reason)
	}
	gauge(out, c.ejected, len(s.Ejected))
	for service, n := range s.Refused {
		counter(out, c.extraRefused, n, service)
	}
}

func (c *collector) collectConnections(out chan<- prometheus.Metric) {
	for name, s := range c.d.pool.Stats() {
		gauge(out, c.open, s.Open, name)
		gauge(out, c.inUse, s.InUse, name)
		gauge(out, c.waiting, s.Waiting, name)
		gauge(out, c.limit, s.Limit, name)
		counter(out, c.opened, s.Opened, name)
	}
	for service, s := range c.d.admission.Stats() {
		counter(out, c.admitted, s.Admitted, service)
		counter(out, c.refusedEarly, s.Refused, service)
	}
}

// findings returns the findings of this host itself: a disk that refuses writes, and the targets that
// it ejected or treats as cold.
func (d *Daemon) findings() []operator.Finding {
	s := d.routes.Stats(d.Clock.Now())
	var out []operator.Finding
	if d.replica != nil && d.replica.DiskFailing() {
		out = append(out, operator.Finding{
			Level: operator.Reduced, Subject: "control host " + d.Settings.Host, Description: "its disk refuses writes",
			SystemAction: "it takes no part in the group until the disk accepts them", OperatorAction: "free space on the disk, or replace it",
		})
	}
	for name, reason := range s.Ejected {
		out = append(out, operator.Finding{
			Level: operator.Reduced, Subject: "target " + name,
			Description:  fmt.Sprintf("host %s ejected it: %s", d.Settings.Host, reason),
			SystemAction: "sends it one probe at a time", OperatorAction: "look at the target if it does not recover",
		})
	}
	for name := range s.Suspected {
		out = append(out, operator.Finding{
			Level: operator.Notice, Subject: "target " + name, Description: "it acts cold without having said so",
			SystemAction: "sends it only what a cold target can run", OperatorAction: "",
		})
	}
	slices.SortFunc(out, func(a, b operator.Finding) int { return cmp.Compare(a.Subject, b.Subject) })
	return out
}
