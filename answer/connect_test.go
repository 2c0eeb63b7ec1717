package answer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"wasabirelay/limit"
	"wasabirelay/problem"
	"wasabirelay/route"
)

// Guards against new work from a host whose lease ends while it opens a connection, which may
// take a second, and against a connection that is closed because of the refusal.
func TestLeaseThatEndsDuringConnect(t *testing.T) {
	is := is.New(t)
	var received, dials atomic.Int64
	c := newWireCluster(t, true, func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		echoReply(w, r)
	})
	n := c.view.Targets[desk][0]
	leaseLost := errors.New("lease lost")
	pool, pick := &limit.Pool{}, c.Pick
	pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		c.mu.Lock()
		c.leaseLost = leaseLost
		c.mu.Unlock()
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	t.Cleanup(pool.Close)
	pool.SetShares(map[string]limit.Share{n.Name: {Incarnation: n.Incarnation, Address: n.Address, Connections: 1}})
	c.Connect(&route.Table{}, pool, &limit.Admission{})
	c.Pick = pick
	q := c.query()
	q.Deadline = c.Clock.Now().Add(maxDeadlineMargin * 1000)
	a, err := c.Answer(t.Context(), q)
	is.Equal(refused(t, a, err).Executed, problem.None)
	c.waitDrained(t)
	is.Equal(received.Load(), int64(0)) // no sub-request is sent without a lease
	c.mu.Lock()
	c.leaseLost = nil
	c.mu.Unlock()
	_, err = c.Answer(t.Context(), q)
	is.NoErr(err)
	is.Equal(dials.Load(), int64(1)) // the connection is reused
}
