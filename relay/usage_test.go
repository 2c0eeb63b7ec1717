package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/portion"
	"wasabirelay/routing"
)

// runs records the requests that are counted.
type runs struct {
	mu    sync.Mutex
	names []string
	sent  time.Time
}

// count makes the harness count the requests of organisations.
func (h *harness) count(t *testing.T) *runs {
	t.Helper()
	h.require(nil)
	c := &runs{}
	h.service.CountRun = func(organisation string, sent time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.names, c.sent = append(c.names, organisation), sent
	}
	return c
}

// settled returns the counted requests once attempts that are given up have ended.
func (c *runs) settled() []string {
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.names
}

const keyedRequest = "GET /q/x HTTP/1.1\r\nHost: h\r\nReq: r1\r\nLeft: 600\r\nAuthorization: Key k-north-1\r\n\r\n"

// Guards against a request that is counted for each attempt or shard, one that is counted though no target ran it, and
// one that is not counted though its target never replied.
func TestCountRun(t *testing.T) {
	shards := shardsRoute(0.5, "s1", "s2")
	single := func(attempts int) routing.Route {
		r := singleRoute(true, attempts)
		r.Objective = 200 * time.Millisecond
		return r
	}
	for _, tt := range []struct {
		name    string
		route   routing.Route
		targets []*fakeTarget
		want    int
	}{
		{"one target", single(1), []*fakeTarget{newTarget("t1", "s1").records("a")}, 1},
		{"failed at the target", single(1), []*fakeTarget{newTarget("t1", "s1").status(500, true)}, 1},
		{"refused unrun", single(2), []*fakeTarget{newTarget("t1", "s1").status(503, false), newTarget("t2", "s1").status(503, false)}, 0},
		{"no reply", single(1), []*fakeTarget{newTarget("t1", "s1").hang()}, 1},
		{"run twice", single(2), []*fakeTarget{newTarget("t1", "s1").reset(), newTarget("t2", "s1").reset()}, 1},
		{"hedged", single(2), []*fakeTarget{newTarget("t1", "s1").hang(), newTarget("t2", "s1").records("a")}, 1},
		{"no target", single(1), nil, 0},
		{"two shards", shards, []*fakeTarget{newTarget("t1", "s1").records("a"), newTarget("t2", "s2").records("b")}, 1},
		{"one of two shards", shards, []*fakeTarget{newTarget("t1", "s1").status(503, false), newTarget("t2", "s2").records("b")}, 1},
		{"no shard", shards, []*fakeTarget{newTarget("t1", "s1").status(503, false), newTarget("t2", "s2").status(503, false)}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.route, tt.targets...)
			c := h.count(t)
			began := time.Now()
			h.exchange(t, keyedRequest)
			names := c.settled()
			is.Equal(len(names), tt.want)
			if tt.want > 0 {
				is.Equal(names[0], "north")
				is.True(!c.sent.Before(began) && c.sent.Before(began.Add(150*time.Millisecond))) // when it was first sent
			}
		})
	}
}

// Guards against requests without an organisation in the counts.
func TestCountRunOfPublicRoute(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 1), newTarget("t1", "s1").records("a"))
	c := h.count(t)
	h.require(func(d *routing.Document) { d.Routes[0].Public = true })
	is.Equal(h.exchange(t, strings.Replace(keyedRequest, "Authorization: Key k-north-1\r\n", "", 1)), http.StatusOK)
	is.Equal(len(c.settled()), 0)
}

// Guards against a divided request that is counted at both hosts or at none.
func TestCountRunOfDividedRequest(t *testing.T) {
	for _, own := range []int{0, 4} {
		is := is.New(t)
		h, _ := eightShards(t, 0.5, nil)
		c := h.count(t)
		h.divided(own, h.collectHere)
		is.Equal(h.exchange(t, keyedRequest), http.StatusOK)
		is.Equal(c.settled(), []string{"north"})
	}
}

// Guards against a request that is counted at both hosts when one passes it on, at none if the reply is lost, or though
// no host has run it.
func TestCountRunOfPassedRequest(t *testing.T) {
	type receiver = func(*portion.Frame, error)
	reply := func(status int, signature string) func(context.Context, *portion.Request, receiver) {
		return func(_ context.Context, r *portion.Request, receive receiver) {
			out := &portion.Reply{Status: status}
			out.SetHeader(http.Header{"Req": {"r1"}, "Sign": {signature}})
			receive(&portion.Frame{Last: true, Reply: out}, nil)
		}
	}
	for _, tt := range []struct {
		name  string
		other func(context.Context, *portion.Request, receiver)
		want  int
	}{
		{"served", reply(200, "sign-t1"), 1},
		{"refused by the other host", reply(503, ""), 0},
		{"failed", reply(502, ""), 1},
		{"lost", func(_ context.Context, _ *portion.Request, receive receiver) { receive(nil, context.DeadlineExceeded) }, 1},
		{"not taken", func(_ context.Context, _ *portion.Request, receive receiver) {
			receive(nil, &portion.RefusedError{Reason: "no"})
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, singleRoute(true, 1), newTarget("t1", "s1").records("a"))
			c := h.count(t)
			h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": tt.other})
			h.loseLinks()
			h.exchange(t, keyedRequest)
			is.Equal(len(c.settled()), tt.want)
		})
	}
}

// Guards against a divided request that no host counts because its caller leaves, or the time ends, before the other host
// has sent a frame.
func TestCountRunOfUnfinishedPortion(t *testing.T) {
	is := is.New(t)
	h, _ := eightShards(t, 0.5, nil)
	c := h.count(t)
	sent := make(chan struct{}, 1)
	h.divided(0, func(context.Context, *portion.Request, func(*portion.Frame, error)) { sent <- struct{}{} })
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	is.NoErr(err)
	_, err = conn.Write([]byte(keyedRequest))
	is.NoErr(err)
	<-sent
	is.NoErr(conn.Close())
	is.Equal(c.settled(), []string{"north"})
}
