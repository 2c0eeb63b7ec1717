// Package daemon assembles the components of one wasabirelayd process.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wasabirelay/answer"
	"wasabirelay/control"
	"wasabirelay/grant"
	"wasabirelay/host"
	"wasabirelay/inventory"
	"wasabirelay/limit"
	"wasabirelay/move"
	"wasabirelay/operator"
	"wasabirelay/peer"
	"wasabirelay/quorum"
	"wasabirelay/route"
	"wasabirelay/settings"
	"wasabirelay/target"
	"wasabirelay/tracing"
)

// Version is the version of the program. The build may set it.
var Version = "dev"

const (
	// flushTimeout limits the export of the last spans.
	flushTimeout = 2 * time.Second
	// sweepInterval is the interval at which unused grants are released, idle connections
	// are maintained and connection shares are recomputed.
	sweepInterval = time.Second
)

// Daemon is one process. The caller sets the exported fields before it calls Run.
type Daemon struct {
	Settings *settings.Settings
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Registry *prometheus.Registry

	certificates certificates
	control      *host.ControlClient
	follower     *host.Follower
	replica      *quorum.Replica // nil on a host without a data directory
	targets      *target.Service
	queries      *answer.Service
	evidence     move.Collector
	grants       *grant.Manager
	shares       shareState
	// wake makes sweep recompute the connection shares at once after a new view.
	wake         chan struct{}
	routes       *route.Table
	pool         *limit.Pool
	admission    *limit.Admission
	listeners    []*listener
	peerListener net.Listener
}

// Run serves until stop ends and then shuts down gracefully: the host leaves the address
// list, serves until every list that contains it has expired, and exits when its last
// request has ended. If ctx ends, Run stops at once.
func (d *Daemon) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	flush, err := tracing.Setup(ctx, "wasabirelayd", d.Settings.Host, d.Settings.TraceDestination)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = flush(ctx) // The process is exiting; an error can't be reported.
	}()
	if err := d.prepare(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	d.start(ctx, g)
	go func() {
		select {
		case <-stop.Done():
			d.drain(ctx)
		case <-ctx.Done():
		}
		cancel()
	}()
	return g.Wait()
}

// prepare builds all components and opens files and listeners, so that every error in the
// settings is reported before any component starts.
func (d *Daemon) prepare(ctx context.Context) error {
	if err := d.certificates.load(d); err != nil {
		return err
	}
	d.wake = make(chan struct{}, 1)
	d.control = &host.ControlClient{Clients: d.controlClients()}
	d.follower = &host.Follower{
		Host: d.Settings.Host, Control: d.control, Clock: d.Clock, Log: d.Log, ViewChanged: d.viewChanged,
	}
	d.follower.Init()
	if err := d.prepareReplica(); err != nil {
		return err
	}
	d.prepareServices()
	d.registerMetrics()
	return d.listen(ctx)
}

// controlClients returns a client for each control host. If this host is one, its own client
// is the first.
func (d *Daemon) controlClients() []*peer.Client {
	names := make([]string, 0, len(d.Settings.ControlAddresses))
	for name := range d.Settings.ControlAddresses {
		if name != d.Settings.Host {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	// The random order distributes the hosts without a replica over the control hosts.
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	if d.Settings.DataDir != "" {
		names = append([]string{d.Settings.Host}, names...)
	}
	clients := make([]*peer.Client, len(names))
	for i, name := range names {
		clients[i] = &peer.Client{Address: d.Settings.ControlAddresses[name], TLS: d.certificates.peerClient()}
	}
	return clients
}

func (d *Daemon) prepareReplica() error {
	if d.Settings.DataDir == "" {
		return nil
	}
	peers := &quorum.Peers{Self: d.Settings.Host, TLS: d.certificates.peerClient()}
	for name, address := range d.Settings.ControlAddresses {
		peers.Set(name, address)
	}
	d.replica = &quorum.Replica{
		Host: d.Settings.Host, Dir: d.Settings.DataDir, Peers: peers, MinVoters: len(d.Settings.ControlAddresses),
		Clock: d.Clock, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: d.Log,
	}
	return d.replica.Open()
}

func (d *Daemon) prepareServices() {
	d.grants = &grant.Manager{Host: d.Settings.Host, Clock: d.Clock, Log: d.Log, Propose: d.control.Propose}
	d.targets = &target.Service{
		Host: d.Settings.Host, Propose: d.control.Propose, View: d.view, Addresses: d.follower.CallerAddresses,
		Clock: d.Clock, Log: d.Log,
	}
	d.prepareQueries()
}

// view returns the latest view. Its inventory is never nil: it is empty until one is known.
func (d *Daemon) view() *control.View {
	v := d.follower.View()
	if v.Inventory != nil {
		return v
	}
	withInventory := *v
	withInventory.Inventory = inventory.Empty()
	return &withInventory
}

// start starts all components in g.
func (d *Daemon) start(ctx context.Context, g *errgroup.Group) {
	if d.replica != nil {
		g.Go(func() error { return d.replica.Run(ctx) })
	}
	g.Go(func() error { return d.follower.Run(ctx) })
	g.Go(func() error { return d.targets.Run(ctx) })
	g.Go(func() error { return d.sweep(ctx) })
	g.Go(func() error { return d.reportEvidence(ctx) })
	g.Go(func() error { return d.peerServer().Run(ctx, d.peerListener) })
	for _, l := range d.listeners {
		g.Go(func() error { return l.run(ctx) })
	}
	d.Log.Info().Stringer("caller", d.Settings.Caller.Address).Stringer("operator", d.Settings.Operator.Address).
		Stringer("peer", d.Settings.Peer.Address).Bool("replica", d.replica != nil).Msg("serving")
}

// sweep maintains grants, connections and connection shares until ctx ends.
func (d *Daemon) sweep(ctx context.Context) error {
	ticker := d.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
			d.updateShares()
		case <-ticker.Chan():
			d.grants.Sweep()
			d.pool.Sweep()
			d.updateShares()
		}
	}
}

// drain shuts the host down gracefully. It returns when the last request has ended and any
// leadership is transferred, or when ctx ends.
func (d *Daemon) drain(ctx context.Context) {
	d.Log.Info().Msg("graceful shutdown: leaving the address list")
	d.follower.Drain()
	rules := d.view().Inventory.Rules
	wait := rules.AddressTTL.Duration + rules.Lease.Duration
	select {
	case <-d.Clock.After(wait):
	case <-ctx.Done():
		return
	}
	d.Log.Info().Msg("graceful shutdown: waiting for running requests")
	for _, l := range d.listeners {
		if err := l.server.Shutdown(ctx); err != nil {
			d.Log.Warn().Err(err).Msg("graceful shutdown: failed to close a listener")
		}
	}
	if err := d.queries.Drain(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("graceful shutdown: requests were still running")
	}
	if d.replica != nil {
		d.replica.Leave(ctx)
	}
	d.Log.Info().Msg("graceful shutdown: done")
}

// operatorService returns the operator API, connected to the control plane.
func (d *Daemon) operatorService() *operator.Service {
	adapter := &operatorAdapter{d}
	return &operator.Service{
		Host: d.Settings.Host, Program: Version, Clock: d.Clock, Propose: d.control.Propose, View: d.follower.View,
		InForce: adapter.inForce, Leases: adapter.leases, Leader: adapter.leader, Replicas: adapter.replicas, Findings: d.findings,
	}
}

// serveReady serves GET /readyz: 200 if the host holds a lease and so serves callers; 503
// otherwise.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if _, err := d.follower.LeasedView(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func serveHealth(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }
