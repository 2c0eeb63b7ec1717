// Command standin runs a stand-in for one searcher.
package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/client"
	"wasabirelay/control"
	"wasabirelay/document"
	"wasabirelay/searcher"
)

const (
	// announceTimeout bounds an announcement at one address, so that a host that is cut
	// off silently costs less than a renewal period.
	announceTimeout = 500 * time.Millisecond
	// shutdownTimeout bounds the sub-requests that still run when the process stops.
	shutdownTimeout = 5 * time.Second
	headerTimeout   = 5 * time.Second
)

type options struct {
	Name        string                `help:"Name of the target." required:""`
	Service     string                `help:"Service that it belongs to." required:""`
	Version     string                `help:"Version of the back end." default:"v1"`
	Centre      string                `help:"Data centre." required:""`
	Listen      netip.AddrPort        `help:"Address to serve on." required:""`
	Admin       netip.AddrPort        `help:"Address for faults and counts that the connection limit does not apply to."`
	Hosts       []netip.AddrPort      `help:"Caller addresses of entry hosts." required:""`
	Shards      []int                 `help:"Shards that it holds." required:""`
	Snapshot    uint64                `help:"Number of the snapshot." default:"1"`
	Total       int                   `help:"Number of shards of the snapshot." required:""`
	Slots       int                   `help:"Sub-requests that run at the same time; 0 for no bound." default:"0"`
	Queue       int                   `help:"Sub-requests that wait for a slot; 0 for no bound." default:"0"`
	Connections int                   `help:"Connections that it accepts; 0 for no bound." default:"0"`
	Connect     time.Duration         `help:"Cost of a new connection." default:"0s"`
	Cold        bool                  `help:"Start cold."`
	Bears       int                   `help:"Sub-requests that it bears at the same time while cold." default:"1"`
	WarmServed  int                   `help:"Sub-requests after which it is warm; 0 for never." default:"100"`
	WarmAfter   time.Duration         `help:"Time after which it is warm; 0 for never." default:"10s"`
	Time        time.Duration         `help:"Mean service time of a sub-request." default:"1ms"`
	Shape       searcher.Distribution `help:"Distribution of service times: ${enum}." enum:"fixed,exponential,lognormal" default:"fixed"`
	Sigma       float64               `help:"Standard deviation of the logarithm of a lognormal service time." default:"0.5"`
	NoCancel    bool                  `help:"Do not announce that it accepts POST /cancel."`
}

func (o *options) target() control.Target {
	state := control.Warm
	if o.Cold {
		state = control.Cold
	}
	return control.Target{
		Name: o.Name, Incarnation: uuid.NewString(), Service: o.Service, Version: o.Version, Centre: o.Centre,
		Address: o.Listen, Shards: o.Shards, Snapshots: []control.Snapshot{{Number: o.Snapshot, Shards: o.Total}},
		Slots: o.Slots, Connections: o.Connections, ColdLimit: o.Bears, ConnectCost: document.Duration{Duration: o.Connect},
		State: state, SupportsCancel: !o.NoCancel,
	}
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Stand-in for one searcher."))
	log := zerolog.New(os.Stderr).With().Timestamp().Str("target", o.Name).Logger()
	if err := run(&o, log); err != nil {
		log.Error().Err(err).Msg("stopped")
		os.Exit(1)
	}
}

func run(o *options, log zerolog.Logger) error {
	s := &searcher.Searcher{
		Target: o.target(), ServiceTime: searcher.ServiceTime{Mean: o.Time, Distribution: o.Shape, Sigma: o.Sigma}, QueueLimit: o.Queue,
		Warmup: searcher.Warmup{Served: o.WarmServed, After: o.WarmAfter},
		Client: &client.Client{Addresses: o.Hosts, Timeout: announceTimeout}, Clock: clockwork.NewRealClock(), Log: log,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", o.Listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := serve(s.LimitListener(l), s.Handler(), log)
	if o.Admin.IsValid() {
		l, err := lc.Listen(ctx, "tcp", o.Admin.String())
		if err != nil {
			return errors.Wrap(err, "listen for faults and counts")
		}
		serve(l, s.AdminHandler(), log)
	}
	if err := s.Run(ctx); err != nil {
		log.Warn().Err(err).Msg("leave failed")
	}
	timed, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(timed), "finish running sub-requests")
}

func serve(l net.Listener, h http.Handler, log zerolog.Logger) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("serve")
		}
	}()
	return server
}
