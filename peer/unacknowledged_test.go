package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Guards against messages that are lost for seconds on a connection to a host that had lost power,
// while new connections to it work. The kernel ends the connection; no loopback test can hold packets back.
func TestConnectionsLimitUnacknowledgedData(t *testing.T) {
	is := is.New(t)
	server := &Server{Address: netip.MustParseAddrPort("127.0.0.1:0"), Log: zerolog.Nop()}
	l, err := server.Listen(t.Context())
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan *Conn, 1)
	go func() {
		nc, err := l.Accept()
		if err == nil {
			accepted <- newConn(context.Background(), nc, nil, zerolog.Nop(), nil)
		}
	}()
	c := &Client{Address: netip.MustParseAddrPort(l.Addr().String())}
	defer c.Close()
	dialed, err := c.Connect(t.Context())
	is.NoErr(err)
	for _, conn := range []*Conn{dialed, <-accepted} {
		raw, err := conn.tcp.Conn.(*net.TCPConn).SyscallConn()
		is.NoErr(err)
		var limit int
		is.NoErr(raw.Control(func(fd uintptr) { limit, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
		is.NoErr(err)
		is.Equal(time.Duration(limit)*time.Millisecond, unacknowledgedTimeout)
	}
	dialed.Close()
}
