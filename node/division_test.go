package node

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/exchange"
	"wasabirelay/relay"
	"wasabirelay/routing"
)

// Guards against too many connections to targets that accept few, against targets that no host
// uses, and against hosts that avoid the target of their own data centre.
func TestAvoidedTargets(t *testing.T) {
	is := is.New(t)
	const hosts = 30
	targets := []*control.Target{
		{Name: "t0", Centre: "c0", State: control.Warm},
		{Name: "t1", Centre: "c1", State: control.Warm},
		{Name: "t2", Centre: "c2", State: control.Warm},
	}
	view := func(connections int) *relay.View {
		d := &routing.Document{Services: []routing.Service{{Name: "s", Connections: connections}}}
		return &relay.View{Routing: routing.NewTable(d), Targets: map[string][]*control.Target{"s": targets}}
	}
	used := map[string]int{}
	all := &division{hosts: make([]string, hosts)}
	for i := range hosts {
		e := entryHost(fmt.Sprintf("h%d", i), fmt.Sprintf("c%d", i%3))
		spare := e.avoidedTargets(view(minConnectionsPerHost*hosts-1), all)
		is.Equal(len(spare), len(targets)-subsetSize)
		is.True(!spare[fmt.Sprintf("t%d", i%3)])
		for _, target := range targets {
			if !spare[target.Name] {
				used[target.Name]++
			}
		}
		is.Equal(len(e.avoidedTargets(view(minConnectionsPerHost*hosts), all)), 0)
	}
	for _, n := range used {
		is.True(n > hosts/3 && n < hosts)
	}
	targets[0].State = control.Cold
	is.True(entryHost("h0", "c0").avoidedTargets(view(1), all)["t0"]) // a nearby cold target ranks last
}

// Guards against hosts that together exceed a shared limit, and against a small deployment
// that leaves a part of it unused.
func TestHostShare(t *testing.T) {
	is := is.New(t)
	is.Equal(hostShare(6, 0, true), 1.0/6)
	sum := 12*hostShare(12, 44, true) + 44*hostShare(12, 44, false)
	is.True(sum <= 1+1e-9 && sum > 0.99)
	is.True(hostShare(12, 44, true) > 10*hostShare(12, 44, false))
	is.Equal(hostShare(0, 0, false), 1.0) // no other host is known
}

// Guards against hosts that open all connections that a target accepts, so that it resets
// those that they open after a loss of power, and against hosts that get none.
func TestUsableConnections(t *testing.T) {
	for _, tt := range []struct{ connections, hosts, want int }{
		{60, 20, 30},
		{60, 56, 56},
		{26, 7, 13},
		{26, 20, 20},
		{10, 20, 10},
		{0, 20, 0},
	} {
		is.New(t).Equal(usableConnections(tt.connections, tt.hosts), tt.want)
	}
}

// Guards against hosts that open connections ahead of use to targets that they avoid or before
// they are active, and against hosts that never do.
func TestWarmConnections(t *testing.T) {
	is := is.New(t)
	e := entryHost("h0", "c0")
	v := &relay.View{}
	target := &control.Target{Name: "t0", State: control.Warm}
	is.Equal(e.warmConnections(v, &division{active: true}, target, true), 1)
	is.Equal(e.warmConnections(v, &division{}, target, true), 0)
	is.Equal(e.warmConnections(&relay.View{Avoid: map[string]bool{"t0": true}}, &division{active: true}, target, true), 0)
}

// Guards against hosts that all count themselves as active because the list of hosts is not
// synced yet, and that remember this.
func TestRecentlyActive(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := entryHost("h0", "c0")
	e.Clock, e.lastActive = clock, map[string]time.Time{}
	a, b := exchange.Host{Name: "a"}, exchange.Host{Name: "b"}
	is.Equal(e.recentlyActive([]exchange.Host{a}, false), []string{"a"})
	is.Equal(e.recentlyActive([]exchange.Host{b}, true), []string{"b"})
	clock.Advance(inactiveHostTTL)
	is.Equal(len(e.recentlyActive([]exchange.Host{a}, true)), 2) // b was active recently
	clock.Advance(time.Second)
	is.Equal(e.recentlyActive([]exchange.Host{a}, true), []string{"a"})
}

// Guards against portions and requests that are left to hosts that reach no target.
func TestStrandedHostsGetNoRequestsOfOthers(t *testing.T) {
	is := is.New(t)
	e := entryHost("h0", "c0")
	e.Settings.Peer = netip.MustParseAddrPort("127.0.0.1:7000")
	var hosts []exchange.Host
	for i := range 4 {
		hosts = append(hosts, exchange.Host{
			Name: fmt.Sprintf("h%d", i), Centre: fmt.Sprintf("c%d", i%2), Helper: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7000+i)), Stranded: i == 2,
		})
	}
	v := &relay.View{}
	e.divideRequests(v, &division{selected: hosts})
	is.Equal(v.Planner.Hosts, map[string][]string{"c0": {"h0"}, "c1": {"h1", "h3"}})
	is.Equal(v.Helpers, []string{"h1", "h3"})
	is.True(e.helpers.Usable("h2")) // its connection is kept: its links may be restored soon
}
