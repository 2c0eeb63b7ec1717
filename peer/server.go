package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Server accepts connections from other daemons. Exported fields are set before Run.
type Server struct {
	Address netip.AddrPort
	// TLS is the TLS configuration; nil means plain text.
	TLS      *tls.Config
	Handlers map[string]Handler
	Log      zerolog.Logger
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

// Run serves connections from l until ctx ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		c := newConn(ctx, nc, s.Handlers)
		context.AfterFunc(ctx, c.Close)
	}
}
