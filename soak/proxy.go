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
	// Silence takes data and passes nothing on, in either direction.
	Silence
	// Deaf passes on what goes to the server, and nothing of what comes back.
	Deaf
	modes
)

var modeNames = [modes]string{"pass", "delay", "reset", "silence", "deaf"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// delay is how long Delay holds data back. It exceeds the delay of hedges.
const delay = 150 * time.Millisecond

// Proxy is a loopback proxy before one server.
type Proxy struct {
	Address netip.AddrPort
	server  netip.AddrPort
	mode    atomic.Int32
	l       net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy starts a proxy before a server.
func NewProxy(server netip.AddrPort) (*Proxy, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: netip.MustParseAddrPort(l.Addr().String()), server: server, l: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Set changes the mode.
func (p *Proxy) Set(m Mode) {
	p.mode.Store(int32(m))
	if m == Reset {
		p.reset()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.l.Close()
	p.reset()
}

func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the connection may have ended
		}
		c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.l.Accept()
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
	p.track(client, server)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, true) })
	wg.Go(func() { p.copy(client, server, false) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	for _, c := range conns {
		p.conns[c] = true
	}
	p.mu.Unlock()
	if Mode(p.mode.Load()) == Reset {
		p.reset()
	}
}

// copy passes data on until one side ends, which ends the other.
func (p *Proxy) copy(to, from net.Conn, toServer bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.passes(toServer) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && Mode(p.mode.Load()) == Silence {
				time.Sleep(delay) // the end is held up like all else
			}
			return
		}
	}
}

func (p *Proxy) passes(toServer bool) bool {
	switch Mode(p.mode.Load()) {
	case Delay:
		time.Sleep(delay)
	case Silence:
		return false
	case Deaf:
		return toServer
	}
	return true
}
