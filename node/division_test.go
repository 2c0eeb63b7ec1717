package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/exchange"
	"wasabirelay/relay"
	"wasabirelay/routing"
)

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

// Guards against hosts that open connections ahead of use to targets that they hardly
// use, and against hosts that never do.
func TestWarm(t *testing.T) {
	is := is.New(t)
	e := entryHost("h0", "c0")
	v := &relay.View{}
	target := &control.Target{Name: "t0", State: control.Warm}
	is.Equal(e.warm(v, &division{active: true}, target), 1)
	is.Equal(e.warm(v, &division{}, target), 0)
	is.Equal(e.warm(&relay.View{Avoid: map[string]bool{"t0": true}}, &division{active: true}, target), 0)
}

// Guards against hosts that all take themselves for active, because the lists are not
// settled yet, and remember that.
func TestRemember(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := entryHost("h0", "c0")
	e.Clock, e.known = clock, map[string]time.Time{}
	a, b := exchange.Host{Name: "a"}, exchange.Host{Name: "b"}
	is.Equal(e.remember([]exchange.Host{a}, false), []string{"a"})
	is.Equal(e.remember([]exchange.Host{b}, true), []string{"b"})
	clock.Advance(hostMemory)
	is.Equal(len(e.remember([]exchange.Host{a}, true)), 2) // b was active lately
	clock.Advance(time.Second)
	is.Equal(e.remember([]exchange.Host{a}, true), []string{"a"})
}
