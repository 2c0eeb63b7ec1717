package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a proxy does to the connections through it.
type Mode int32

// Values of Mode.
const (
	Pass Mode = iota
	// Delay holds each piece of data back for a while.
	Delay
	// Reset ends open and new connections with a reset.
	Reset
	// Blackhole takes data and passes nothing on, in either direction.
	Blackhole
	// OneWay passes on what goes to the server, and nothing of what comes back.
	OneWay
	modeCount
)

var modeNames = [modeCount]string{"pass", "delay", "reset", "silence", "deaf"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// delayTime is how long Delay holds data back. It exceeds the delayTime of hedges.
const delayTime = 150 * time.Millisecond

// Proxy is a loopback proxy before one server.
type Proxy struct {
	Address netip.AddrPort
	server  netip.AddrPort
	mode    atomic.Int32
	// alternate states that every other connection is harmed.
	alternate atomic.Bool
	listener  net.Listener

	mu       sync.Mutex
	accepted int
	// conns holds for both ends of each connection whether it is harmed by halves too.
	conns map[net.Conn]bool
}

// anyPort lets the system choose a free port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// NewProxy starts a proxy before a server, at an address of which the port may be 0.
func NewProxy(at, server netip.AddrPort) (*Proxy, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: netip.MustParseAddrPort(l.Addr().String()), server: server, listener: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Set changes the mode, for all connections or every other one.
func (p *Proxy) Set(m Mode, half bool) {
	p.alternate.Store(half)
	p.mode.Store(int32(m))
	if m == Reset {
		p.reset()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.alternate.Store(false)
	p.reset()
}

// modeOf returns the mode for a connection.
func (p *Proxy) modeOf(even bool) Mode {
	if p.alternate.Load() && !even {
		return Pass
	}
	return Mode(p.mode.Load())
}

func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, even := range p.conns {
		if p.alternate.Load() && !even {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the connection may have ended
		}
		c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	var d net.Dialer
	server, err := d.DialContext(context.Background(), "tcp", p.server.String())
	if err != nil {
		client.Close()
		return
	}
	even := p.track(client, server)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, even, true) })
	wg.Go(func() { p.copy(client, server, even, false) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// track notes a connection. It reports whether it is harmed by halves too.
func (p *Proxy) track(conns ...net.Conn) (even bool) {
	p.mu.Lock()
	p.accepted++
	even = p.accepted%2 == 0
	for _, c := range conns {
		p.conns[c] = even
	}
	p.mu.Unlock()
	if p.modeOf(even) == Reset {
		p.reset()
	}
	return even
}

// copy passes data on until one side ends, which ends the other.
func (p *Proxy) copy(to, from net.Conn, even, toServer bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && transmits(p.modeOf(even), toServer) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && p.modeOf(even) == Blackhole {
				time.Sleep(delayTime) // the end is held up like all else
			}
			return
		}
	}
}

func transmits(m Mode, toServer bool) bool {
	switch m {
	case Delay:
		time.Sleep(delayTime)
	case Blackhole:
		return false
	case OneWay:
		return toServer
	}
	return true
}
