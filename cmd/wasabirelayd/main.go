// Command wasabirelayd is the daemon on an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Str("host", s.Host).Logger()
	if err := (&daemon.Daemon{Settings: s, Log: log}).Run(ctx); err != nil {
		log.Error().Err(err).Msg("stopped")
		return 1
	}
	return 0
}
