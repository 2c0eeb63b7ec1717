// Package host is the entry host's side of the control plane: it follows the feed of
// committed commands, renews the host's lease and publishes the current view.
package host

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/inventory"
	"wasabirelay/lease"
	"wasabirelay/peer"
	"wasabirelay/quorum"
)

const (
	eventBacklog = 1024
	// renewalsPerLease is the number of renewals that a host sends during one lease.
	renewalsPerLease = 5
	// maxRenewals bounds the renewals that wait for a response.
	maxRenewals = 3
	// lagLimit is the longest time for which the feed may lag behind the leader's commit
	// index before the host subscribes at another control host.
	lagLimit = 500 * time.Millisecond
	// resubscribePause is the pause between attempts to subscribe to the feed.
	resubscribePause = 100 * time.Millisecond
)

// LeaseLostError reports that the host holds no lease and must not accept new work.
type LeaseLostError struct {
	Host  string
	Since time.Time
}

func (e *LeaseLostError) Error() string {
	if e.Since.IsZero() {
		return fmt.Sprintf("host %s has not got a lease from the control hosts yet", e.Host)
	}
	return fmt.Sprintf("host %s lost its lease at %s", e.Host, e.Since.UTC().Format(time.RFC3339Nano))
}

// Follower follows the control state. Exported fields must be set before Run.
type Follower struct {
	Host    string
	Control *ControlClient
	Clock   clockwork.Clock
	Log     zerolog.Logger
	// ViewChanged, if set, is called on the goroutine of Run with each new view.
	ViewChanged func(*control.View)
	// ServingChanged, if set, is called on the goroutine of Run with the names of the
	// hosts that serve callers when they change.
	ServingChanged func([]string)

	events     chan func()
	draining   atomic.Bool
	view       atomic.Pointer[control.View]
	leaseUntil atomic.Pointer[time.Time]
	leader     atomic.Pointer[Leader]
	serving    atomic.Pointer[[]string]

	state        control.State
	holder       lease.Holder
	inflight     int
	hostsVersion uint64
	group        string
	nextRenewal  time.Time
	leaderCommit uint64
	behindSince  time.Time
	feedConn     *peer.Conn
	leaseValid   bool
}

// Leader is the leader that sent the last lease response.
type Leader struct {
	Host  string
	Term  uint64
	Since time.Time
}

// Init prepares the follower. It must be called before any other method.
func (f *Follower) Init() {
	f.events = make(chan func(), eventBacklog)
	f.view.Store(f.state.View())
	f.leaseUntil.Store(&time.Time{})
	f.leader.Store(&Leader{})
	f.serving.Store(&[]string{})
}

// View returns the latest view, even if the host holds no lease. Its Inventory may be nil.
func (f *Follower) View() *control.View { return f.view.Load() }

// LeasedView returns the latest view if the host holds a lease. The error is a
// *LeaseLostError.
func (f *Follower) LeasedView() (*control.View, error) {
	until := *f.leaseUntil.Load()
	if !f.Clock.Now().Before(until) {
		return nil, &LeaseLostError{f.Host, until}
	}
	return f.view.Load(), nil
}

// ServingHosts returns the names of the hosts that serve callers, as of the last lease
// response.
func (f *Follower) ServingHosts() []string { return *f.serving.Load() }

// Leader returns the leader that sent the last lease response.
func (f *Follower) Leader() Leader { return *f.leader.Load() }

// Drain removes this host from the address list. The host keeps its lease.
func (f *Follower) Drain() { f.draining.Store(true) }

// Run follows the feed and renews the lease until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.subscribe(ctx)
	return f.handleEvents(ctx)
}

// handleEvents handles events and renews the lease until ctx ends.
func (f *Follower) handleEvents(ctx context.Context) error {
	interval := f.renewInterval()
	ticker := f.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-f.events:
			event()
		case <-ticker.Chan():
		}
		f.tick(ctx)
		if next := f.renewInterval(); next != interval { // operators have changed the lease
			interval = next
			ticker.Reset(interval)
		}
	}
}

func (f *Follower) renewInterval() time.Duration {
	length := inventory.DefaultLease
	if d := f.view.Load().Inventory; d != nil {
		length = d.Rules.Lease.Duration
	}
	return length / renewalsPerLease
}

func (f *Follower) enqueue(ctx context.Context, event func()) {
	select {
	case f.events <- event:
	case <-ctx.Done():
	}
}

// tick sends a renewal if one is due and closes a stalled feed.
func (f *Follower) tick(ctx context.Context) {
	now := f.Clock.Now()
	f.logLeaseChange(now)
	switch {
	case f.state.Index() >= f.leaderCommit:
		f.behindSince = time.Time{}
	case f.behindSince.IsZero():
		f.behindSince = now
	case now.Sub(f.behindSince) > lagLimit && f.feedConn != nil:
		f.Log.Warn().Uint64("applied", f.state.Index()).Uint64("commit", f.leaderCommit).Msg("feed stalled; subscribing at another control host")
		f.feedConn.Close()
		f.behindSince = now
	}
	if now.Before(f.nextRenewal) || f.inflight >= maxRenewals {
		return
	}
	f.nextRenewal = now.Add(f.renewInterval())
	f.renew(ctx, now)
}

// logLeaseChange logs when the lease is acquired or lost.
func (f *Follower) logLeaseChange(now time.Time) {
	valid := f.holder.Valid(now)
	if valid == f.leaseValid {
		return
	}
	f.leaseValid = valid
	if valid {
		f.Log.Info().Msg("lease acquired; accepting new work")
		return
	}
	f.Log.Warn().Time("since", f.holder.Until()).Msg("lease lost; refusing new work")
}

func (f *Follower) renew(ctx context.Context, now time.Time) {
	number := f.holder.Request(now)
	q := quorum.RenewRequest{
		Host: f.Host, Applied: f.state.Index(), Digest: f.state.Digest(), Draining: f.draining.Load(), HostsVersion: f.hostsVersion,
		Group: f.group,
	}
	f.inflight++
	go func() {
		var reply quorum.RenewResponse
		err := f.Control.call(ctx, attemptTimeout, quorum.MethodRenew, q, &reply)
		f.enqueue(ctx, func() { f.handleRenewal(number, &reply, err) })
	}()
}

func (f *Follower) handleRenewal(number uint64, reply *quorum.RenewResponse, err error) {
	f.inflight--
	if err != nil {
		f.Log.Debug().Err(err).Msg("failed to renew the lease")
		return
	}
	now := f.Clock.Now()
	f.leaderCommit = max(f.leaderCommit, reply.Commit)
	if l := f.leader.Load(); l.Host != reply.Leader || l.Term != reply.Term {
		f.leader.Store(&Leader{reply.Leader, reply.Term, now})
	}
	f.updateServing(reply)
	if reply.Resync {
		f.Log.Error().Msg("control state differs from the leader's; fetching it again")
		f.dropState()
	}
	if reply.Length == 0 {
		f.Log.Debug().Str("reason", reply.Reason).Msg("lease refused")
		return
	}
	if f.holder.Reply(number, reply.Length, now) {
		until := f.holder.Until()
		f.leaseUntil.Store(&until)
	}
	f.logLeaseChange(now)
}

func (f *Follower) updateServing(reply *quorum.RenewResponse) {
	if reply.HostsVersion == f.hostsVersion {
		return
	}
	f.hostsVersion = reply.HostsVersion
	names := reply.Serving
	f.serving.Store(&names)
	if f.ServingChanged != nil {
		f.ServingChanged(names)
	}
}

// dropState discards the control state and closes the feed, so that the next subscription
// gets a snapshot.
func (f *Follower) dropState() {
	f.state = control.State{}
	if f.feedConn != nil {
		f.feedConn.Close()
	}
}

// subscribe keeps the host subscribed to the feed of a control host until ctx ends. After
// each end of a feed it continues with the next control host.
func (f *Follower) subscribe(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c := f.Control.Clients[n%len(f.Control.Clients)]
		if err := f.watch(ctx, c); err != nil {
			f.Log.Debug().Err(err).Stringer("control", c.Address).Msg("feed ended")
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(resubscribePause):
		}
	}
}

// watch subscribes at a control host and returns when the feed ends.
func (f *Follower) watch(ctx context.Context, c *peer.Client) error {
	w := &peer.Client{Address: c.Address, TLS: c.TLS, Handlers: map[string]peer.Handler{quorum.MethodFeed: f.serveFeed}}
	defer w.Close()
	conn, err := w.Connect(ctx)
	if err != nil {
		return err
	}
	request := make(chan quorum.WatchRequest, 1)
	f.enqueue(ctx, func() {
		f.feedConn = conn
		request <- quorum.WatchRequest{Host: f.Host, Index: f.state.Index(), Group: f.group}
	})
	var after quorum.WatchRequest
	select {
	case after = <-request:
	case <-ctx.Done():
		return nil
	}
	call, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var reply struct{}
	if err := conn.Call(call, quorum.MethodWatch, after, &reply); err != nil {
		return err
	}
	select {
	case <-conn.Done():
		return errors.New("connection closed")
	case <-ctx.Done():
		return nil
	}
}

// serveFeed passes a message of the feed to the goroutine of Run.
func (f *Follower) serveFeed(ctx context.Context, conn *peer.Conn, params json.RawMessage) (any, error) {
	var m quorum.Feed
	if err := peer.Decode(params, &m); err != nil {
		return nil, err
	}
	f.enqueue(ctx, func() { f.apply(conn, &m) })
	return nil, nil
}

// apply applies a message of the current feed. If entries are missing, it closes the feed;
// the next subscription sends them.
func (f *Follower) apply(conn *peer.Conn, m *quorum.Feed) {
	if conn != f.feedConn {
		return
	}
	if f.group != "" && m.Group != f.group {
		f.Log.Error().Str("known", f.group).Str("got", m.Group).Msg("refused the feed of another group of control hosts")
		conn.Close()
		return
	}
	f.group = m.Group
	if m.Snapshot != nil && m.Index > f.state.Index() {
		var s control.State
		if err := s.Restore(m.Snapshot); err != nil {
			f.Log.Error().Err(err).Msg("failed to decode the control state from the feed")
			conn.Close()
			return
		}
		f.state = s
		f.state.Advance(m.Index)
	}
	for _, e := range m.Entries {
		switch {
		case e.Index <= f.state.Index():
		case e.Index != f.state.Index()+1:
			f.Log.Warn().Uint64("expected", f.state.Index()+1).Uint64("got", e.Index).Msg("gap in the feed")
			conn.Close()
			return
		case e.Command == nil:
			f.state.Advance(e.Index)
		default:
			f.state.Apply(e.Index, *e.Command)
		}
	}
	v := f.state.View()
	if v.Version != f.view.Load().Version {
		// Renew now to acknowledge the change. Otherwise, the change would be in force only
		// after the next regular renewal.
		f.nextRenewal = time.Time{}
	}
	f.view.Store(v)
	if f.ViewChanged != nil {
		f.ViewChanged(v)
	}
}
