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

// maxHeader limits the headers of a request, in bytes.
const maxHeader = 64 << 10

// certificates holds the certificate stores of the listeners and of connections to targets.
// A nil store means plain text.
type certificates struct {
	caller, operator, peer, target *certificate.Store
}

func (c *certificates) load(d *Daemon) error {
	for _, l := range []struct {
		name  string
		files *settings.TLS
		store **certificate.Store
	}{
		{"caller", d.Settings.Caller.TLS, &c.caller},
		{"operator", d.Settings.Operator.TLS, &c.operator},
		{"peer", d.Settings.Peer.TLS, &c.peer},
		{"target", d.Settings.TargetTLS, &c.target},
	} {
		files := l.files
		if files == nil {
			continue
		}
		store := &certificate.Store{
			Certificate: files.Certificate, Key: files.Key, Authority: files.Authority, Clock: d.Clock, Log: d.Log,
		}
		if err := store.Load(); err != nil {
			return errors.Wrapf(err, "load the TLS files of %s", l.name)
		}
		*l.store = store
	}
	return nil
}

// peerClient returns the TLS configuration of connections to other daemons, or nil for
// plain text.
func (c *certificates) peerClient() *tls.Config {
	if c.peer == nil {
		return nil
	}
	return c.peer.ClientConfig()
}

// targetClient returns the TLS configuration of connections to targets, or nil for plain
// text.
func (c *certificates) targetClient() *tls.Config {
	if c.target == nil {
		return nil
	}
	return c.target.ClientConfig()
}

// listener is an HTTP server with its network listener.
type listener struct {
	server   *http.Server
	listener net.Listener
}

// run serves until the server is shut down. It closes the server when ctx ends.
func (l *listener) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// listen opens the listeners for callers, operators and other daemons.
func (d *Daemon) listen(ctx context.Context) error {
	for _, l := range []struct {
		settings settings.Listener
		store    *certificate.Store
		mux      *http.ServeMux
	}{
		{d.Settings.Caller, d.certificates.caller, d.callerMux()},
		{d.Settings.Operator, d.certificates.operator, d.operatorMux()},
	} {
		if err := d.listenHTTP(ctx, l.settings, l.store, l.mux); err != nil {
			return err
		}
	}
	var err error
	d.peerListener, err = d.peerServer().Listen(ctx)
	return err
}

func (d *Daemon) listenHTTP(ctx context.Context, config settings.Listener, store *certificate.Store, mux *http.ServeMux) error {
	var lc net.ListenConfig
	netListener, err := lc.Listen(ctx, "tcp", config.Address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if store != nil {
		netListener = tls.NewListener(netListener, store.ServerConfig())
	}
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	d.listeners = append(d.listeners, &listener{server, netListener})
	return nil
}

func (d *Daemon) callerMux() *http.ServeMux {
	mux := http.NewServeMux()
	d.targets.Register(mux)
	d.queries.Register(mux)
	d.follower.Register(mux)
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", d.serveReady)
	return mux
}

func (d *Daemon) operatorMux() *http.ServeMux {
	mux := http.NewServeMux()
	d.operatorService().Register(mux)
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", d.serveReady)
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
	s.Handlers[quorum.MethodFetch] = d.serveFetchAnswer
	return s
}
