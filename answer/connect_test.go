package answer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/limit"
	"wasabirelay/problem"
	"wasabirelay/route"
	"wasabirelay/target"
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

// Guards against a late copy of a refusal that passes for the reply to the next sub-request on its connection, and
// against replies that all belong to the sub-request before from then on.
func TestLateCopyOfRefusal(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { listener.Close() })
	var received atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go refuseTwice(conn, &received)
		}
	}()
	n := newTarget("a", 0, 1, 9)
	n.Address = netip.MustParseAddrPort(listener.Addr().String())
	pool := &limit.Pool{}
	t.Cleanup(pool.Close)
	pool.SetShares(map[string]limit.Share{n.Name: {Incarnation: n.Incarnation, Address: n.Address, Connections: 1}})
	c := newCluster(n)
	c.Clock = clockwork.NewRealClock()
	c.Connect(&route.Table{}, pool, &limit.Admission{})
	send := func(request string) *SendError {
		_, failure := c.Send(t.Context(), n, &Subrequest{
			Request: request, Query: json.RawMessage("{}"), Deadline: time.Now().Add(5 * time.Second), Check: func() error { return nil },
		})
		return failure
	}
	is.Equal(send("r1").Outcome, Shed)
	is.Equal(send("r2").Outcome, BadReply) // the copy of the first refusal
	is.Equal(send("r3").Outcome, Shed)     // its own, on another connection
	is.Equal(received.Load(), int64(3))
}

// refuseTwice refuses all sub-requests on a connection, each a second time before the next reply.
func refuseTwice(conn net.Conn, received *atomic.Int64) {
	defer conn.Close()
	reader, last := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		received.Add(1)
		reply := fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: shed\r\nContent-Length: 0\r\n\r\n",
			target.HeaderRequest, r.Header.Get(target.HeaderRequest), target.HeaderReason)
		_, _ = io.WriteString(conn, last+reply)
		last = reply
	}
}
