package searcher

import (
	"net"
	"sync"
)

// LimitListener wraps a listener. It closes connections above Target.Connections at once,
// and delays the first read of each new connection by Target.ConnectCost.
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
		if l.acquire() {
			return &connection{Conn: c, listener: l}, nil
		}
		c.Close()
	}
}

// acquire counts a new connection and reports whether it is within the limit.
func (l *listener) acquire() bool {
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

// connection delays its first read by the cost of a new connection.
type connection struct {
	net.Conn
	listener  *listener
	delayOnce sync.Once
	closeOnce sync.Once
}

func (c *connection) Read(b []byte) (int, error) {
	c.delayOnce.Do(func() {
		s := c.listener.searcher
		if cost := s.Target.ConnectCost.Duration; cost > 0 {
			s.Clock.Sleep(cost)
		}
	})
	return c.Conn.Read(b)
}

func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		c.listener.open--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
