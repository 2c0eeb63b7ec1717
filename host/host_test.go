package host

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/inventory"
	"wasabirelay/peer"
	"wasabirelay/problem"
	"wasabirelay/quorum"
)

// Guards against a list with addresses of hosts that do not serve.
func TestAddressList(t *testing.T) {
	d := &inventory.Document{
		Centres: map[string]inventory.Centre{"a": {}, "b": {OutOfService: true}},
		Hosts: map[string]inventory.Host{
			"h1": {Centre: "a"}, "h2": {Centre: "a"}, "h3": {Centre: "a", OutOfService: true}, "h4": {Centre: "b"},
		},
	}
	for _, tt := range []struct {
		name    string
		serving []string
		self    bool
		want    []string
	}{
		{"all serve", []string{"h1", "h2", "h3", "h4"}, true, []string{"h1", "h2"}},
		{"this host has lost its lease", []string{"h1", "h2"}, false, []string{"h2"}},
		{"a host without a lease", []string{"h1"}, true, []string{"h1"}},
		{"a host that is not in the inventory", []string{"h1", "h9"}, true, []string{"h1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, a := range addressList(d, tt.serving, "h1", tt.self).Addresses {
				got = append(got, a.Host)
			}
			is.New(t).True(slices.Equal(got, tt.want))
		})
	}
}

// serve runs a control host with the handlers and returns a client for it.
func serve(t *testing.T, handlers map[string]peer.Handler) *peer.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &peer.Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handlers: handlers, Log: zerolog.Nop()}
	l, err := s.Listen(ctx)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run(ctx, l) }()
	c := &peer.Client{Address: netip.MustParseAddrPort(l.Addr().String())}
	t.Cleanup(func() { c.Close(); cancel() })
	return c
}

// Guards against a proposal that is sent again although it may have been accepted, and
// against one that is not sent again although it certainly was not accepted.
func TestProposeRetriesOnlyIfSafe(t *testing.T) {
	refuse := func(code peer.Code, calls *atomic.Int32) map[string]peer.Handler {
		return map[string]peer.Handler{quorum.MethodPropose: func(context.Context, *peer.Conn, json.RawMessage) (any, error) {
			calls.Add(1)
			return nil, &peer.RemoteError{Code: code, Message: "refused"}
		}}
	}
	accept := map[string]peer.Handler{quorum.MethodPropose: func(context.Context, *peer.Conn, json.RawMessage) (any, error) {
		return control.Result{Index: 7}, nil
	}}
	t.Run("not the leader", func(t *testing.T) {
		is := is.New(t)
		var calls atomic.Int32
		c := &ControlClient{Clients: []*peer.Client{serve(t, refuse(peer.CodeNotLeader, &calls)), serve(t, accept)}}
		result, err := c.Propose(context.Background(), control.Command{})
		is.NoErr(err)
		is.Equal(result.Index, uint64(7))
		_, err = c.Propose(context.Background(), control.Command{})
		is.NoErr(err)
		is.Equal(calls.Load(), int32(1)) // The host that responded last is called first.
	})
	t.Run("unknown outcome", func(t *testing.T) {
		is := is.New(t)
		var calls atomic.Int32
		c := &ControlClient{Clients: []*peer.Client{serve(t, refuse(peer.CodeUnavailable, &calls)), serve(t, accept)}}
		_, err := c.Propose(context.Background(), control.Command{})
		var d *problem.Details
		is.True(errors.As(err, &d))
		is.Equal(d.Executed, problem.Unknown)
		is.Equal(calls.Load(), int32(1))
	})
	t.Run("unresponsive host", func(t *testing.T) {
		is := is.New(t)
		unresponsive := map[string]peer.Handler{quorum.MethodPropose: func(ctx context.Context, _ *peer.Conn, _ json.RawMessage) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		c := &ControlClient{Clients: []*peer.Client{serve(t, unresponsive), serve(t, accept)}}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := c.Propose(ctx, control.Command{})
		var d *problem.Details
		is.True(errors.As(err, &d))
		is.Equal(d.Executed, problem.Unknown)
		next, end := context.WithTimeout(t.Context(), time.Second)
		defer end()
		result, err := c.Propose(next, control.Command{}) // Another host is called.
		is.NoErr(err)
		is.Equal(result.Index, uint64(7))
	})
	t.Run("no leader", func(t *testing.T) {
		is := is.New(t)
		var calls atomic.Int32
		c := &ControlClient{Clients: []*peer.Client{serve(t, refuse(peer.CodeNotLeader, &calls))}}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)
		_, err := c.Propose(ctx, control.Command{})
		var d *problem.Details
		is.True(errors.As(err, &d))
		is.True(calls.Load() > 1)
	})
}

func newFollower() *Follower {
	f := &Follower{Host: "h1", Clock: clockwork.NewFakeClock(), Log: zerolog.Nop(), Control: &ControlClient{}}
	f.Init()
	return f
}

func announce(name string) *control.Command {
	return &control.Command{At: time.Unix(100, 0), Announce: &control.Announce{Target: control.Target{
		Name: name, Incarnation: "i", Service: "s", Version: "v", Centre: "a", Shards: []int{0},
		Address:   netip.MustParseAddrPort("127.0.0.1:9"),
		Snapshots: []control.Snapshot{{Number: 1, Shards: 1}}, State: control.Warm,
	}}}
}

// Guards against a view that misses a command, applies one twice, or follows a previous feed.
func TestFollowerAppliesFeedInOrder(t *testing.T) {
	is := is.New(t)
	f := newFollower()
	peerA, peerB := serve(t, nil), serve(t, nil)
	a, err := peerA.Connect(context.Background())
	is.NoErr(err)
	b, err := peerB.Connect(context.Background())
	is.NoErr(err)
	f.feedConn = a
	f.apply(a, &quorum.Feed{Entries: []quorum.FeedEntry{{Index: 1}, {Index: 2, Command: announce("t1")}}})
	f.apply(a, &quorum.Feed{Entries: []quorum.FeedEntry{{Index: 2, Command: announce("t1")}, {Index: 3, Command: announce("t2")}}})
	is.Equal(len(f.View().Targets["s"]), 2)
	is.Equal(f.View().Revision, uint64(3))
	f.apply(b, &quorum.Feed{Entries: []quorum.FeedEntry{{Index: 4, Command: announce("t3")}}})
	is.Equal(f.View().Revision, uint64(3)) // The feed of another connection is ignored.
	f.apply(a, &quorum.Feed{Entries: []quorum.FeedEntry{{Index: 5, Command: announce("t4")}}})
	is.Equal(f.View().Revision, uint64(3)) // The entry after a gap is not applied.
	<-a.Done()                             // The gap ends the feed.
}

// Guards against a lease that is measured from the arrival of the response, and against a
// list of serving hosts that is lost when a response does not repeat it.
func TestLeaseIsMeasuredFromSendTime(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := newFollower()
	f.Clock = clock
	number := f.holder.Request(clock.Now())
	clock.Advance(time.Second)
	f.inflight = 2
	f.handleRenewal(number, &quorum.RenewResponse{Length: 1500 * time.Millisecond, HostsVersion: 1, Serving: []string{"h1", "h2"}}, nil)
	_, err := f.LeasedView()
	is.NoErr(err)
	clock.Advance(500 * time.Millisecond)
	_, err = f.LeasedView()
	var lost *LeaseLostError
	is.True(errors.As(err, &lost))
	f.handleRenewal(f.holder.Request(clock.Now()), &quorum.RenewResponse{Reason: "behind", HostsVersion: 1}, nil)
	_, err = f.LeasedView()
	is.True(err != nil) // A refusal does not grant a lease.
	is.Equal(f.ServingHosts(), []string{"h1", "h2"})
}

// Guards against a call that counts as successful although there is no control host to call.
func TestNoControlHosts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := (&ControlClient{}).Propose(ctx, control.Command{})
	var d *problem.Details
	is.True(errors.As(err, &d))
	is.Equal(d.Executed, problem.None)
}

// Guards against leases that end between two renewals after operators have shortened them: the
// interval followed the lease only from the next start.
func TestRenewalsFollowTheLease(t *testing.T) {
	is := is.New(t)
	var renewals atomic.Int32
	f := newFollower()
	clock := clockwork.NewFakeClock()
	f.Clock = clock
	f.Control = &ControlClient{Clients: []*peer.Client{serve(t, map[string]peer.Handler{quorum.MethodRenew: func(context.Context, *peer.Conn, json.RawMessage) (any, error) {
		renewals.Add(1)
		return nil, &peer.RemoteError{Code: peer.CodeUnavailable, Message: "refused"}
	}})}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.handleEvents(ctx) }() // without a feed, which sends further events
	document := &inventory.Document{}
	document.Rules.Lease.Duration = 250 * time.Millisecond
	f.enqueue(ctx, func() { f.view.Store(&control.View{Inventory: document}) })
	for range 20 {
		time.Sleep(10 * time.Millisecond) // the renewal before is answered
		clock.Advance(document.Rules.Lease.Duration / renewalsPerLease)
	}
	is.True(renewals.Load() >= 10)
}
