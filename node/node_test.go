package node

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/exchange"
	"wasabirelay/registry"
	"wasabirelay/relay"
	"wasabirelay/routing"
)

// Guards against callers that are sent to a host that stops, and to another data
// centre although their own has hosts.
func TestCallers(t *testing.T) {
	is := is.New(t)
	address := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80) }
	hosts := []exchange.Host{
		{Name: "a", Centre: "x", Caller: address(1)},
		{Name: "b", Centre: "y", Caller: address(2)},
		{Name: "c", Centre: "x", Caller: address(3), Draining: true},
		{Name: "d", Centre: "x", Peer: address(4)}, // a control host
	}
	is.Equal(callers(hosts, "x"), []netip.AddrPort{address(1), address(2)})
	is.Equal(callers(hosts, "y"), []netip.AddrPort{address(2), address(1)})
	is.Equal(len(callers(nil, "x")), 0)
	var many []exchange.Host
	for i := range 100 {
		many = append(many, exchange.Host{Name: fmt.Sprint(i), Caller: address(byte(i))})
	}
	is.Equal(len(callers(many, "x")), maxAddresses)
}

func entryHost(name, centre string) *Entry {
	return &Entry{Process: &Process{Settings: Settings{Host: name, Centre: centre}}}
}

// Guards against connections of all hosts to targets that can't hold them, against
// targets that no host uses, and against hosts that give up the target nearby.
func TestSpare(t *testing.T) {
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
	for i := range hosts {
		e := entryHost(fmt.Sprintf("h%d", i), fmt.Sprintf("c%d", i%3))
		spare := e.spare(view(roomy*hosts-1), hosts)
		is.Equal(len(spare), len(targets)-subset)
		is.True(!spare[fmt.Sprintf("t%d", i%3)])
		for _, target := range targets {
			if !spare[target.Name] {
				used[target.Name]++
			}
		}
		is.Equal(len(e.spare(view(roomy*hosts), hosts)), 0)
	}
	for _, n := range used {
		is.True(n > hosts/3 && n < hosts)
	}
	targets[0].State = control.Cold
	is.True(entryHost("h0", "c0").spare(view(1), hosts)["t0"]) // a cold one nearby is of no use
}

// Guards against a founding by a host that must not found, or before all seeds answer.
func TestFounders(t *testing.T) {
	own, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for _, tt := range []struct {
		name  string
		found bool
		seeds []netip.AddrPort
	}{
		{"not the first start", false, []netip.AddrPort{own}},
		{"not the first seed", true, []netip.AddrPort{other, own}},
		{"a seed is silent", true, []netip.AddrPort{own, other}},
		{"no seeds", true, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := &Control{Process: &Process{
				Settings: Settings{Host: "a", Peer: own, Found: tt.found, Seeds: tt.seeds, Data: t.TempDir(), Heartbeat: time.Second},
				Clock:    clock, Log: zerolog.Nop(), Registry: prometheus.NewRegistry(),
			}}
			c.init()
			is := is.New(t)
			is.NoErr(c.prepare())
			clock.Advance(time.Minute)
			is.Equal(len(c.founders()), 0)
		})
	}
}

// Guards against targets that are lost with the process, and against a damaged file
// that is taken for an empty one.
func TestSavedTargets(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	records, err := loadTargets(dir)
	is.NoErr(err)
	is.Equal(len(records), 0)
	want := []registry.Record{{Announcement: registry.Announcement{Target: "t", Born: 5, State: registry.Ready, Cold: time.Second}}}
	is.NoErr(storeTargets(dir, want))
	records, err = loadTargets(dir)
	is.NoErr(err)
	is.Equal(records, want)
	is.NoErr(os.WriteFile(filepath.Join(dir, targetsFile), []byte("{"), 0o600))
	_, err = loadTargets(dir)
	is.True(err != nil)
}

// Guards against hosts that together do more than they may, and against a small
// deployment that leaves a part unused.
func TestPart(t *testing.T) {
	is := is.New(t)
	is.Equal(part(6, 0, true), 1.0/6)
	sum := 12*part(12, 44, true) + 44*part(12, 44, false)
	is.True(sum <= 1+1e-9 && sum > 0.99)
	is.True(part(12, 44, true) > 10*part(12, 44, false))
	is.Equal(part(0, 0, false), 1.0) // nothing is known of other hosts
}

// Guards against hosts that fill a target with connections, so that it resets the ones
// that they open after a loss of power, and against hosts that get none.
func TestUsable(t *testing.T) {
	for _, tt := range []struct{ connections, hosts, want int }{
		{60, 20, 30},
		{60, 56, 56},
		{26, 7, 13},
		{26, 20, 20},
		{10, 20, 10},
		{0, 20, 0},
	} {
		is.New(t).Equal(usable(tt.connections, tt.hosts), tt.want)
	}
}

// Guards against hosts that all open connections ahead of use after a common restart,
// before they know of each other, and against hosts that never do.
func TestWarm(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := entryHost("h0", "c0")
	e.Clock, e.start = clock, clock.Now().UnixNano()
	v := &relay.View{}
	target := &control.Target{Name: "t0", State: control.Warm}
	is.Equal(e.warm(v, &division{active: true}, target), 0)
	clock.Advance(settling)
	is.Equal(e.warm(v, &division{active: true}, target), 1)
	is.Equal(e.warm(v, &division{}, target), 0)
	is.Equal(e.warm(&relay.View{Spare: map[string]bool{"t0": true}}, &division{active: true}, target), 0)
}
