package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wasabirelay/control"
	"wasabirelay/exchange"
	"wasabirelay/journal"
	"wasabirelay/move"
	"wasabirelay/quorum"
	"wasabirelay/registry"
)

const (
	// silentHeartbeats is the number of heartbeats that a target may miss before it
	// counts as silent. Single heartbeats come seconds late.
	silentHeartbeats = 4
	// foundingQuiet is how long no new control host must have appeared before a group
	// is founded. All hosts start within a third of a second.
	foundingQuiet = 1200 * time.Millisecond
	// orderTimeout bounds one attempt to commit an order. Operators give up after a
	// second; there must be time for an attempt at another leader.
	orderTimeout = 900 * time.Millisecond
	// proposeTimeout is how long one leader may take for an order.
	proposeTimeout = 400 * time.Millisecond
	// proposePause separates the attempts.
	proposePause = 50 * time.Millisecond
	// stopPause is how long a control host that stops keeps answering after it has
	// handed over, so that its peers have taken notice.
	stopPause = 300 * time.Millisecond
)

// Control is a control host. Exported fields are set before Run.
type Control struct {
	*Process

	book    quorum.Peers
	replica *quorum.Replica
	hub     exchange.Hub
	client  exchange.Client
	// found is the age of this process at which the last unknown control host appeared.
	found atomic.Int64
}

// Run serves until stop ends, then stops as planned. It stops at once with ctx.
func (c *Control) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.init()
	if err := c.prepare(); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	handlers := c.replica.Handlers()
	handlers[exchange.Method] = c.hub.Serve
	if err := c.servePeers(ctx, g, handlers); err != nil {
		return err
	}
	if _, err := c.serve(ctx, g, c.Settings.Operator, c.Interfaces.Operator(c)); err != nil {
		return err
	}
	if _, err := c.serve(ctx, g, c.Settings.Addresses, c.Interfaces.Addresses(c)); err != nil {
		return err
	}
	if _, err := c.serve(ctx, g, c.Settings.Metrics, c.metrics()); err != nil {
		return err
	}
	g.Go(func() error { return c.replica.Run(ctx) })
	g.Go(func() error { return c.hub.Run(ctx) })
	g.Go(func() error { return c.client.Run(ctx) })
	g.Go(func() error { return c.saveKnown(ctx) })
	c.Log.Info().Stringer("operators", c.Settings.Operator).Stringer("peer", c.Settings.Peer).Int64("start", c.start()).
		Bool("found", c.Settings.Bootstrap).Int("seeds", len(c.Settings.Seeds)).Msg("control host started")
	go func() {
		select {
		case <-stop.Done():
			c.drain(ctx)
		case <-ctx.Done():
		}
		cancel()
	}()
	return g.Wait()
}

func (c *Control) prepare() error {
	self := exchange.Host{Name: c.Settings.Host, Centre: c.Settings.Centre, Start: c.start(), Peer: c.Settings.Peer}
	c.book.Self, c.book.DialTimeout = c.Settings.Host, exchange.DialTimeout
	c.book.Set(c.Settings.Host, c.Settings.Peer)
	c.hub = exchange.Hub{
		Self: self, Clock: c.Clock, Log: c.Log, Silence: silentHeartbeats * c.Settings.HeartbeatInterval, OnControlHost: c.heard,
	}
	c.hub.Init()
	c.restoreKnown()
	c.client = exchange.Client{
		Self: func() exchange.Host { h := self; h.Draining = c.draining.Load(); return h }, Seeds: c.seedAddresses,
		Clock: c.Clock, Log: c.Log, OnControlHost: c.heard,
	}
	c.replica = &quorum.Replica{
		Host: c.Settings.Host, Dir: c.Settings.DataDir, Peers: &c.book, BootstrapHosts: c.founders, NoLease: true, Clock: c.Clock,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: c.Log, Inspect: c.inspect,
		Changed: c.hub.SetRoutingState,
	}
	c.registerMetrics()
	return c.open()
}

// open opens the control state. State that is damaged counts as lost: nothing that it
// promised to the group may be relied on, and the host joins under a new identity.
func (c *Control) open() error {
	err := c.replica.Open()
	var damaged *journal.CorruptError
	if !errors.As(err, &damaged) {
		return err
	}
	aside, asideErr := setAside(c.Settings.DataDir, c.start())
	if asideErr != nil {
		return errors.Wrapf(asideErr, "set damaged control state aside (%v)", err)
	}
	c.Log.Error().Err(err).Str("aside", aside).Msg("control state is damaged, joining again without it")
	return c.replica.Open()
}

// heard notes a control host.
func (c *Control) heard(h exchange.Host) {
	if c.book.Set(h.Name, h.Peer) {
		c.found.Store(int64(c.age()))
		c.Log.Info().Str("control", h.Name).Stringer("peer", h.Peer).Msg("control host found")
	}
}

// founders returns the hosts that found a group: all that were found, once the seeds
// have answered and no other appears. Only the first seed may found, because at the
// first start all hosts have the same seeds; two hosts that found at the same time
// could leave each other out.
func (c *Control) founders() []string {
	seeds := c.Settings.Seeds
	if !c.Settings.Bootstrap || len(seeds) == 0 || seeds[0] != c.Settings.Peer {
		return nil
	}
	if c.age()-time.Duration(c.found.Load()) < foundingQuiet {
		return nil
	}
	known := map[netip.AddrPort]bool{}
	for _, h := range c.client.Control(exchange.Expiry) {
		known[h.Peer] = true
	}
	for _, seed := range seeds {
		if !known[seed] {
			return nil
		}
	}
	others := slices.DeleteFunc(c.book.Hosts(), func(host string) bool { return host == c.Settings.Host })
	return append([]string{c.Settings.Host}, others...)
}

// inspect tells a version move about its targets, wherever they announced themselves.
func (c *Control) inspect(v *control.View, service string) *move.Input {
	in := &move.Input{Record: v.Moves[service]}
	targets, _ := c.client.Targets()
	for _, t := range targets[service] {
		if t.Version == in.Record.Version {
			in.Targets++
			in.Ready = in.Ready || t.State == control.Warm
		}
	}
	return in
}

// Announce implements ControlService.
func (c *Control) Announce(a registry.Announcement) error {
	if c.draining.Load() {
		return &UnavailableError{"this control host stops"}
	}
	if !c.hub.Connected() {
		return &UnavailableError{"no entry host is in touch with this control host"}
	}
	c.hub.Announce(a)
	return nil
}

// OperatorAddress implements ControlService.
func (c *Control) OperatorAddress() netip.AddrPort { return c.Settings.Operator }

// ApplyRouting implements ControlService.
func (c *Control) ApplyRouting(ctx context.Context, source []byte) error {
	d, err := c.Interfaces.DecodeRouting(source)
	if err != nil {
		return err
	}
	return c.order(ctx, control.Command{Routing: &control.ApplyRouting{Version: d.Version, Source: source}})
}

// Evacuate implements ControlService.
func (c *Control) Evacuate(ctx context.Context, centre string, out bool) error {
	return c.order(ctx, control.Command{Evacuate: &control.Evacuate{Centre: centre, Out: out}})
}

// trialPart is the part of the permitted exposure that a version starts with.
const trialPart = 0.5

// StartMove implements ControlService.
func (c *Control) StartMove(ctx context.Context, service, version string, length time.Duration) error {
	return c.order(ctx, control.Command{Begin: &control.BeginMove{
		Service: service, Version: version, MaxDuration: length, TrialShare: trialPart * c.Settings.MaxExposure,
	}})
}

// order commits a command. Every order may be committed twice without harm, so it is
// tried again until the time is up.
func (c *Control) order(ctx context.Context, command control.Command) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		attempt, end := context.WithTimeout(ctx, proposeTimeout)
		result, err := c.replica.Commit(attempt, command)
		end()
		switch {
		case err == nil && result.Refusal != nil:
			return result.Refusal
		case err == nil:
			return nil
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{"the order was not committed in time: " + err.Error()}
		case <-c.Clock.After(proposePause):
		}
	}
}

// Read implements ControlService.
func (c *Control) Read(ctx context.Context) (control.RoutingState, error) {
	shared, err := c.replica.Read(ctx)
	if err != nil {
		return shared, &UnavailableError{"the newest state is not certain: " + err.Error()}
	}
	return shared, nil
}

// drain is the planned stop.
func (c *Control) drain(ctx context.Context) {
	c.draining.Store(true)
	c.hub.Drain()
	c.Log.Info().Msg("planned stop: handing over")
	c.replica.TransferLeadership(ctx)
	select {
	case <-c.Clock.After(stopPause):
	case <-ctx.Done():
	}
	c.Log.Info().Msg("planned stop: done")
}

var (
	_ ControlService = (*Control)(nil)
	_ AddressService = (*Control)(nil)
	_ AddressService = (*Entry)(nil)
)
