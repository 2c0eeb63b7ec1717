package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Mode is the fault that a proxy injects into its connections.
type Mode int32

// Values of Mode.
const (
	Pass Mode = iota
	// Delay delays each chunk of data by delayTime.
	Delay
	// Reset resets open and new connections.
	Reset
	// Blackhole accepts data and drops it, in both directions.
	Blackhole
	// OneWay forwards data to the server and drops the data from it.
	OneWay
	modeCount
)

var modeNames = [modeCount]string{"pass", "delay", "reset", "silence", "deaf"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// delayTime is the delay of mode Delay. It exceeds the hedge delay.
const delayTime = 150 * time.Millisecond

// Proxy is a loopback proxy in front of one server.
type Proxy struct {
	Address netip.AddrPort
	server  netip.AddrPort
	mode    atomic.Int32
	// alternate is true if the mode applies only to every other connection.
	alternate atomic.Bool
	listener  net.Listener

	mu       sync.Mutex
	accepted int
	// conns holds both ends of each connection, with true for those affected if alternate is set.
	conns map[net.Conn]bool
}

// anyPort makes the system choose a free port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// NewProxy starts a proxy in front of a server. The port of its own address may be 0.
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

// Set changes the mode, for all connections or, if alternate is true, for every other one.
func (p *Proxy) Set(m Mode, alternate bool) {
	p.alternate.Store(alternate)
	p.mode.Store(int32(m))
	if m == Reset {
		p.reset()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.alternate.Store(false)
	p.reset()
}

// modeOf returns the mode that applies to a connection.
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
		setReset(c)
		c.Close()
	}
}

// setReset makes the close of a connection reset it.
func setReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // it fails if the connection is already closed
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

// track registers both ends of a connection and reports whether it is affected if alternate
// is set.
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

// copy forwards data until one side is closed, and then closes the other.
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
			switch {
			case errors.Is(err, io.EOF) && p.modeOf(even) == Blackhole:
				time.Sleep(delayTime) // the close is held back like the data
			case errors.Is(err, syscall.ECONNRESET):
				setReset(to) // a clean close would make a body without a length complete
			}
			return
		}
	}
}

// transmits reports whether data is forwarded in a mode. In mode Delay it waits first.
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
