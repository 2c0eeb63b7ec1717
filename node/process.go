package node

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wasabirelay/door"
	"wasabirelay/eventlog"
	"wasabirelay/peer"
)

const (
	// headerTimeout bounds how long a request header may take to arrive. For callers, the
	// bound of the routing document applies if it is shorter.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long idle connections of callers are kept. It exceeds the time for
	// which callers reuse them.
	idleTimeout = 60 * time.Second
	// peerByteMemory is the memory of a byte of a message that is received: the message is copied while it is decoded.
	peerByteMemory = 2
	// maxMetricsRequests is the number of requests for metrics that are served at the same time.
	maxMetricsRequests = 4
)

// Process is the part that entry hosts and control hosts have in common. Exported fields must
// be set before Run.
type Process struct {
	Settings   Settings
	Interfaces Interfaces
	Clock      clockwork.Clock
	Log        zerolog.Logger
	Registry   *prometheus.Registry

	// seeds may change while the process runs.
	seeds    atomic.Pointer[[]netip.AddrPort]
	draining atomic.Bool
	// started is when this run began. Ages are computed from its monotonic clock reading,
	// because the time of day may be set while the process runs.
	started time.Time
	events  *eventlog.Limiter
	// door bounds what all callers of this process hold together.
	door *door.Door
}

// Reload applies the settings that may change while the process runs: the seeds.
func (p *Process) Reload(s *Settings) {
	if old := p.seeds.Load(); old != nil && slices.Equal(*old, s.Seeds) {
		return
	}
	p.seeds.Store(&s.Seeds)
	p.Log.Info().Any("seeds", s.Seeds).Msg("settings reloaded")
}

func (p *Process) init() {
	p.seeds.CompareAndSwap(nil, &p.Settings.Seeds)
	p.started = p.Clock.Now()
	p.events = &eventlog.Limiter{Clock: p.Clock}
	p.door = &door.Door{
		Memory: p.Settings.Memory, Descriptors: p.Settings.Descriptors, CallerMemory: p.Settings.CallerMemory,
		CallerConnections: p.Settings.CallerConnections, Clock: p.Clock, Log: p.Log, Events: p.events,
	}
	p.limitMemory()
	p.door.Metrics = door.NewMetrics(p.Registry, p.door)
	p.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

// start returns the start time in Unix nanoseconds, which identifies this run to other hosts.
func (p *Process) start() int64 { return p.started.UnixNano() }

// age returns how long the process has run.
func (p *Process) age() time.Duration { return p.Clock.Since(p.started) }

func (p *Process) seedAddresses() []netip.AddrPort { return *p.seeds.Load() }

// listenLimits returns the limits of listeners that no routing document bounds.
func listenLimits() door.Limits { return door.DefaultLimits }

// serve opens an HTTP listener at the address and serves it in g. It does nothing if the
// address is not valid.
func (p *Process) serve(ctx context.Context, g *errgroup.Group, name string, address netip.AddrPort, handler http.Handler, limits func() door.Limits) (*http.Server, error) {
	if !address.IsValid() {
		return nil, nil
	}
	lc := door.ListenConfig()
	l, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l = p.door.Listener(l, name, limits)
	server := &http.Server{
		Handler: p.door.Handler(handler), ConnContext: connContext, ConnState: door.ConnState, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the process ends
	return server, nil
}

// servePeers opens the listener for other hosts and serves it in g.
func (p *Process) servePeers(ctx context.Context, g *errgroup.Group, handlers map[string]peer.Handler) error {
	address := cmp.Or(p.Settings.PeerListen, p.Settings.Peer)
	server := &peer.Server{Address: address, Handlers: handlers, Log: p.Log, MaxConnections: p.door.MaxPeers(), MaxReceiving: p.door.Budget() / peerByteMemory}
	l, err := server.Listen(ctx)
	if err != nil {
		return err
	}
	g.Go(func() error { return server.Run(ctx, l) })
	return nil
}

func (p *Process) metrics() http.Handler {
	return promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests})
}
