// Command wasabirelayd is the daemon on an entry host.
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
	Settings string `arg:"" help:"Settings file, JSON with comments." type:"existingfile"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Entry host daemon of wasabirelay."))
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(run(s))
}

func run(s *settings.Settings) int {
	// The first signal starts the planned stop, the second one ends it at once.
	stop, cancelStop := context.WithCancel(context.Background())
	now, cancelNow := context.WithCancel(context.Background())
	defer cancelStop()
	defer cancelNow()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelNow()
	}()
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("host", s.Host).Logger()
	d := &daemon.Daemon{
		Settings: s, Clock: clockwork.NewRealClock(), Log: log, Registry: prometheus.NewRegistry(),
	}
	if err := d.Run(now, stop); err != nil {
		log.Error().Err(err).Msg("stopped")
		return 1
	}
	return 0
}
