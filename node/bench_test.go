package node

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/relay"
	"wasabirelay/routing"
)

// BenchmarkShares measures how long it takes to divide the connections of all targets of a
// larger deployment, which each change of targets or hosts causes.
func BenchmarkShares(b *testing.B) {
	const services, hosts = 90, 30
	e := &Entry{Process: &Process{
		Settings: Settings{Host: "h07", Centre: "c0"}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Registry: prometheus.NewRegistry(),
	}}
	e.init()
	e.pool = &limit.Pool{}
	d := &routing.Document{}
	v := &relay.View{Targets: map[string][]*control.Target{}}
	for i := range services {
		name := fmt.Sprintf("s%02d", i)
		d.Services = append(d.Services, routing.Service{Name: name, Connections: 60})
		for c := range 3 {
			v.Targets[name] = append(v.Targets[name], &control.Target{
				Name: fmt.Sprintf("i-%s-%d", name, c), Incarnation: "1", Service: name, Centre: fmt.Sprintf("c%d", c), State: control.Warm,
				Address: netip.MustParseAddrPort("10.0.0.1:1"),
			})
		}
	}
	v.Routing = routing.NewTable(d)
	div := division{active: true}
	for i := range hosts {
		div.hosts = append(div.hosts, fmt.Sprintf("h%02d", i))
	}
	for b.Loop() {
		v.Avoid = e.avoidedTargets(v, &div)
		e.connectionShares(v, &div)
	}
}
