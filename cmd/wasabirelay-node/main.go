// Command wasabirelay-node is the daemon of an entry host or a control host on the users'
// platform.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"wasabirelay/eventlog"
	"wasabirelay/node"
	"wasabirelay/platform"
)

// reloadInterval is how often the settings are reloaded. They may change without a signal.
const reloadInterval = 2 * time.Second

type options struct {
	PeerListen        netip.AddrPort `help:"Address to listen on for other hosts, if they reach this host through a forwarder."`
	CallerMemoryMB    int64          `name:"caller-memory-mb" help:"Memory in MB that requests of callers may hold together; a fifth of that of the process unless set."`
	CallerConnections int            `help:"Connections that callers may have open together; unless set, it follows from the descriptors and the memory of the process."`
}

func main() {
	// A SIGHUP during the start must not terminate the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	var o options
	kong.Parse(&o, kong.Description("Run the wasabirelay daemon on the users' platform. It reads the settings file of the platform."))
	// A write that exceeds the file size limit fails instead of terminating the process.
	signal.Ignore(syscall.SIGXFSZ)
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	s.PeerListen, s.CallerMemory, s.CallerConnections = o.PeerListen, o.CallerMemoryMB<<20, o.CallerConnections
	os.Exit(run(s, reloads))
}

// host is an entry host or a control host.
type host interface {
	Run(ctx, stop context.Context) error
}

func run(s *node.Settings, reloads <-chan os.Signal) int {
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log := zerolog.New(out).With().Timestamp().Str("node", s.Host).Logger()
	p := &node.Process{
		Settings: *s, Interfaces: platform.Interfaces(), Clock: clockwork.NewRealClock(), Log: log, Registry: prometheus.NewRegistry(),
	}
	var h host = &node.Control{Process: p}
	if s.DataDir == "" {
		h = &node.Entry{Process: p}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop, cancelStop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancelStop()
	go watchSettings(ctx, log, reloads, p.Reload)
	if err := h.Run(ctx, stop); err != nil {
		log.Error().Err(err).Msg("ended with an error")
		return 1
	}
	log.Info().Msg("ended")
	return 0
}

// watchSettings reloads the settings after each signal and every reloadInterval.
func watchSettings(ctx context.Context, log zerolog.Logger, signals <-chan os.Signal, reload func(*node.Settings)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
		}
		s, err := platform.LoadSettings()
		if err != nil {
			log.Error().Err(err).Msg("failed to reload the settings; keeping the previous ones")
			continue
		}
		reload(s)
	}
}
