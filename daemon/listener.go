package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wasabirelay/certificate"
	"wasabirelay/peer"
	"wasabirelay/quorum"
	"wasabirelay/settings"
)

// Timeouts of the HTTP listeners.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 120 * time.Second
)

// maxHeader bounds the headers of a request in bytes.
const maxHeader = 64 << 10

// certificates holds the TLS files of the listeners and of connections to targets;
// nil means plain text.
type certificates struct {
	caller, operator, peer, target *certificate.Store
}

func (c *certificates) load(d *Daemon) error {
	for _, l := range []struct {
		name string
		from *settings.TLS
		to   **certificate.Store
	}{
		{"caller", d.Settings.Caller.TLS, &c.caller},
		{"operator", d.Settings.Operator.TLS, &c.operator},
		{"peer", d.Settings.Peer.TLS, &c.peer},
		{"target", d.Settings.TargetTLS, &c.target},
	} {
		t := l.from
		if t == nil {
			continue
		}
		s := &certificate.Store{
			Certificate: t.Certificate, Key: t.Key, Authority: t.Authority, Clock: d.Clock, Log: d.Log,
		}
		if err := s.Load(); err != nil {
			return errors.Wrapf(err, "TLS of %s", l.name)
		}
		*l.to = s
	}
	return nil
}

// peerClient returns the configuration of connections to other daemons.
func (c *certificates) peerClient() *tls.Config {
	if c.peer == nil {
		return nil
	}
	return c.peer.ClientConfig()
}

// targetClient returns the configuration of connections to targets.
func (c *certificates) targetClient() *tls.Config {
	if c.target == nil {
		return nil
	}
	return c.target.ClientConfig()
}

// listener is an HTTP server with its open listener.
type listener struct {
	server *http.Server
	open   net.Listener
}

// run serves until the server is shut down, or ends it with ctx.
func (l *listener) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	if err := l.server.Serve(l.open); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// listen opens the three listeners.
func (d *Daemon) listen(ctx context.Context) error {
	for _, l := range []struct {
		at    settings.Listener
		store *certificate.Store
		mux   *http.ServeMux
	}{
		{d.Settings.Caller, d.certificates.caller, d.callerMux()},
		{d.Settings.Operator, d.certificates.operator, d.operatorMux()},
	} {
		if err := d.listenHTTP(ctx, l.at, l.store, l.mux); err != nil {
			return err
		}
	}
	var err error
	d.peers, err = d.peerServer().Listen(ctx)
	return err
}

func (d *Daemon) listenHTTP(ctx context.Context, at settings.Listener, store *certificate.Store, mux *http.ServeMux) error {
	var lc net.ListenConfig
	open, err := lc.Listen(ctx, "tcp", at.Address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if store != nil {
		open = tls.NewListener(open, store.ServerConfig())
	}
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	d.listeners = append(d.listeners, &listener{server, open})
	return nil
}

func (d *Daemon) callerMux() *http.ServeMux {
	mux := http.NewServeMux()
	d.targets.Register(mux)
	d.queries.Register(mux)
	d.follower.Register(mux)
	mux.HandleFunc("GET /healthz", healthy)
	mux.HandleFunc("GET /readyz", d.ready)
	return mux
}

func (d *Daemon) operatorMux() *http.ServeMux {
	mux := http.NewServeMux()
	d.operatorService().Register(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", healthy)
	mux.HandleFunc("GET /readyz", d.ready)
	return mux
}

func (d *Daemon) peerServer() *peer.Server {
	s := &peer.Server{Address: d.Settings.Peer.Address, Log: d.Log, Handlers: map[string]peer.Handler{}}
	if d.certificates.peer != nil {
		s.TLS = d.certificates.peer.ServerConfig()
	}
	if d.replica != nil {
		s.Handlers = d.replica.Handlers()
	}
	s.Handlers[quorum.MethodFetch] = d.serveFetch
	return s
}
