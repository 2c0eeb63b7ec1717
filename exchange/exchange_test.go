package exchange

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/peer"
	"wasabirelay/registry"
)

// patience bounds the wait for a state that must come.
const patience = 10 * time.Second

// hub runs a hub on loopback.
func hub(ctx context.Context, t *testing.T, name string, start int64) (*Hub, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	h := &Hub{
		Self: Host{Name: name, Start: start, Peer: address}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Silence: time.Minute,
	}
	h.Init()
	server := &peer.Server{Address: address, Handlers: map[string]peer.Handler{Method: h.Serve}}
	go func() { _ = server.Run(ctx, l) }()
	go func() { _ = h.Run(ctx) }()
	return h, address
}

func follow(ctx context.Context, self Host, seeds ...netip.AddrPort) *Client {
	c := &Client{
		Self: func() Host { return self }, Seeds: func() []netip.AddrPort { return seeds }, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	}
	go func() { _ = c.Run(ctx) }()
	return c
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

func entry(name string) Host {
	return Host{Name: name, Start: 1, Caller: netip.MustParseAddrPort("10.0.0.1:80")}
}

// Guards against hosts that do not find each other from one seed, against targets and
// documents that do not spread, and against dead hosts that are named on.
func TestExchange(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, first := hub(ctx, t, "a", 1)
	b, second := hub(ctx, t, "b", 1)
	follow(ctx, b.Self, first) // b tells a about itself
	c := follow(ctx, entry("e1"), first)
	await(t, "both control hosts found", func() bool { return len(c.Control(Expiry)) == 2 })
	is.Equal(c.Control(Expiry)[1].Peer, second)

	b.Announce(registry.Announcement{Target: "t", Born: 1, Service: "s", State: registry.Ready, Address: first})
	await(t, "the target", func() bool { targets, _ := c.Targets(); return len(targets["s"]) == 1 })
	a.Announce(registry.Announcement{Target: "t", State: registry.Gone})
	await(t, "the leave", func() bool { targets, _ := c.Targets(); return len(targets["s"]) == 0 })

	b.SetShared(control.Shared{Revision: 4, Routing: control.Routing{Version: 2, Source: []byte("two")}})
	await(t, "the document", func() bool { return c.Shared().Routing.Version == 2 })
	a.SetShared(control.Shared{Revision: 3, Routing: control.Routing{Version: 1, Source: []byte("one")}})
	b.SetShared(control.Shared{Revision: 5, Routing: control.Routing{Version: 2, Source: []byte("two")}, Out: []string{"x"}})
	await(t, "the evacuation", func() bool { return len(c.Shared().Out) == 1 })
	is.Equal(string(c.Shared().Routing.Source), "two") // an older one at a changes nothing

	short, stop := context.WithCancel(ctx)
	follow(short, entry("e2"), second)
	await(t, "another host", func() bool { return len(c.Hosts()) == 2 })
	stop()
	await(t, "its end", func() bool { return len(c.Hosts()) == 1 })
}

// Guards against a host that is still named to callers after it said that it stops.
func TestDraining(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, address := hub(ctx, t, "a", 1)
	other := follow(ctx, entry("e1"), address)
	self := entry("e2")
	c := &Client{
		Self: func() Host { return self }, Seeds: func() []netip.AddrPort { return []netip.AddrPort{address} },
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	}
	go func() { _ = c.Run(ctx) }()
	await(t, "both hosts", func() bool { return len(other.Hosts()) == 2 })
	c.mu.Lock()
	self.Draining = true
	c.mu.Unlock()
	c.Tell(ctx)
	await(t, "the notice", func() bool {
		for _, h := range other.Hosts() {
			if h.Name == "e2" && h.Draining {
				return true
			}
		}
		return false
	})
}

// Guards against a question of an earlier run of a host that replaces the later one,
// and against a wait without end.
func TestHub(t *testing.T) {
	is := is.New(t)
	h := &Hub{Self: Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	is.True(!h.Connected())
	ask := func(q Question) *Answer {
		a, _ := h.answer(&q, true)
		return a
	}
	newer, older := entry("e1"), entry("e1")
	newer.Start, newer.Draining = 5, true
	is.True(ask(Question{From: newer}) != nil)
	is.True(h.Connected())
	is.True(ask(Question{From: older}) != nil)
	is.True(h.members["e1"].Draining)
	a := ask(Question{From: newer, Run: 9, Targets: 0, Hosts: h.version, Wait: time.Second})
	is.True(a == nil) // no news: the question waits
	a = ask(Question{From: newer, Run: 8, Targets: 99, Hosts: 99, Wait: time.Second})
	is.True(a != nil) // the revisions are of another run
	is.True(a.Whole)
	is.Equal(len(a.List), 1)
}

// Guards against a document that every control host sends at the same time.
func TestDocument(t *testing.T) {
	is := is.New(t)
	h := &Hub{Self: Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	h.SetShared(control.Shared{Revision: 3, Routing: control.Routing{Version: 2, Source: []byte("two")}})
	ask := func(q Question) *control.Shared {
		q.From, q.Run = entry("e1"), 9
		a, _ := h.answer(&q, true)
		return a.Shared
	}
	is.Equal(len(ask(Question{}).Routing.Source), 0)
	is.Equal(ask(Question{}).Routing.Version, uint64(2)) // told, not sent
	is.Equal(string(ask(Question{Document: true}).Routing.Source), "two")
	is.Equal(len(ask(Question{Document: true, Routing: 2}).Routing.Source), 0) // the host has it
	is.True(ask(Question{Shared: 3}) == nil)

	var c Client
	c.Log = zerolog.Nop()
	is.True(!c.adopt(&control.Shared{Revision: 3, Routing: control.Routing{Version: 2}}))
	is.Equal(c.Shared().Revision, uint64(0)) // nothing without the source
}

// Guards against a host that left and is listed again by an answer that was overtaken.
func TestOvertakenAnswer(t *testing.T) {
	is := is.New(t)
	c := Client{Self: func() Host { return entry("e1") }, Clock: clockwork.NewRealClock(), Log: zerolog.Nop()}
	k := &contact{client: &peer.Client{}}
	c.contacts = map[netip.AddrPort]*contact{netip.MustParseAddrPort("10.0.0.9:1"): k}
	from := Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}
	c.take(k, &Answer{From: from, Hosts: 5, Whole: true, List: []Host{entry("e1"), entry("e2")}})
	c.take(k, &Answer{From: from, Hosts: 7, Gone: []string{"e2"}})
	c.take(k, &Answer{From: from, Hosts: 6, List: []Host{entry("e2")}})
	is.Equal(len(c.Hosts()), 1)
	from.Start = 10 // the revisions of another run start anew
	c.take(k, &Answer{From: from, Hosts: 1, Whole: true, List: []Host{entry("e3")}})
	is.Equal(len(c.Hosts()), 2)
}

// Guards against the whole list of hosts for everybody with each change: at the start of
// many hosts that is most of the traffic.
func TestListChanges(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := &Hub{Self: Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}, Clock: clock, Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	ask := func(name string, revision uint64) *Answer {
		q := Question{From: entry(name), Run: 9, Hosts: revision}
		a, _ := h.answer(&q, true)
		return a
	}
	a := ask("e1", 0)
	is.True(a.Whole)
	is.Equal(len(a.List), 1)
	known := a.Hosts
	ask("e2", 0)
	a = ask("e1", known)
	is.True(!a.Whole)
	is.Equal(len(a.List), 1)
	is.Equal(a.List[0].Name, "e2")
	known = a.Hosts
	is.Equal(len(ask("e1", known).List), 0)
	clock.Advance(Expiry / 2)
	ask("e1", known)
	clock.Advance(Expiry / 2)
	h.tick()
	a = ask("e1", known)
	is.Equal(a.Gone, []string{"e2"})
	is.Equal(len(a.List), 0)
	a = ask("e2", known) // back again
	is.Equal(len(a.Gone), 0)
	is.Equal(a.List[0].Name, "e2")
	is.True(ask("e1", 1000).Whole) // a revision from nowhere
}

// Guards against a host that restarts after its clock was ahead and is taken for an
// earlier run until the list forgets it, which takes 30 s for a control host.
func TestEarlierStart(t *testing.T) {
	is := is.New(t)
	h := &Hub{Self: Host{Name: "a", Start: 1}, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	now := h.Clock.Now()
	known := Host{Name: "b", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.2:80")}
	h.note(now, &known, 0)
	held := known
	held.Start = 5
	h.note(now.Add(time.Second), &held, 0)
	is.Equal(h.members["b"].Start, int64(9)) // the later run asks at least this often
	h.note(now.Add(Wait+answerTimeout), &held, 0)
	is.Equal(h.members["b"].Start, int64(5))
}
