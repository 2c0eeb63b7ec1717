// Command wasabirelayd is the daemon of an entry host, which may also be a control host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"wasabirelay/daemon"
	"wasabirelay/settings"
)

type options struct {
	Settings string `arg:"" help:"Settings file in JSON with comments." type:"existingfile"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Run the wasabirelay daemon of an entry host."))
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(run(s))
}

func run(s *settings.Settings) int {
	// The first signal starts a graceful shutdown, the second one stops the daemon at once.
	stop, cancelStop := context.WithCancel(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancelStop()
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancel()
	}()
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("host", s.Host).Logger()
	d := &daemon.Daemon{
		Settings: s, Clock: clockwork.NewRealClock(), Log: log, Registry: prometheus.NewRegistry(),
	}
	if err := d.Run(ctx, stop); err != nil {
		log.Error().Err(err).Msg("stopped")
		return 1
	}
	return 0
}
