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

// connectionWaiter is a sub-request that waits for a connection.
type connectionWaiter struct {
	wanted wanted
	result chan connectionResult
}

// wanted says which connections a sub-request may use.
type wanted struct {
	// id identifies the sub-request in its reply; 0 if nothing does.
	id uint64
	// content is a hash that also identifies the content of the sub-request.
	content uint64
	// fresh excludes the connections that have carried the id: a late copy of the reply to the
	// earlier sending would pass for the reply to this one.
	fresh bool
	// head is true if the method is HEAD. It excludes the connections that have carried the id with another
	// method: nothing would tell whether a late copy of that reply has a body.
	head bool
}

// accepts reports whether the connection may be used. One that has carried the id is accepted only if that
// was the same sub-request: a late copy of the reply to another one would pass for the reply to this one.
func (w wanted) accepts(c *connection) bool {
	head, carried := c.sent.find(w.id)
	return !carried || !w.fresh && head == w.head && c.repeatable.has(w.content)
}

// prefers reports whether the connection has not carried the id.
func (w wanted) prefers(c *connection) bool { return w.id == 0 || !c.sent.has(w.id) }

// get returns an idle connection, or waits for one that is being opened. It does not return a
// connection that the target has closed while it was idle.
func (t *targetPool) get(ctx context.Context, wanted wanted) (*connection, error) {
	t.mu.Lock()
	t.expiredUnused = false
	c := t.takeIdle(wanted.prefers)
	if c == nil {
		c = t.takeIdle(wanted.accepts)
	}
	if c != nil {
		t.dialMissing()
		t.mu.Unlock()
		return c, nil
	}
	if t.retired {
		t.mu.Unlock()
		return nil, errRetired
	}
	w := connectionWaiter{wanted, make(chan connectionResult, 1)}
	t.connectionWaiters = append(t.connectionWaiters, w)
	t.dialMissing()
	t.mu.Unlock()
	select {
	case d := <-w.result:
		return d.connection, d.err
	case <-ctx.Done():
	}
	t.cancelWait(w)
	return nil, ctx.Err()
}

// takeIdle removes and returns the most recently used idle connection that is accepted, or nil. It
// drops those that can't be used any more. The caller holds the lock.
func (t *targetPool) takeIdle(accept func(*connection) bool) *connection {
	for i := len(t.idle) - 1; i >= 0; i-- {
		c := t.idle[i]
		if !accept(c) {
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		if c.usable() {
			return c
		}
		t.drop(c)
	}
	return nil
}

// cancelWait stops waiting for a connection. A connection that was delivered in the meantime
// is made available to others.
func (t *targetPool) cancelWait(w connectionWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.connectionWaiters, w); i >= 0 {
		t.connectionWaiters = slices.Delete(t.connectionWaiters, i, i+1)
		return
	}
	if d := <-w.result; d.connection != nil {
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
	if i := slices.IndexFunc(t.connectionWaiters, func(w connectionWaiter) bool { return w.wanted.accepts(c) }); i >= 0 {
		w := t.connectionWaiters[i]
		t.connectionWaiters = slices.Delete(t.connectionWaiters, i, i+1)
		w.result <- connectionResult{connection: c}
		return
	}
	if t.share.CloseAfterUse {
		t.drop(c)
	} else {
		t.idle = append(t.idle, c)
	}
	if len(t.connectionWaiters) > 0 {
		t.dialMissing()
	}
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
	t.makeRoom()
	missing := max(len(t.connectionWaiters)-t.opening, t.missingAhead())
	for ; missing > 0 && t.open < t.share.Connections; missing-- {
		t.open++
		t.opening++
		go t.dial()
	}
}

// makeRoom closes idle connections that no waiting sub-request accepts if the share leaves no room
// for others. The caller holds the lock.
func (t *targetPool) makeRoom() {
	for t.open >= t.share.Connections && len(t.connectionWaiters) > t.opening && len(t.idle) > 0 {
		t.drop(t.idle[0])
		t.idle = slices.Delete(t.idle, 0, 1)
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
		w.result <- connectionResult{err: &ConnectError{Err: err}}
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
