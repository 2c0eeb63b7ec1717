// Package daemon wires the parts of one wasabirelayd process together.
package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/answer"
	"wasabirelay/control"
	"wasabirelay/inventory"
	"wasabirelay/settings"
	"wasabirelay/target"
)

// Timeouts of the HTTP listeners.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 120 * time.Second
)

// Daemon is one process. Exported fields are set before Run.
type Daemon struct {
	Settings *settings.Settings
	Log      zerolog.Logger

	mu    sync.Mutex
	state control.State
	index uint64
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	view := d.view
	targets := &target.Service{
		Host: d.Settings.Host, Propose: d.propose, View: view, Clock: clockwork.NewRealClock(), Log: d.Log,
	}
	targets.Register(mux)
	go func() { _ = targets.Run(ctx) }()
	queries := &answer.Service{Host: d.Settings.Host, Log: d.Log}
	queries.View = func() (*control.View, error) { return view(), nil }
	queries.Propose = d.propose
	queries.Register(mux)
	server := &http.Server{
		Addr: d.Settings.Caller.Address.String(), Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.WithoutCancel(ctx))
	}()
	d.Log.Info().Stringer("caller", d.Settings.Caller.Address).Msg("serving")
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

func (d *Daemon) propose(_ context.Context, c control.Command) (control.Result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	return d.state.Apply(d.index, c), nil
}

func (d *Daemon) view() *control.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.state.View()
	if v.Inventory == nil {
		v.Inventory = &inventory.Document{}
	}
	return v
}
