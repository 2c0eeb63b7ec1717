package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func startLimited(t *testing.T, s *Server) *Client {
	t.Helper()
	s.Address, s.Log = netip.MustParseAddrPort("127.0.0.1:0"), zerolog.Nop()
	s.Handlers = map[string]Handler{"length": func(_ context.Context, _ *Conn, params json.RawMessage) (any, error) { return len(params), nil }}
	l, err := s.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run(t.Context(), l) }()
	c := &Client{Address: netip.MustParseAddrPort(l.Addr().String())}
	t.Cleanup(c.Close)
	return c
}

// Guards against strangers that take all connections: another host still gets one, and one that is in use stays.
func TestSilentConnectionsMakePlace(t *testing.T) {
	is := is.New(t)
	server := &Server{MaxConnections: 8}
	inUse := startLimited(t, server)
	var length int
	is.NoErr(inUse.Call(t.Context(), "length", "abc", &length))
	used, err := inUse.Connect(t.Context())
	is.NoErr(err)
	for range 30 {
		c, err := net.Dial("tcp", inUse.Address.String())
		is.NoErr(err)
		defer c.Close()
	}
	other := &Client{Address: inUse.Address}
	defer other.Close()
	is.NoErr(other.Call(t.Context(), "length", "abc", &length))
	is.NoErr(inUse.Call(t.Context(), "length", "abc", &length))
	same, err := inUse.Connect(t.Context())
	is.NoErr(err)
	is.Equal(same, used)
	server.mu.Lock()
	defer server.mu.Unlock()
	is.True(len(server.open) <= server.MaxConnections)
}

// Guards against messages that don't end and together fill the memory: the connection beyond the budget ends, small
// messages have a reserve, and what ended is returned.
func TestUnfinishedMessages(t *testing.T) {
	is := is.New(t)
	server := &Server{MaxReceiving: 4 << 20}
	c := startLimited(t, server)
	var strangers []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", c.Address.String())
		is.NoErr(err)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = conn.Write(append(binary.AppendUvarint(nil, 8<<20), `{"method":"`+strings.Repeat("a", 1<<20)...)) // the last ones are closed
		strangers = append(strangers, conn)
	}
	one := make([]byte, 1)
	_, err := strangers[3].Read(one)
	is.True(err != nil) // closed
	var length int
	is.NoErr(c.Call(t.Context(), "length", strings.Repeat("a", 32<<10), &length))
	for _, conn := range strangers {
		conn.Close()
	}
	for end := time.Now().Add(10 * time.Second); server.budget.used.Load() != 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	is.NoErr(c.Call(t.Context(), "length", strings.Repeat("a", 2<<20), &length))
}
