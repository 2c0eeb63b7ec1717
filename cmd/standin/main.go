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
	// announceTimeout bounds an announcement at one address, so that a host that drops all
	// packets delays the announcement by less than a renewal period.
	announceTimeout = 500 * time.Millisecond
	// shutdownTimeout bounds the wait for running sub-requests when the process stops.
	shutdownTimeout = 5 * time.Second
	headerTimeout   = 5 * time.Second
)

type options struct {
	Name        string                `help:"Name of the target." required:""`
	Service     string                `help:"Service of the target." required:""`
	Version     string                `help:"Version of the back end." default:"v1"`
	Centre      string                `help:"Data centre." required:""`
	Listen      netip.AddrPort        `help:"Address to listen on." required:""`
	Admin       netip.AddrPort        `help:"Address for faults and counts, without the connection limit."`
	Hosts       []netip.AddrPort      `help:"Caller addresses of entry hosts." required:""`
	Shards      []int                 `help:"Shards that the target holds." required:""`
	Snapshot    uint64                `help:"Number of the snapshot." default:"1"`
	Total       int                   `help:"Number of shards of the snapshot." required:""`
	Slots       int                   `help:"Maximum number of sub-requests that run at the same time; 0 for no limit." default:"0"`
	Queue       int                   `help:"Maximum number of sub-requests that wait for a slot; 0 for no limit." default:"0"`
	Connections int                   `help:"Maximum number of connections; 0 for no limit." default:"0"`
	Connect     time.Duration         `help:"Delay of the first read of a new connection." default:"0s"`
	Cold        bool                  `help:"Start cold."`
	Bears       int                   `help:"Cold limit: maximum number of concurrent sub-requests while cold." default:"1"`
	WarmServed  int                   `help:"Number of served sub-requests after which the target is warm; 0 for never." default:"100"`
	WarmAfter   time.Duration         `help:"Time after which the target is warm; 0 for never." default:"10s"`
	Time        time.Duration         `help:"Mean service time of a sub-request." default:"1ms"`
	Shape       searcher.Distribution `help:"Distribution of service times: ${enum}." enum:"fixed,exponential,lognormal" default:"fixed"`
	Sigma       float64               `help:"Standard deviation of the logarithm of a lognormal service time." default:"0.5"`
	NoCancel    bool                  `help:"Do not announce support for POST /cancel."`
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
	kong.Parse(&o, kong.Description("Run a stand-in for one searcher."))
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
		log.Warn().Err(err).Msg("failed to leave")
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
