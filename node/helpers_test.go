package node

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/exchange"
	"wasabirelay/peer"
	"wasabirelay/relay"
)

// helping runs a host that answers portions with reply.
func helping(t *testing.T, name string, reply func(ctx context.Context) *relay.PortionReply) exchange.Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
	if err != nil {
		t.Fatal(err)
	}
	server := &peer.Server{Handlers: map[string]peer.Handler{
		methodPortion: func(ctx context.Context, _ *peer.Conn, _ json.RawMessage) (any, error) { return reply(ctx), nil },
	}}
	go func() { _ = server.Run(t.Context(), l) }()
	return exchange.Host{Name: name, Centre: "c", Helper: netip.MustParseAddrPort(l.Addr().String())}
}

// Guards against a portion that is collected twice, against one that nobody collects
// because one host of a team is gone, and against hosts that are asked while they are
// silent.
func TestHelpers(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := helpers{Clock: clock}
	asked := 0
	good := helping(t, "good", func(context.Context) *relay.PortionReply {
		asked++
		return &relay.PortionReply{Signatures: []string{"s"}}
	})
	stopping := helping(t, "stopping", func(context.Context) *relay.PortionReply { return &relay.PortionReply{Refused: "this host stops"} })
	silent := helping(t, "silent", func(ctx context.Context) *relay.PortionReply { <-ctx.Done(); return nil })
	gone := exchange.Host{Name: "gone", Helper: netip.MustParseAddrPort("127.0.0.1:1")}
	is.Equal(h.set([]exchange.Host{good, stopping, silent, gone}), []string{"good", "stopping", "silent", "gone"})
	ask := func(names ...string) (*relay.PortionReply, error) {
		return h.ask(t.Context(), names, &relay.PortionRequest{Left: 200 * time.Millisecond})
	}
	for range 20 {
		reply, err := ask("good", "gone", "unknown")
		is.NoErr(err)
		is.Equal(reply.Signatures, []string{"s"})
	}
	is.Equal(asked, 20)
	var not *relay.NotAskedError
	_, err := ask("gone")
	is.True(errors.As(err, &not))
	_, err = ask("stopping")
	is.True(errors.As(err, &not))
	_, err = ask("silent")
	is.True(err != nil && !errors.As(err, &not)) // it may have asked targets
	_, err = ask("silent")
	is.True(errors.As(err, &not)) // it is avoided
	clock.Advance(avoidTime)
	_, err = ask("silent")
	is.True(!errors.As(err, &not))
	h.set([]exchange.Host{good})
	_, err = ask("silent")
	is.True(errors.As(err, &not))
}
