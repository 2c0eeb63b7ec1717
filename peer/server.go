package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"sync"
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
	// MaxConnections is the number of connections, MaxReceiving the number of bytes of messages that are received at the
	// same time; 0 for no limit. A connection beyond them ends.
	MaxConnections int
	MaxReceiving   int64
	// Clock is the clock for delays; nil means the system's clock.
	Clock clockwork.Clock

	budget *budget
	mu     sync.Mutex
	open   []*Conn // the newest last
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
	if s.MaxReceiving > 0 {
		s.budget = &budget{max: s.MaxReceiving}
	}
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
	if !s.makePlace() {
		nc.Close()
		return
	}
	c := newConn(ctx, nc, s.Handlers, s.Log, s.budget)
	s.mu.Lock()
	s.open = append(s.open, c)
	s.mu.Unlock()
	release := context.AfterFunc(ctx, c.Close)
	go func() {
		<-c.Done()
		c.tcp.Close()
		release()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open = slices.DeleteFunc(s.open, func(o *Conn) bool { return o == c })
	}()
}

// makePlace reports whether there is place for another connection. If there is none, the oldest connection that has
// sent no whole message makes place: other hosts send one at once.
func (s *Server) makePlace() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConnections == 0 || len(s.open) < s.MaxConnections {
		return true
	}
	i := slices.IndexFunc(s.open, func(c *Conn) bool { return c.tcp.messages.Load() == 0 })
	if i < 0 {
		return false
	}
	s.open[i].Close()
	s.open = slices.Delete(s.open, i, i+1)
	return true
}

func (s *Server) clock() clockwork.Clock {
	if s.Clock == nil {
		return clockwork.NewRealClock()
	}
	return s.Clock
}
