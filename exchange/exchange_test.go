package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/peer"
	"wasabirelay/registry"
)

// ask returns the answer of the hub to the question, nil if it has no news.
func ask(t *testing.T, h *Hub, q PollRequest) *PollResponse {
	t.Helper()
	text, _, err := h.answer(&q, true)
	if err != nil {
		t.Fatal(err)
	}
	if text == nil {
		return nil
	}
	var a PollResponse
	if err := json.Unmarshal(text, &a); err != nil {
		t.Fatal(err)
	}
	if err := a.unpack(); err != nil {
		t.Fatal(err)
	}
	return &a
}

// grown returns a hub that has heard of all hosts.
func grown(clock clockwork.Clock) *Hub {
	h := &Hub{Self: Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}, Clock: clock, Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	h.started = h.started.Add(-youngTime)
	h.tick()
	return h
}

// following returns a client that has one contact.
func following(clock clockwork.Clock, self func() Host) (*Client, *contact) {
	k := &contact{client: &peer.Client{}}
	return &Client{
		Self: self, Clock: clock, Log: zerolog.Nop(), contacts: map[netip.AddrPort]*contact{netip.MustParseAddrPort("10.0.0.9:1"): k},
	}, k
}

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

	b.Announce(registry.Announcement{Target: "t", StartUnixMilli: 1, Service: "s", State: registry.Ready, Address: first})
	await(t, "the target", func() bool { targets, _ := c.Targets(); return len(targets["s"]) == 1 })
	a.Announce(registry.Announcement{Target: "t", State: registry.Gone})
	await(t, "the leave", func() bool { targets, _ := c.Targets(); return len(targets["s"]) == 0 })

	b.SetRoutingState(control.RoutingState{Revision: 4, Routing: control.Routing{Version: 2, Source: []byte("two")}})
	await(t, "the document", func() bool { return c.RoutingState().Routing.Version == 2 })
	a.SetRoutingState(control.RoutingState{Revision: 3, Routing: control.Routing{Version: 1, Source: []byte("one")}})
	b.SetRoutingState(control.RoutingState{Revision: 5, Routing: control.Routing{Version: 2, Source: []byte("two")}, Out: []string{"x"}})
	await(t, "the evacuation", func() bool { return len(c.RoutingState().Out) == 1 })
	is.Equal(string(c.RoutingState().Routing.Source), "two") // an older one at a changes nothing

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
	control := follow(ctx, Host{Name: "b", Start: 1, Peer: netip.MustParseAddrPort("127.0.0.1:1")}, address)
	await(t, "both hosts", func() bool { return len(other.Active()) == 2 && len(control.Active()) == 2 })
	c.mu.Lock()
	self.Draining = true
	c.mu.Unlock()
	c.Notify(ctx)
	// Entry hosts are told that it is gone, control hosts that it stops.
	await(t, "the notice", func() bool { return !names(other.Active())["e2"] && !names(control.Active())["e2"] })
	await(t, "the state", func() bool {
		for _, h := range control.Hosts() {
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
	h := grown(clockwork.NewRealClock())
	is.True(!h.Connected())
	ask := func(q PollRequest) *PollResponse { return ask(t, h, q) }
	newer, older := entry("e1"), entry("e1")
	newer.Start, newer.Draining = 5, true
	is.True(ask(PollRequest{From: newer}) != nil)
	is.True(h.Connected())
	is.True(ask(PollRequest{From: older}) != nil)
	is.True(h.members["e1"].Draining)
	a := ask(PollRequest{From: newer, Run: 9, Targets: 0, Hosts: h.selected.version, Wait: time.Second})
	is.True(a == nil) // no news: the question waits
	a = ask(PollRequest{From: newer, Run: 8, Targets: 99, Hosts: 99, Wait: time.Second})
	is.True(a != nil) // the revisions are of another run
	is.True(a.Complete)
	is.Equal(len(a.List), 0) // the only entry host stops
	is.Equal(a.Entries, 1)
	a = ask(PollRequest{From: Host{Name: "b", Peer: netip.MustParseAddrPort("10.0.0.8:1")}})
	is.Equal(len(a.List), 2) // a control host is told of all
}

// Guards against a document that every control host sends at the same time.
func TestDocument(t *testing.T) {
	is := is.New(t)
	h := grown(clockwork.NewRealClock())
	h.SetRoutingState(control.RoutingState{Revision: 3, Routing: control.Routing{Version: 2, Source: []byte("two")}})
	ask := func(q PollRequest) *control.RoutingState {
		q.From, q.Run = entry("e1"), 9
		return ask(t, h, q).RoutingState
	}
	is.Equal(len(ask(PollRequest{}).Routing.Source), 0)
	is.Equal(ask(PollRequest{}).Routing.Version, uint64(2)) // told, not sent
	is.Equal(string(ask(PollRequest{Document: true}).Routing.Source), "two")
	is.Equal(len(ask(PollRequest{Document: true, Routing: 2}).Routing.Source), 0) // the host has it
	is.True(ask(PollRequest{RoutingState: 3}) == nil)

	var c Client
	c.Log = zerolog.Nop()
	is.True(!c.adopt(&control.RoutingState{Revision: 3, Routing: control.Routing{Version: 2}}))
	is.Equal(c.RoutingState().Revision, uint64(0)) // nothing without the source
}

// Guards against a host that left and is listed again by an answer that was overtaken.
func TestOvertakenAnswer(t *testing.T) {
	is := is.New(t)
	c, k := following(clockwork.NewRealClock(), func() Host { return entry("e1") })
	from := Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}
	c.take(k, &PollResponse{From: from, Hosts: 5, Complete: true, List: []Host{entry("e1"), entry("e2")}})
	c.take(k, &PollResponse{From: from, Hosts: 7, Gone: []string{"e2"}})
	c.take(k, &PollResponse{From: from, Hosts: 6, List: []Host{entry("e2")}})
	is.Equal(len(c.Hosts()), 1)
	from.Start = 10 // the revisions of another run start anew
	c.take(k, &PollResponse{From: from, Hosts: 1, Complete: true, List: []Host{entry("e3")}})
	is.Equal(len(c.Hosts()), 2)
}

// Guards against hosts that all take themselves for active after control hosts have
// started, because the lists are short, and against lists that stay so.
func TestYoung(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c, k := following(clock, func() Host { return entry("e1") })
	h := &Hub{Self: Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}, Clock: clock, Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	follow := func() { c.take(k, ask(t, h, PollRequest{From: entry("e1"), Run: k.q.Run, Hosts: k.q.Hosts})) }
	follow()
	is.True(!c.Synced())
	ask(t, h, PollRequest{From: entry("e2")})
	clock.Advance(youngTime)
	h.tick()
	follow()
	is.True(c.Synced())
	is.Equal(len(c.Hosts()), 2)

	h.Self.Start = 10 // it restarts, and e2 has not asked again yet
	h.Init()
	follow()
	is.Equal(len(c.Hosts()), 2)
	clock.Advance(youngTime)
	h.tick()
	follow()
	is.Equal(len(c.Hosts()), 1) // e2 has gone meanwhile
}

// Guards against lists of all hosts for all entry hosts, which grow with the square of
// their number, and against entry hosts that select others than control hosts do.
func TestSelectedList(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := grown(clock)
	all := entries(100, "c0", "c1", "c2")
	for _, e := range all {
		ask(t, h, PollRequest{From: e})
	}
	self := all[0]
	c, k := following(clock, func() Host { return self })
	for i, e := range all {
		a := ask(t, h, PollRequest{From: e})
		is.True(len(a.List) <= leastActive+2)
		if i%10 == 0 {
			self, k.list = e, nil
			c.take(k, a)
			is.Equal(names(c.Active()), names(Active(all, leastActive)))
		}
	}
	is.Equal(c.EntryCount(), len(all))
	before := h.selected.version
	spare := entry("spare")
	spare.Centre = "c0"
	for names(Active(append(all, spare), leastActive))["spare"] {
		spare.Name += "x"
	}
	ask(t, h, PollRequest{From: spare})
	is.Equal(h.selected.version, before) // hosts that get no callers concern nobody

	first, _, err := h.answer(&PollRequest{From: all[0]}, true)
	is.NoErr(err)
	spare.Start++
	ask(t, h, PollRequest{From: spare})
	second, _, err := h.answer(&PollRequest{From: all[1]}, true)
	is.NoErr(err)
	is.True(&first[0] == &second[0]) // nor do their restarts, for which answers would be encoded anew
	chosen := Active(all, leastActive)[0]
	chosen.Start++
	a := ask(t, h, PollRequest{From: chosen})
	is.True(slices.Contains(a.List, chosen))
}

// Guards against large answers that are encoded for each host, or sent as they are.
func TestReplies(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := grown(clock)
	for i := range 200 {
		h.Announce(registry.Announcement{
			Target: fmt.Sprint("t", i), StartUnixMilli: 1, Service: "s", State: registry.Ready, Address: netip.MustParseAddrPort("10.0.0.1:80"), ColdRemaining: time.Second,
		})
	}
	is.Equal(len(ask(t, h, PollRequest{From: entry("e1")}).Changes), 200)
	first, _, err := h.answer(&PollRequest{From: entry("e1")}, true)
	is.NoErr(err)
	second, _, err := h.answer(&PollRequest{From: entry("e1"), Wait: time.Second}, true)
	is.NoErr(err)
	is.True(&first[0] == &second[0])
	plain, err := json.Marshal(h.build(clock.Now(), &PollRequest{}, &h.selected))
	is.NoErr(err)
	is.True(len(first) < len(plain)/4)
	clock.Advance(replyTime + time.Millisecond)
	is.Equal(ask(t, h, PollRequest{From: entry("e1")}).Changes[0].ColdRemaining, time.Second-replyTime-time.Millisecond)
	h.Announce(registry.Announcement{Target: "t0", StartUnixMilli: 1, Sequence: 1, State: registry.Gone})
	is.True(ask(t, h, PollRequest{From: entry("e1")}).Targets > 200)
	is.True((&PollResponse{Compressed: []byte("no")}).unpack() != nil)
}

// Guards against the whole list of hosts for everybody with each change: at the start of
// many hosts that is most of the traffic.
func TestListChanges(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := grown(clock)
	ask := func(name string, revision uint64) *PollResponse {
		return ask(t, h, PollRequest{From: entry(name), Run: 9, Hosts: revision})
	}
	a := ask("e1", 0)
	is.True(a.Complete)
	is.Equal(len(a.List), 1)
	known := a.Hosts
	ask("e2", 0)
	a = ask("e1", known)
	is.True(!a.Complete)
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
	is.True(ask("e1", 1000).Complete) // a revision from nowhere
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
	h.note(now.Add(PollWait+answerTimeout), &held, 0)
	is.Equal(h.members["b"].Start, int64(5))
}

// Guards against hosts that wait for a leader, or select other hosts than before, after all
// hosts have restarted, and against hosts of before that are named on.
func TestKnown(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	before := grown(clock)
	all := entries(60, "c0", "c1", "c2")
	for _, e := range all {
		ask(t, before, PollRequest{From: e})
	}
	ask(t, before, PollRequest{From: Host{Name: "b", Peer: netip.MustParseAddrPort("10.0.0.8:1")}})
	before.Announce(registry.Announcement{Target: "t", StartUnixMilli: 1, Service: "s", State: registry.Ready, Address: netip.MustParseAddrPort("10.0.0.1:80")})
	before.SetRoutingState(control.RoutingState{Revision: 4, Routing: control.Routing{Version: 2, Source: []byte("two")}})
	is.True(before.ChangedSince([3]uint64{}))
	known, revision := before.CachedState()
	is.True(!before.ChangedSince(revision))
	is.Equal(len(known.Hosts), len(all))

	after := &Hub{Self: Host{Name: "a", Start: 20}, Clock: clock, Log: zerolog.Nop(), Silence: time.Minute}
	after.Init()
	after.Restore(known, time.Second)
	is.True(!after.Connected()) // nobody would hear of a target
	first := all[0]
	first.Start++
	a := ask(t, after, PollRequest{From: first, Document: true})
	is.True(!a.Starting)
	is.Equal(names(a.List), names(Active(all, leastActive)))
	is.Equal(len(a.Changes), 1)
	is.Equal(string(a.RoutingState.Routing.Source), "two")
	after.SetRoutingState(control.RoutingState{Revision: 3}) // the log is read from its beginning
	is.Equal(after.RoutingState().Revision, uint64(4))
	clock.Advance(Expiry)
	after.tick()
	is.Equal(after.Members(), 0)
}
