package limit

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// minBackoff and maxBackoff bound how long no connection is opened ahead of use after an
	// attempt to open one has failed. Sub-requests still open connections on demand.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// connectionResult is the result of waiting for a connection.
type connectionResult struct {
	connection *connection
	err        error
}

// get returns an idle connection, or waits for one that is being opened. It does not return a
// connection that the target has closed while it was idle.
func (t *targetPool) get(ctx context.Context) (*connection, error) {
	t.mu.Lock()
	t.expiredUnused = false
	for len(t.idle) > 0 {
		last := len(t.idle) - 1
		c := t.idle[last]
		t.idle[last] = nil
		t.idle = t.idle[:last]
		if c.usable() {
			t.dialMissing()
			t.mu.Unlock()
			return c, nil
		}
		t.drop(c)
	}
	if t.retired {
		t.mu.Unlock()
		return nil, errRetired
	}
	w := make(chan connectionResult, 1)
	t.connectionWaiters = append(t.connectionWaiters, w)
	t.dialMissing()
	t.mu.Unlock()
	select {
	case d := <-w:
		return d.connection, d.err
	case <-ctx.Done():
	}
	t.cancelWait(w)
	return nil, ctx.Err()
}

// cancelWait stops waiting for a connection. A connection that was delivered in the meantime
// is made available to others.
func (t *targetPool) cancelWait(w chan connectionResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.connectionWaiters, w); i >= 0 {
		t.connectionWaiters = slices.Delete(t.connectionWaiters, i, i+1)
		return
	}
	if d := <-w; d.connection != nil {
		t.put(d.connection)
	}
}

// sweep drops idle connections that the target has closed and opens new ones. A connection
// that expired without being used is not replaced before the next use.
func (t *targetPool) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired := false
	t.idle = slices.DeleteFunc(t.idle, func(c *connection) bool {
		if c.usable() {
			return false
		}
		expired = expired || c.expired()
		t.drop(c)
		return true
	})
	t.expiredUnused = t.expiredUnused || expired
	t.dialMissing()
}

// put makes a connection available. The caller holds the lock.
func (t *targetPool) put(c *connection) {
	if t.retired || t.open > t.share.Connections {
		t.drop(c)
		t.dialMissing()
		return
	}
	if len(t.connectionWaiters) > 0 {
		w := t.connectionWaiters[0]
		t.connectionWaiters = slices.Delete(t.connectionWaiters, 0, 1)
		w <- connectionResult{connection: c}
		return
	}
	if t.share.CloseAfterUse {
		t.drop(c)
		return
	}
	t.idle = append(t.idle, c)
}

// drop closes a connection that is not in use. The caller holds the lock.
func (t *targetPool) drop(c *connection) {
	t.open--
	c.close()
}

// dialMissing opens the connections that are needed now or kept open ahead of use. The caller
// holds the lock.
func (t *targetPool) dialMissing() {
	if t.retired {
		return
	}
	missing := max(len(t.connectionWaiters)-t.opening, t.missingAhead())
	for ; missing > 0 && t.open < t.share.Connections; missing-- {
		t.open++
		t.opening++
		go t.dial()
	}
}

// missingAhead returns the number of connections to open ahead of use: up to Warm, and, unless
// CapAtWarm is set, one more than there are sub-requests in flight, so that the next
// sub-request does not wait for it.
func (t *targetPool) missingAhead() int {
	if t.expiredUnused || t.pool.clock().Now().Before(t.backoffUntil) {
		return 0
	}
	wanted := t.share.Warm
	if t.inUse > 0 && !t.share.CapAtWarm {
		wanted = max(wanted, t.inUse+1)
	}
	return wanted - t.open
}

// dial opens one connection. It is independent of the sub-request that needs the connection,
// so that the connection is not wasted if that sub-request ends first.
func (t *targetPool) dial() {
	c, err := t.pool.connect(t.address)
	if err == nil {
		err = t.checkAccepted(c)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opening--
	if err == nil {
		t.backoff = 0
		t.stats.Opened++
		t.put(c)
		t.dialMissing()
		return
	}
	t.open--
	t.stats.OpenFailures++
	t.backOff()
	if len(t.connectionWaiters) > 0 {
		w := t.connectionWaiters[0]
		t.connectionWaiters = slices.Delete(t.connectionWaiters, 0, 1)
		w <- connectionResult{err: &ConnectError{Err: err}}
	}
	t.dialMissing()
}

// errNotAccepted is the cause if a target closes a new connection at once.
var errNotAccepted = errors.New("the target closed the new connection")

// checkAccepted waits for AcceptDelay and returns an error if the target has closed the
// connection by then.
func (t *targetPool) checkAccepted(c *connection) error {
	if t.pool.AcceptDelay <= 0 {
		return nil
	}
	t.pool.clock().Sleep(t.pool.AcceptDelay)
	if c.usable() {
		return nil
	}
	c.close()
	return errNotAccepted
}

// backOff stops opening connections ahead of use for a period that doubles with each failure.
func (t *targetPool) backOff() {
	clock := t.pool.clock()
	if clock.Now().Before(t.backoffUntil) {
		return
	}
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = clock.Now().Add(t.backoff)
	clock.AfterFunc(t.backoff, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.dialMissing()
	})
}
