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

// poll returns the response of the hub to the request, or nil if nothing has changed.
func poll(t *testing.T, h *Hub, q PollRequest) *PollResponse {
	t.Helper()
	text, _, err := h.respond(&q, true)
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
	if err := a.decompress(); err != nil {
		t.Fatal(err)
	}
	return &a
}

// startedHub returns a hub that has finished starting.
func startedHub(clock clockwork.Clock) *Hub {
	h := &Hub{Self: Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}, Clock: clock, Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	h.started = h.started.Add(-startingTime)
	h.tick()
	return h
}

// clientWithContact returns a client with one contact.
func clientWithContact(clock clockwork.Clock, self func() Host) (*Client, *contact) {
	k := &contact{client: &peer.Client{}}
	return &Client{
		Self: self, Clock: clock, Log: zerolog.Nop(), contacts: map[netip.AddrPort]*contact{netip.MustParseAddrPort("10.0.0.9:1"): k},
	}, k
}

// awaitTimeout bounds the wait for an expected state.
const awaitTimeout = 10 * time.Second

// runHub runs a hub on a loopback address.
func runHub(ctx context.Context, t *testing.T, name string, start int64) (*Hub, netip.AddrPort) {
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

func runClient(ctx context.Context, self Host, seeds ...netip.AddrPort) *Client {
	c := &Client{
		Self: func() Host { return self }, Seeds: func() []netip.AddrPort { return seeds }, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	}
	go func() { _ = c.Run(ctx) }()
	return c
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func entry(name string) Host {
	return Host{Name: name, Start: 1, Caller: netip.MustParseAddrPort("10.0.0.1:80")}
}

// Guards against hosts that do not discover each other from one seed, against targets and
// documents that do not reach all hosts, and against dead hosts that stay listed.
func TestExchange(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, first := runHub(ctx, t, "a", 1)
	b, second := runHub(ctx, t, "b", 1)
	runClient(ctx, b.Self, first) // b sends its description to a
	c := runClient(ctx, entry("e1"), first)
	await(t, "both control hosts", func() bool { return len(c.ControlHosts(Expiry)) == 2 })
	is.Equal(c.ControlHosts(Expiry)[1].Peer, second)

	b.Announce(registry.Announcement{Target: "t", StartUnixMilli: 1, Service: "s", State: registry.Ready, Address: first})
	await(t, "the announced target", func() bool { targets, _ := c.Targets(); return len(targets["s"]) == 1 })
	a.Announce(registry.Announcement{Target: "t", State: registry.Gone})
	await(t, "the removal of the target", func() bool { targets, _ := c.Targets(); return len(targets["s"]) == 0 })

	b.SetRoutingState(control.RoutingState{Revision: 4, Routing: control.Routing{Version: 2, Source: []byte("two")}})
	await(t, "the routing document", func() bool { return c.RoutingState().Routing.Version == 2 })
	a.SetRoutingState(control.RoutingState{Revision: 3, Routing: control.Routing{Version: 1, Source: []byte("one")}})
	b.SetRoutingState(control.RoutingState{Revision: 5, Routing: control.Routing{Version: 2, Source: []byte("two")}, Out: []string{"x"}})
	await(t, "the evacuation", func() bool { return len(c.RoutingState().Out) == 1 })
	is.Equal(string(c.RoutingState().Routing.Source), "two") // the older document at a changes nothing

	short, stop := context.WithCancel(ctx)
	runClient(short, entry("e2"), second)
	await(t, "the second entry host", func() bool { return len(c.Hosts()) == 2 })
	stop()
	await(t, "the expiry of the second entry host", func() bool { return len(c.Hosts()) == 1 })
}

// Guards against callers that are sent to a host after it has announced that it drains.
func TestDraining(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, address := runHub(ctx, t, "a", 1)
	other := runClient(ctx, entry("e1"), address)
	self := entry("e2")
	c := &Client{
		Self: func() Host { return self }, Seeds: func() []netip.AddrPort { return []netip.AddrPort{address} },
		Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	}
	go func() { _ = c.Run(ctx) }()
	control := runClient(ctx, Host{Name: "b", Start: 1, Peer: netip.MustParseAddrPort("127.0.0.1:1")}, address)
	await(t, "both entry hosts", func() bool { return len(other.Active()) == 2 && len(control.Active()) == 2 })
	c.mu.Lock()
	self.Draining = true
	c.mu.Unlock()
	c.Notify(ctx)
	// Entry hosts see it removed, control hosts see it draining.
	await(t, "the removal of e2 from the active hosts", func() bool { return !names(other.Active())["e2"] && !names(control.Active())["e2"] })
	await(t, "the draining state of e2 at control hosts", func() bool {
		for _, h := range control.Hosts() {
			if h.Name == "e2" && h.Draining {
				return true
			}
		}
		return false
	})
}

// Guards against a poll request of an earlier run of a host that replaces the later run, and
// against a request that waits although its revisions are of another run of the hub.
func TestStalePoll(t *testing.T) {
	is := is.New(t)
	h := startedHub(clockwork.NewRealClock())
	is.True(!h.Connected())
	pollHub := func(q PollRequest) *PollResponse { return poll(t, h, q) }
	newer, older := entry("e1"), entry("e1")
	newer.Start, newer.Draining = 5, true
	is.True(pollHub(PollRequest{From: newer}) != nil)
	is.True(h.Connected())
	is.True(pollHub(PollRequest{From: older}) != nil)
	is.True(h.members["e1"].Draining)
	a := pollHub(PollRequest{From: newer, Run: 9, Targets: 0, Hosts: h.selected.revision, Wait: time.Second})
	is.True(a == nil) // nothing has changed: the request waits
	a = pollHub(PollRequest{From: newer, Run: 8, Targets: 99, Hosts: 99, Wait: time.Second})
	is.True(a != nil) // the revisions are of another run of the hub
	is.True(a.Complete)
	is.Equal(len(a.List), 0) // the only entry host drains
	is.Equal(a.Entries, 1)
	a = pollHub(PollRequest{From: Host{Name: "b", Peer: netip.MustParseAddrPort("10.0.0.8:1")}})
	is.Equal(len(a.List), 2) // a control host receives all hosts
}

// Guards against every control host sending the routing document at the same time: a response
// contains it only on request.
func TestDocumentFetch(t *testing.T) {
	is := is.New(t)
	h := startedHub(clockwork.NewRealClock())
	h.SetRoutingState(control.RoutingState{Revision: 3, Routing: control.Routing{Version: 2, Source: []byte("two")}})
	pollRoutingState := func(q PollRequest) *control.RoutingState {
		q.From, q.Run = entry("e1"), 9
		return poll(t, h, q).RoutingState
	}
	is.Equal(len(pollRoutingState(PollRequest{}).Routing.Source), 0)
	is.Equal(pollRoutingState(PollRequest{}).Routing.Version, uint64(2)) // the version without the source
	is.Equal(string(pollRoutingState(PollRequest{Document: true}).Routing.Source), "two")
	is.Equal(len(pollRoutingState(PollRequest{Document: true, Routing: 2}).Routing.Source), 0) // the host already has the document
	is.True(pollRoutingState(PollRequest{RoutingState: 3}) == nil)

	var c Client
	c.Log = zerolog.Nop()
	is.True(!c.adoptRoutingState(&control.RoutingState{Revision: 3, Routing: control.Routing{Version: 2}}))
	is.Equal(c.RoutingState().Revision, uint64(0)) // no new state without the source
}

// Guards against a host that has left and is listed again because an older response arrives
// after a newer one.
func TestOvertakenResponse(t *testing.T) {
	is := is.New(t)
	c, k := clientWithContact(clockwork.NewRealClock(), func() Host { return entry("e1") })
	from := Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}
	c.merge(k, &PollResponse{From: from, Hosts: 5, Complete: true, List: []Host{entry("e1"), entry("e2")}})
	c.merge(k, &PollResponse{From: from, Hosts: 7, Gone: []string{"e2"}})
	c.merge(k, &PollResponse{From: from, Hosts: 6, List: []Host{entry("e2")}})
	is.Equal(len(c.Hosts()), 1)
	from.Start = 10 // the revisions of another run start over
	c.merge(k, &PollResponse{From: from, Hosts: 1, Complete: true, List: []Host{entry("e3")}})
	is.Equal(len(c.Hosts()), 2)
}

// Guards against hosts that all consider themselves active after the start of the control
// hosts, because the lists are still incomplete, and against lists that stay incomplete.
func TestStarting(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c, k := clientWithContact(clock, func() Host { return entry("e1") })
	h := &Hub{Self: Host{Name: "a", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.9:1")}, Clock: clock, Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	pollOnce := func() { c.merge(k, poll(t, h, PollRequest{From: entry("e1"), Run: k.seen.Run, Hosts: k.seen.Hosts})) }
	pollOnce()
	is.True(!c.Synced())
	poll(t, h, PollRequest{From: entry("e2")})
	clock.Advance(startingTime)
	h.tick()
	pollOnce()
	is.True(c.Synced())
	is.Equal(len(c.Hosts()), 2)

	h.Self.Start = 10 // the hub restarts, and e2 has not polled it yet
	h.Init()
	pollOnce()
	is.Equal(len(c.Hosts()), 2)
	clock.Advance(startingTime)
	h.tick()
	pollOnce()
	is.Equal(len(c.Hosts()), 1) // e2 has not polled while the hub was starting
}

// Guards against sending all hosts to all entry hosts, which costs the square of their number,
// and against entry hosts that select other active hosts than control hosts do.
func TestSelectedList(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := startedHub(clock)
	all := entryHosts(100, "c0", "c1", "c2")
	for _, e := range all {
		poll(t, h, PollRequest{From: e})
	}
	self := all[0]
	c, k := clientWithContact(clock, func() Host { return self })
	for i, e := range all {
		a := poll(t, h, PollRequest{From: e})
		is.True(len(a.List) <= minActive+2)
		if i%10 == 0 {
			self, k.list = e, nil
			c.merge(k, a)
			is.Equal(names(c.Active()), names(Active(all, minActive)))
		}
	}
	is.Equal(c.EntryCount(), len(all))
	before := h.selected.revision
	spare := entry("spare")
	spare.Centre = "c0"
	for names(Active(append(all, spare), minActive))["spare"] {
		spare.Name += "x"
	}
	poll(t, h, PollRequest{From: spare})
	is.Equal(h.selected.revision, before) // an inactive host does not change the list for entry hosts

	first, _, err := h.respond(&PollRequest{From: all[0]}, true)
	is.NoErr(err)
	spare.Start++
	poll(t, h, PollRequest{From: spare})
	second, _, err := h.respond(&PollRequest{From: all[1]}, true)
	is.NoErr(err)
	is.True(&first[0] == &second[0]) // its restart does not either: the cached response is reused
	chosen := Active(all, minActive)[0]
	chosen.Start++
	a := poll(t, h, PollRequest{From: chosen})
	is.True(slices.Contains(a.List, chosen))
}

// Guards against large responses that are encoded anew for each host, or sent uncompressed.
func TestResponseCache(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := startedHub(clock)
	for i := range 200 {
		h.Announce(registry.Announcement{
			Target: fmt.Sprint("t", i), StartUnixMilli: 1, Service: "s", State: registry.Ready, Address: netip.MustParseAddrPort("10.0.0.1:80"), ColdRemaining: time.Second,
		})
	}
	is.Equal(len(poll(t, h, PollRequest{From: entry("e1")}).Changes), 200)
	first, _, err := h.respond(&PollRequest{From: entry("e1")}, true)
	is.NoErr(err)
	second, _, err := h.respond(&PollRequest{From: entry("e1"), Wait: time.Second}, true)
	is.NoErr(err)
	is.True(&first[0] == &second[0])
	plain, err := json.Marshal(h.build(clock.Now(), &PollRequest{}, &h.selected))
	is.NoErr(err)
	is.True(len(first) < len(plain)/4)
	clock.Advance(responseReuse + time.Millisecond)
	is.Equal(poll(t, h, PollRequest{From: entry("e1")}).Changes[0].ColdRemaining, time.Second-responseReuse-time.Millisecond)
	h.Announce(registry.Announcement{Target: "t0", StartUnixMilli: 1, Sequence: 1, State: registry.Gone})
	is.True(poll(t, h, PollRequest{From: entry("e1")}).Targets > 200)
	is.True((&PollResponse{Compressed: []byte("no")}).decompress() != nil)
}

// Guards against sending the complete list of hosts on each change: when many hosts start at
// once, that is most of the traffic.
func TestListChanges(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := startedHub(clock)
	pollAs := func(name string, revision uint64) *PollResponse {
		return poll(t, h, PollRequest{From: entry(name), Run: 9, Hosts: revision})
	}
	a := pollAs("e1", 0)
	is.True(a.Complete)
	is.Equal(len(a.List), 1)
	listed := a.Hosts
	pollAs("e2", 0)
	a = pollAs("e1", listed)
	is.True(!a.Complete)
	is.Equal(len(a.List), 1)
	is.Equal(a.List[0].Name, "e2")
	listed = a.Hosts
	is.Equal(len(pollAs("e1", listed).List), 0)
	clock.Advance(Expiry / 2)
	pollAs("e1", listed)
	clock.Advance(Expiry / 2)
	h.tick()
	a = pollAs("e1", listed)
	is.Equal(a.Gone, []string{"e2"})
	is.Equal(len(a.List), 0)
	a = pollAs("e2", listed) // e2 is listed again
	is.Equal(len(a.Gone), 0)
	is.Equal(a.List[0].Name, "e2")
	is.True(pollAs("e1", 1000).Complete) // a revision that the hub has not issued
}

// Guards against a host that restarts after its clock was ahead and is taken for an earlier
// run until its entry expires, which takes a minute for a control host (forgetControlAfter).
func TestEarlierStartTime(t *testing.T) {
	is := is.New(t)
	h := &Hub{Self: Host{Name: "a", Start: 1}, Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), Silence: time.Minute}
	h.Init()
	now := h.Clock.Now()
	newer := Host{Name: "b", Start: 9, Peer: netip.MustParseAddrPort("10.0.0.2:80")}
	h.recordHost(now, &newer, 0)
	older := newer
	older.Start = 5
	h.recordHost(now.Add(time.Second), &older, 0)
	is.Equal(h.members["b"].Start, int64(9)) // the later run polls at least this often
	h.recordHost(now.Add(PollWait+responseTimeout), &older, 0)
	is.Equal(h.members["b"].Start, int64(5))
}

// Guards against hosts that wait for a leader, or select other active hosts, after all hosts
// have restarted, and against hosts of the cached state that stay listed without polling.
func TestCachedState(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	before := startedHub(clock)
	all := entryHosts(60, "c0", "c1", "c2")
	for _, e := range all {
		poll(t, before, PollRequest{From: e})
	}
	poll(t, before, PollRequest{From: Host{Name: "b", Peer: netip.MustParseAddrPort("10.0.0.8:1")}})
	before.Announce(registry.Announcement{Target: "t", StartUnixMilli: 1, Service: "s", State: registry.Ready, Address: netip.MustParseAddrPort("10.0.0.1:80")})
	before.SetRoutingState(control.RoutingState{Revision: 4, Routing: control.Routing{Version: 2, Source: []byte("two")}})
	is.True(before.ChangedSince([3]uint64{}))
	state, revision := before.CachedState()
	is.True(!before.ChangedSince(revision))
	is.Equal(len(state.Hosts), len(all))

	after := &Hub{Self: Host{Name: "a", Start: 20}, Clock: clock, Log: zerolog.Nop(), Silence: time.Minute}
	after.Init()
	after.Restore(state, time.Second)
	is.True(!after.Connected()) // no entry host would receive an announcement
	first := all[0]
	first.Start++
	a := poll(t, after, PollRequest{From: first, Document: true})
	is.True(!a.Starting)
	is.Equal(names(a.List), names(Active(all, minActive)))
	is.Equal(len(a.Changes), 1)
	is.Equal(string(a.RoutingState.Routing.Source), "two")
	after.SetRoutingState(control.RoutingState{Revision: 3}) // older states are applied while the log is replayed
	is.Equal(after.RoutingState().Revision, uint64(4))
	clock.Advance(Expiry)
	after.tick()
	is.Equal(after.Members(), 0)
}
