package searcher

import (
	"net"
	"sync"
)

// LimitListener wraps a listener: connections above Target.Connections are closed at
// once, and each new connection costs Target.ConnectCost before its first byte is read.
func (s *Searcher) LimitListener(l net.Listener) net.Listener {
	s.init()
	return &listener{Listener: l, searcher: s}
}

type listener struct {
	net.Listener
	searcher *Searcher

	mu   sync.Mutex
	open int
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.take() {
			return &connection{Conn: c, listener: l}, nil
		}
		c.Close()
	}
}

// take reports whether another connection is within the limit and counts it.
func (l *listener) take() bool {
	limit := l.searcher.Target.Connections
	l.mu.Lock()
	ok := limit == 0 || l.open < limit
	if ok {
		l.open++
	}
	l.mu.Unlock()
	l.searcher.mu.Lock()
	defer l.searcher.mu.Unlock()
	if ok {
		l.searcher.counts.Connections++
	} else {
		l.searcher.counts.RejectedConnections++
	}
	return ok
}

// connection pays the cost of a new connection at its first read.
type connection struct {
	net.Conn
	listener *listener
	paid     sync.Once
	closed   sync.Once
}

func (c *connection) Read(b []byte) (int, error) {
	c.paid.Do(func() {
		s := c.listener.searcher
		if cost := s.Target.ConnectCost.Duration; cost > 0 {
			s.Clock.Sleep(cost)
		}
	})
	return c.Conn.Read(b)
}

func (c *connection) Close() error {
	c.closed.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
