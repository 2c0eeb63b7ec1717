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
	"wasabirelay/door"
	"wasabirelay/exchange"
	"wasabirelay/journal"
	"wasabirelay/move"
	"wasabirelay/quorum"
	"wasabirelay/registry"
	"wasabirelay/usage"
)

const (
	// maxMissedHeartbeats is the number of heartbeats that a target may miss before it counts
	// as silent. Single heartbeats can be delayed by seconds.
	maxMissedHeartbeats = 4
	// commitTimeout bounds the commit of a command, including retries. Operators give up after
	// one second, and there must be time for an attempt with another leader.
	commitTimeout = 900 * time.Millisecond
	// proposeTimeout bounds one attempt, which is with one leader.
	proposeTimeout = 400 * time.Millisecond
	// proposeRetryDelay is the delay between two attempts.
	proposeRetryDelay = 50 * time.Millisecond
	// shutdownDelay is how long a control host keeps serving after it has transferred its
	// leadership during a graceful shutdown, so that its peers learn of the change.
	shutdownDelay = 300 * time.Millisecond
)

// Control runs a control host. Exported fields must be set before Run.
type Control struct {
	*Process

	peers   quorum.Peers
	replica *quorum.Replica
	hub     exchange.Hub
	text    routingText
	client  exchange.Client
	// saves receives the requests to save the cached state at once.
	saves chan saveRequest
	// lastDiscovery is the age of this process when it last discovered a new control host.
	lastDiscovery atomic.Int64
	// usage is nil unless usage is reported.
	usage *reporter
}

// Run serves until stop is done, then shuts down gracefully. It returns at once when ctx is
// done.
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
	if c.usage != nil {
		handlers[usage.Method] = c.usage.record
		g.Go(func() error { return c.usage.run(ctx) })
	}
	if err := c.servePeers(ctx, g, handlers); err != nil {
		return err
	}
	if _, err := c.serve(ctx, g, "operators", c.Settings.Operator, c.Interfaces.Operator(c), listenLimits); err != nil {
		return err
	}
	if _, err := c.serve(ctx, g, "directory", c.Settings.Addresses, c.Interfaces.Addresses(c), listenLimits); err != nil {
		return err
	}
	if _, err := c.serve(ctx, g, "metrics", c.Settings.Metrics, c.metrics(), listenLimits); err != nil {
		return err
	}
	g.Go(func() error { return c.door.Run(ctx) })
	g.Go(func() error { return c.replica.Run(ctx) })
	g.Go(func() error { return c.hub.Run(ctx) })
	g.Go(func() error { return c.client.Run(ctx) })
	g.Go(func() error { return c.saveCachedState(ctx) })
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
	c.peers.Self, c.peers.DialTimeout = c.Settings.Host, exchange.DialTimeout
	c.peers.Set(c.Settings.Host, c.Settings.Peer)
	c.hub = exchange.Hub{
		Self: self, Clock: c.Clock, Log: c.Log, Silence: maxMissedHeartbeats * c.Settings.HeartbeatInterval, OnControlHost: c.addControlHost,
		Detached: func() bool { return !c.replica.HasLeader() },
	}
	c.hub.Init()
	c.saves = make(chan saveRequest, maxSaveRequests)
	c.restoreCachedState()
	c.client = exchange.Client{
		Self: func() exchange.Host { h := self; h.Draining = c.draining.Load(); return h }, Seeds: c.seedAddresses,
		Clock: c.Clock, Log: c.Log, OnControlHost: c.addControlHost, MergeCrashes: c.hub.MergeCrashes,
	}
	c.replica = &quorum.Replica{
		Host: c.Settings.Host, Dir: c.Settings.DataDir, Peers: &c.peers, Bootstrap: c.bootstrap(), NoLease: true, Clock: c.Clock,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: c.Log, MoveInput: c.moveInput,
		Changed: c.hub.SetRoutingState, MinVoters: c.minVoters(), Centre: c.centreOf,
		LeaveTimeout: max(shutdownDelay, c.Settings.ShutdownTimeout-shutdownDelay),
	}
	c.registerMetrics()
	c.prepareUsage()
	return c.open()
}

// open opens the control state. Damaged state counts as lost: the host can no longer rely on
// any promise that it made to the group, so it joins again under a new identity.
func (c *Control) open() error {
	err := c.replica.Open()
	var damaged *journal.CorruptError
	if !errors.As(err, &damaged) {
		return err
	}
	aside, asideErr := setAside(c.Settings.DataDir, c.start())
	if asideErr != nil {
		return errors.Wrapf(asideErr, "failed to set the damaged control state aside (%v)", err)
	}
	c.Log.Error().Err(err).Str("aside", aside).Msg("control state is damaged; joining the group again without it")
	c.replica.Bootstrap.First = false // what this host has promised is lost
	return c.replica.Open()
}

// addControlHost adds a control host to the peers of this host.
func (c *Control) addControlHost(h exchange.Host) {
	if c.peers.Set(h.Name, h.Peer) {
		c.lastDiscovery.Store(int64(c.age()))
		c.Log.Info().Str("control", h.Name).Stringer("peer", h.Peer).Msg("control host discovered")
	}
}

// centreOf returns the data centre of a control host, or "" if it is not known.
func (c *Control) centreOf(host string) string {
	if host == c.Settings.Host {
		return c.Settings.Centre
	}
	hosts := c.client.ControlHosts(exchange.Expiry)
	if i := slices.IndexFunc(hosts, func(h exchange.Host) bool { return h.Name == host }); i >= 0 {
		return hosts[i].Centre
	}
	return ""
}

// minVoters returns the least number of voters of a complete group. It may have been bootstrapped without some of the seeds.
func (c *Control) minVoters() int {
	return max(2*c.Settings.ToleratedFailures+1, len(c.Settings.Seeds))
}

// bootstrap returns how a group is bootstrapped. At the first start all hosts have the same seeds.
func (c *Control) bootstrap() *quorum.Bootstrap {
	return &quorum.Bootstrap{
		Seeds: c.Settings.Seeds, Self: c.Settings.Peer, First: c.Settings.Bootstrap,
		Age: func() (age, quiet time.Duration) {
			age = c.age()
			return age, age - time.Duration(c.lastDiscovery.Load())
		},
	}
}

// moveInput returns the input for the decisions on a version move. It counts the targets of the
// new version, whichever control host they announced themselves to.
func (c *Control) moveInput(v *control.View, service string) *move.Input {
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
	if err := a.Check(c.Clock.Now()); err != nil {
		return err
	}
	if c.draining.Load() {
		return &UnavailableError{"this control host stops"}
	}
	if !c.hub.Connected() {
		return &UnavailableError{"no entry host is in touch with this control host"}
	}
	if c.hub.Announce(a) && a.State != registry.Ready {
		c.awaitSave()
	}
	return nil
}

// OperatorAddress implements ControlService.
func (c *Control) OperatorAddress() netip.AddrPort { return c.Settings.Operator }

// ApplyRouting implements ControlService.
func (c *Control) ApplyRouting(ctx context.Context, source []byte) error {
	if err := door.Reserve(ctx, decodeMemory(source)); err != nil {
		return &UnavailableError{err.Error()}
	}
	d, err := c.Interfaces.DecodeRouting(source)
	if err != nil {
		return err
	}
	a, err := control.NewApplyRouting(d.Version, source)
	if err != nil {
		return err
	}
	return c.commit(ctx, control.Command{Routing: a})
}

// Evacuate implements ControlService.
func (c *Control) Evacuate(ctx context.Context, centre string, out bool) error {
	return c.commitOrder(ctx, control.Command{Evacuate: &control.Evacuate{Centre: centre, Out: out}})
}

// trialFraction is the fraction of the maximum exposure that a new version starts with.
const trialFraction = 0.8

// StartMove implements ControlService.
func (c *Control) StartMove(ctx context.Context, service, version string, length time.Duration) error {
	return c.commitOrder(ctx, control.Command{Begin: &control.BeginMove{
		Service: service, Version: version, MaxDuration: length, TrialShare: trialFraction * c.Settings.MaxExposure,
	}})
}

// commit commits a command. Every command is idempotent, so it is proposed again until it is
// committed or commitTimeout has passed.
func (c *Control) commit(ctx context.Context, command control.Command) error {
	return c.retryCommit(ctx, func(ctx context.Context) (control.Result, error) {
		ctx, end := context.WithTimeout(ctx, proposeTimeout)
		defer end()
		return c.replica.Commit(ctx, command)
	})
}

// commitOrder commits an order without a version. The operator may have given it up and sent a later
// one to another control host, for example while this host was frozen. The order is therefore based on
// a state that was read while the operator still waited, and has no effect after a later order.
func (c *Control) commitOrder(ctx context.Context, command control.Command) error {
	o := order{read: c.replica.Read, waiting: isCallerWaiting, commit: c.replica.Commit, commitAfter: c.replica.CommitAfter}
	err := c.retryCommit(ctx, func(ctx context.Context) (control.Result, error) { return o.try(ctx, command) })
	if errors.Is(err, errCallerLeft) {
		c.Log.Warn().Any("evacuation", command.Evacuate).Any("move", command.Begin).Msg("order dropped: the operator has left")
	}
	return err
}

// retryCommit calls try until it succeeds, commitTimeout has passed or the caller has left.
func (c *Control) retryCommit(ctx context.Context, try func(context.Context) (control.Result, error)) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for {
		result, err := try(ctx)
		switch {
		case err == nil && result.Refusal != nil:
			return result.Refusal
		case err == nil:
			return nil
		case errors.Is(err, errCallerLeft):
			return err
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{"the order was not committed in time: " + err.Error()}
		case <-c.Clock.After(proposeRetryDelay):
		}
	}
}

// Read implements ControlService.
func (c *Control) Read(ctx context.Context) (control.RoutingState, error) {
	response, err := c.replica.Read(ctx)
	if err != nil {
		return control.RoutingState{}, &UnavailableError{"the newest state is not certain: " + err.Error()}
	}
	state := response.RoutingState
	if err := c.text.share(&state.Routing); err != nil {
		return control.RoutingState{}, err
	}
	return state, nil
}

// drain shuts the control host down gracefully.
func (c *Control) drain(ctx context.Context) {
	c.draining.Store(true)
	c.hub.Drain()
	c.Log.Info().Msg("graceful shutdown: handing over leadership and vote")
	c.replica.Leave(ctx)
	select {
	case <-c.Clock.After(shutdownDelay):
	case <-ctx.Done():
	}
	c.Log.Info().Msg("graceful shutdown: done")
}

var (
	_ ControlService = (*Control)(nil)
	_ AddressService = (*Control)(nil)
	_ AddressService = (*Entry)(nil)
)
