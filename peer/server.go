package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the delay after a connection could not be accepted.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Server accepts connections from other daemons. Exported fields are set before Run.
type Server struct {
	Address netip.AddrPort
	// TLS is the TLS configuration; nil means plain text.
	TLS      *tls.Config
	Handlers map[string]Handler
	Log      zerolog.Logger
	// Clock is the clock for delays; nil means the system's clock.
	Clock clockwork.Clock
}

// Listen opens the listener. It is separate from Run so that an address in use is
// reported before anything starts.
func (s *Server) Listen(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	return l, nil
}

// Run serves connections from l until ctx ends or l is closed. A connection that can't be accepted,
// for example because the process has no free descriptors, is no reason to end the process.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	delay := minAcceptDelay
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
			s.serve(ctx, nc)
			continue
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept peer connection")
		}
		s.Log.Error().Err(err).Dur("delay", delay).Msg("failed to accept a peer connection")
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock().After(delay):
		}
		delay = min(2*delay, maxAcceptDelay)
	}
}

// serve serves a connection in the background until it or ctx ends.
func (s *Server) serve(ctx context.Context, nc net.Conn) {
	c := newConn(ctx, nc, s.Handlers, s.Log)
	release := context.AfterFunc(ctx, c.Close)
	go func() {
		<-c.Done()
		release()
	}()
}

func (s *Server) clock() clockwork.Clock {
	if s.Clock == nil {
		return clockwork.NewRealClock()
	}
	return s.Clock
}
