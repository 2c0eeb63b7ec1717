// Command standin runs a stand-in for one searcher.
package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/client"
	"wasabirelay/control"
	"wasabirelay/searcher"
)

type options struct {
	Name     string           `help:"Name of the target." required:""`
	Service  string           `help:"Service that it belongs to." required:""`
	Version  string           `help:"Version of the back end." default:"v1"`
	Centre   string           `help:"Data centre." required:""`
	Listen   netip.AddrPort   `help:"Address to serve on." required:""`
	Hosts    []netip.AddrPort `help:"Caller addresses of entry hosts." required:""`
	Shards   []int            `help:"Shards that it holds." required:""`
	Snapshot uint64           `help:"Number of the snapshot." default:"1"`
	Total    int              `help:"Number of shards of the snapshot." required:""`
	Time     time.Duration    `help:"Service time of a sub-request." default:"1ms"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Stand-in for one searcher."))
	log := zerolog.New(os.Stderr).With().Timestamp().Str("target", o.Name).Logger()
	s := &searcher.Searcher{
		Target: control.Target{
			Name: o.Name, Incarnation: uuid.NewString(), Service: o.Service, Version: o.Version, Centre: o.Centre,
			Address: o.Listen, Shards: o.Shards, Snapshots: []control.Snapshot{{Number: o.Snapshot, Shards: o.Total}},
			State: control.Warm,
		},
		Time: o.Time, Client: &client.Client{Addresses: o.Hosts}, Clock: clockwork.NewRealClock(), Log: log,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Addr: o.Listen.String(), Handler: s.Handler(), ReadHeaderTimeout: time.Second}
	go func() {
		if err := server.ListenAndServe(); err != nil {
			log.Error().Err(err).Msg("serve")
		}
	}()
	if err := s.Run(ctx); err != nil {
		log.Warn().Err(err).Msg("leave")
	}
}
