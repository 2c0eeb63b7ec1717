package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabirelay/quorum"
)

// statusTimeout bounds the wait for the status of the replica when metrics are collected.
const statusTimeout = 200 * time.Millisecond

// registerMetrics registers the metrics of a control host. A metric whose value is not
// available in time is -1.
func (c *Control) registerMetrics() {
	local := func(value func(quorum.LocalStatus) float64) func() float64 {
		return func() float64 {
			ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
			defer cancel()
			l, err := c.replica.LocalStatus(ctx)
			if err != nil {
				return -1
			}
			return value(l)
		}
	}
	gauge := func(name, help string, value func() float64) {
		c.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "wasabirelay_control_" + name, Help: help}, value))
	}
	gauge("voter", "1 if this host counts towards a quorum.", local(func(l quorum.LocalStatus) float64 { return boolToFloat(l.Voter) }))
	gauge("leader", "1 if this host leads the control hosts.", local(func(l quorum.LocalStatus) float64 { return boolToFloat(l.Leader) }))
	gauge("disk_failing", "1 if the disk refuses writes, so that this host takes no part in the group.", local(func(l quorum.LocalStatus) float64 { return boolToFloat(l.DiskFailing) }))
	gauge("voters", "Members that count towards a quorum.", local(func(l quorum.LocalStatus) float64 { return float64(l.Voters) }))
	gauge("tolerated", "Voters that the group can still lose, or -1 if this host does not lead.", local(func(l quorum.LocalStatus) float64 { return float64(l.Tolerated) }))
	gauge("applied", "Index of the last command in the state.", local(func(l quorum.LocalStatus) float64 { return float64(l.Applied) }))
	gauge("routing", "Version of the routing document.", func() float64 { return float64(c.hub.RoutingState().Routing.Version) })
	gauge("hosts", "Hosts that asked lately.", func() float64 { return float64(c.hub.Members()) })
	gauge("active", "Entry hosts that callers are sent to.", func() float64 { return float64(c.hub.Active()) })
	gauge("targets", "Targets that were heard here lately.", func() float64 { return float64(c.hub.Targets()) })
}

// registerMetrics registers the metrics of an entry host.
func (e *Entry) registerMetrics() {
	e.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wasabirelay_entry_routing", Help: "Version of the routing document in force; 0 if there is none.",
	}, func() float64 {
		if v := e.view.Load(); v != nil {
			return float64(v.Routing.Document.Version)
		}
		return 0
	}))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
