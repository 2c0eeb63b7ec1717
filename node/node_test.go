package node

import (
	"context"
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
)

// Guards against callers that are sent to a draining host, or to another data centre although
// their own has hosts.
func TestCallerAddresses(t *testing.T) {
	is := is.New(t)
	address := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80) }
	hosts := []exchange.Host{
		{Name: "a", Centre: "x", Caller: address(1)},
		{Name: "b", Centre: "y", Caller: address(2)},
		{Name: "c", Centre: "x", Caller: address(3), Draining: true},
		{Name: "d", Centre: "x", Peer: address(4)}, // a control host
	}
	is.Equal(callerAddresses(hosts, "x"), []netip.AddrPort{address(1), address(2)})
	is.Equal(callerAddresses(hosts, "y"), []netip.AddrPort{address(2), address(1)})
	is.Equal(len(callerAddresses(nil, "x")), 0)
	var many []exchange.Host
	for i := range 100 {
		many = append(many, exchange.Host{Name: fmt.Sprint(i), Caller: address(byte(i))})
	}
	is.Equal(len(callerAddresses(many, "x")), maxAddresses)
}

func entryHost(name, centre string) *Entry {
	return &Entry{Process: &Process{Settings: Settings{Host: name, Centre: centre}}}
}

// controlHost returns an initialized control host named a.
func controlHost(clock clockwork.Clock, s Settings) *Control {
	s.Host, s.HeartbeatInterval = "a", time.Second
	c := &Control{Process: &Process{Settings: s, Clock: clock, Log: zerolog.Nop(), Registry: prometheus.NewRegistry()}}
	c.init()
	return c
}

// Guards against a host that takes part in the agreement on bootstrap members although it may have lost what it has promised,
// and against one that loses its part with its process.
func TestPartInAgreement(t *testing.T) {
	own, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for _, tt := range []struct {
		name      string
		bootstrap bool
		seeds     []netip.AddrPort
		part      bool
	}{
		{"the first start", true, []netip.AddrPort{other, own}, true},
		{"not the first start", false, []netip.AddrPort{own}, false},
		{"not a seed", true, []netip.AddrPort{other}, false},
		{"no seeds", true, nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			hasPart := func() bool {
				_, err := os.Stat(filepath.Join(dir, "agreement"))
				return err == nil
			}
			start := func(bootstrap bool, seeds []netip.AddrPort) {
				c := controlHost(clockwork.NewFakeClock(), Settings{Peer: own, Bootstrap: bootstrap, Seeds: seeds, DataDir: dir})
				is.NoErr(c.prepare())
				ended, cancel := context.WithCancel(t.Context())
				cancel()
				is.NoErr(c.replica.Run(ended)) // closes the data directory
			}
			start(tt.bootstrap, tt.seeds)
			is.Equal(hasPart(), tt.part)
			if !tt.part {
				return
			}
			start(false, nil)
			is.True(hasPart())
			is.NoErr(os.WriteFile(filepath.Join(dir, "agreement"), []byte("damaged"), 0o600))
			start(true, tt.seeds)
			is.True(!hasPart()) // it was set aside, and what it held is lost
		})
	}
}

// Guards against losing targets, hosts and the routing document in a restart, and against
// reading a damaged file as an empty one.
func TestCachedState(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	cached, err := loadCachedState(dir)
	is.NoErr(err)
	is.True(cached == nil)
	want := &exchange.CachedState{
		Targets:      []registry.Record{{Announcement: registry.Announcement{Target: "t", StartUnixMilli: 5, State: registry.Ready, ColdRemaining: time.Second}}},
		Hosts:        []exchange.Host{{Name: "e1", Start: 7, Caller: netip.MustParseAddrPort("10.0.0.1:80")}},
		RoutingState: control.RoutingState{Revision: 4, Routing: control.Routing{Version: 2, Source: []byte("two")}},
	}
	is.NoErr(writeCachedState(dir, want))
	cached, err = loadCachedState(dir)
	is.NoErr(err)
	is.Equal(cached, want)
	is.NoErr(os.WriteFile(filepath.Join(dir, cachedStateFile), []byte("{"), 0o600))
	_, err = loadCachedState(dir)
	is.True(err != nil)
}

// Guards against a target that has left and is in use again after its control host was killed: the
// acknowledgement of the leave comes after it has been saved, and also if the disk does not answer.
func TestLeaveIsSavedBeforeItIsAcknowledged(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := controlHost(clock, Settings{DataDir: t.TempDir()})
	is.NoErr(c.prepare())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- c.saveCachedState(ctx) }()
	_, err := c.hub.Serve(ctx, nil, []byte(`{"from":{"name":"e1","caller":"10.0.0.1:80"}}`)) // an entry host is in touch
	is.NoErr(err)
	target := registry.Announcement{
		Target: "t", StartUnixMilli: 5, Sequence: 1, Service: "s", Address: netip.MustParseAddrPort("10.0.0.9:80"), State: registry.Ready,
	}
	is.NoErr(c.Announce(target))
	for i, state := range []registry.State{registry.Draining, registry.Gone} {
		target.Sequence, target.State = uint64(2+i), state
		is.NoErr(c.Announce(target))
		cached, err := loadCachedState(c.Settings.DataDir)
		is.NoErr(err)
		is.Equal(cached.Targets[0].State, state)
	}
	cancel()
	is.NoErr(<-ended)

	acknowledged := make(chan error)
	go func() {
		target.StartUnixMilli++
		acknowledged <- c.Announce(target)
	}()
	is.NoErr(clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(maxSaveWait)
	is.NoErr(<-acknowledged)
}
