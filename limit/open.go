package limit

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstPause and lastPause bound how long no connection is opened ahead after
	// opening one has failed. Sub-requests still try.
	firstPause = 500 * time.Millisecond
	lastPause  = 30 * time.Second
)

// delivery is the end of a wait for a connection.
type delivery struct {
	connection *connection
	err        error
}

// take returns an open connection, or waits for one that is being opened. A
// connection that was closed by the target while it was idle is not returned.
func (m *member) take(ctx context.Context) (*connection, error) {
	m.mu.Lock()
	m.unneeded = false
	for len(m.idle) > 0 {
		last := len(m.idle) - 1
		c := m.idle[last]
		m.idle[last] = nil
		m.idle = m.idle[:last]
		if c.usable() {
			m.fill()
			m.mu.Unlock()
			return c, nil
		}
		m.drop(c)
	}
	if m.retired {
		m.mu.Unlock()
		return nil, errRetired
	}
	w := make(chan delivery, 1)
	m.wanting = append(m.wanting, w)
	m.fill()
	m.mu.Unlock()
	select {
	case d := <-w:
		return d.connection, d.err
	case <-ctx.Done():
	}
	m.abandon(w)
	return nil, ctx.Err()
}

// abandon stops waiting for a connection. One that was delivered in the meantime
// goes to another.
func (m *member) abandon(w chan delivery) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.wanting, w); i >= 0 {
		m.wanting = slices.Delete(m.wanting, i, i+1)
		return
	}
	if d := <-w; d.connection != nil {
		m.put(d.connection)
	}
}

// sweep drops idle connections that the target has closed and opens others. One that
// nobody needed for as long as the target keeps it is not replaced before the next use.
func (m *member) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	unneeded := false
	m.idle = slices.DeleteFunc(m.idle, func(c *connection) bool {
		if c.usable() {
			return false
		}
		unneeded = unneeded || c.expired()
		m.drop(c)
		return true
	})
	m.unneeded = m.unneeded || unneeded
	m.fill()
}

// put makes a connection available. The member is locked.
func (m *member) put(c *connection) {
	if m.retired || m.open > m.share.Connections {
		m.drop(c)
		m.fill()
		return
	}
	if len(m.wanting) > 0 {
		w := m.wanting[0]
		m.wanting = slices.Delete(m.wanting, 0, 1)
		w <- delivery{connection: c}
		return
	}
	if m.share.CloseAfterUse {
		m.drop(c)
		return
	}
	m.idle = append(m.idle, c)
}

// drop closes a connection that is not in use. The member is locked.
func (m *member) drop(c *connection) {
	m.open--
	c.close()
}

// fill opens the connections that are wanted now or kept ahead of use. The member
// is locked.
func (m *member) fill() {
	if m.retired {
		return
	}
	missing := max(len(m.wanting)-m.opening, m.ahead())
	for ; missing > 0 && m.open < m.share.Connections; missing-- {
		m.open++
		m.opening++
		go m.dial()
	}
}

// ahead is the number of connections to open ahead of use: up to Warm, and one more
// than there are sub-requests in flight, so that the next does not wait for it.
func (m *member) ahead() int {
	if m.unneeded || m.pool.clock().Now().Before(m.quiet) {
		return 0
	}
	wanted := m.share.Warm
	if m.inUse > 0 && !m.share.CapAtWarm {
		wanted = max(wanted, m.inUse+1)
	}
	return wanted - m.open
}

// dial opens one connection. It does not depend on the sub-request that needs the
// connection, so that one that gives up does not waste it.
func (m *member) dial() {
	c, err := m.pool.connect(m.address)
	if err == nil {
		err = m.accepted(c)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opening--
	if err == nil {
		m.pause = 0
		m.stats.Opened++
		m.put(c)
		m.fill()
		return
	}
	m.open--
	m.stats.OpenFailures++
	m.postpone()
	if len(m.wanting) > 0 {
		w := m.wanting[0]
		m.wanting = slices.Delete(m.wanting, 0, 1)
		w <- delivery{err: &ConnectError{Err: err}}
	}
	m.fill()
}

// errNotAccepted is the cause if a target closes a new connection at once.
var errNotAccepted = errors.New("the target closed the new connection")

// accepted closes the connection and returns an error if the target has closed it.
func (m *member) accepted(c *connection) error {
	if m.pool.AcceptDelay <= 0 {
		return nil
	}
	m.pool.clock().Sleep(m.pool.AcceptDelay)
	if c.usable() {
		return nil
	}
	c.close()
	return errNotAccepted
}

// postpone stops opening connections ahead for a while that doubles.
func (m *member) postpone() {
	clock := m.pool.clock()
	if clock.Now().Before(m.quiet) {
		return
	}
	m.pause = min(max(2*m.pause, firstPause), lastPause)
	m.quiet = clock.Now().Add(m.pause)
	clock.AfterFunc(m.pause, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.fill()
	})
}
