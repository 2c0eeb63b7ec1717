package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"wasabirelay/control"
	"wasabirelay/limit"
)

// listenRaw returns the address of a listener of which serve serves each connection.
func listenRaw(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// serveRequests reads requests with their bodies from the connection, and closes it once answer, which writes the reply, reports
// that it carries no other request.
func serveRequests(conn net.Conn, answer func(*http.Request) (open bool)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !answer(r) {
			return
		}
	}
}

// newRawHarness returns a relay with a route for requests that may run once, to one target of which serve serves each
// connection, and which this host may open so many connections to.
func newRawHarness(t *testing.T, connections int, serve func(net.Conn)) *harness {
	t.Helper()
	address := listenRaw(t, serve)
	h := newHarness(t, singleRoute(false, 1))
	h.view.Targets["s1"] = []*control.Target{{Name: "a", Incarnation: "1", Service: "s1", Centre: "c", Address: address, State: control.Warm}}
	h.service.Pool.SetShares(map[string]limit.Share{"a": {Incarnation: "1", Address: address, Connections: connections, Slots: 2}})
	return h
}

// repeatingTarget refuses its first request unexecuted. On a connection that has carried that refusal
// it sends a copy of it before the reply to the next request, which it runs.
type repeatingTarget struct {
	refused, ran, connections atomic.Int64
}

func (f *repeatingTarget) serve(conn net.Conn) {
	f.connections.Add(1)
	refusal := ""
	serveRequests(conn, func(r *http.Request) bool {
		id := r.Header.Get(headers.Request)
		if f.refused.Add(1) == 1 {
			refusal = fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headers.Request, id, headers.NotRun)
			_, _ = io.WriteString(conn, refusal)
			return true
		}
		f.ran.Add(1)
		_, _ = io.WriteString(conn, refusal)
		refusal = ""
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sign\r\nContent-Length: 16\r\n\r\n%s", headers.Request, id, headers.Signature, record("x"))
		return true
	})
}

// Guards against a late copy of a refusal that passes for the reply to the second sending of the same
// request: the request then runs twice, or is refused as not run although it runs.
func TestLateCopyOfRefusal(t *testing.T) {
	for _, connections := range []int{1, 8} {
		t.Run(fmt.Sprint(connections, " connections"), func(t *testing.T) {
			is := is.New(t)
			f := &repeatingTarget{}
			h := newRawHarness(t, connections, f.serve)
			h.fillBudgets()
			res, _ := h.get(t, func(r *http.Request) { r.Method = http.MethodPost })
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(f.ran.Load(), int64(1))
			is.Equal(f.connections.Load(), int64(2)) // the second one carries the second sending
		})
	}
}

// echoingTarget runs each request. Before the reply to each but the first one on a connection, it sends as many
// copies of the reply before, or of a reply to a request that was never sent.
type echoingTarget struct {
	copies           int
	foreign          bool
	anonymous        bool // the copies name no request
	ran, connections atomic.Int64
}

func (f *echoingTarget) serve(conn net.Conn) {
	defer conn.Close()
	f.connections.Add(1)
	reader := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f.ran.Add(1)
		id := r.Header.Get(headers.Request)
		switch {
		case f.foreign:
			last = strings.ReplaceAll(last, headers.Request+": ", headers.Request+": other-")
		case f.anonymous:
			last = strings.ReplaceAll(last, headers.Request+": ", "Other: ")
		}
		reply := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sign\r\nContent-Length: 16\r\n\r\n%s", headers.Request, id, headers.Signature, record(id))
		_, _ = io.WriteString(conn, strings.Repeat(last, f.copies))
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(conn, reply)
		last = reply
	}
}

// Guards against a request that may run once and that fails, and a connection that is closed, because a late copy
// of the reply to an earlier request comes first; and against an answer that belongs to another request.
func TestLateCopyOfAnotherReply(t *testing.T) {
	for _, tt := range []struct {
		name   string
		target *echoingTarget
		status int // of every other request
	}{
		{"one copy", &echoingTarget{copies: 1}, http.StatusOK},
		{"some copies", &echoingTarget{copies: 3}, http.StatusOK},
		{"many copies", &echoingTarget{copies: 7}, http.StatusOK},
		{"without an identity", &echoingTarget{copies: 3, anonymous: true}, http.StatusOK},
		{"without end", &echoingTarget{copies: 40}, http.StatusBadGateway},
		{"an unknown identity", &echoingTarget{copies: 1, foreign: true}, http.StatusBadGateway},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newRawHarness(t, 1, tt.target.serve)
			const requests = 6
			for i := range requests {
				id := fmt.Sprint("r", i)
				res, body := h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, id) })
				if i%2 == 0 && tt.status != http.StatusOK { // the first one on a new connection
					is.Equal(res.StatusCode, http.StatusOK)
				} else {
					is.Equal(res.StatusCode, tt.status)
				}
				if res.StatusCode == http.StatusOK {
					is.Equal(body, string(record(id)))
				}
			}
			is.Equal(tt.target.ran.Load(), int64(requests))
			is.Equal(tt.target.connections.Load() == 1, tt.status == http.StatusOK)
		})
	}
}

// Guards against late copies and unusable replies of which no counter tells.
func TestCopiesAndUnusableRepliesAreCounted(t *testing.T) {
	is := is.New(t)
	h := newRawHarness(t, 1, (&echoingTarget{copies: 2}).serve)
	h.service.Metrics = NewMetrics(prometheus.NewRegistry())
	h.service.Pool.OnSkipped = h.service.RecordLateCopy
	for i := range 3 {
		h.get(t, func(r *http.Request) { r.Header.Set(headers.Request, fmt.Sprint("r", i)) })
	}
	is.Equal(counterValue(t, h.service.Metrics.copies), 4.0)

	foreign := newRawHarness(t, 1, (&echoingTarget{copies: 1, foreign: true}).serve)
	foreign.service.Metrics = NewMetrics(prometheus.NewRegistry())
	for i := range 2 {
		foreign.get(t, func(r *http.Request) { r.Header.Set(headers.Request, fmt.Sprint("r", i)) })
	}
	is.Equal(counterValue(t, foreign.service.Metrics.unusable.WithLabelValues(string(limit.Mismatched))), 1.0)
}

// Guards against repeats whose cause no counter tells.
func TestRepeatsAreCountedByCause(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 2), newTarget("a", "s1").reset(), newTarget("b", "s1").reset())
	h.service.Metrics = NewMetrics(prometheus.NewRegistry())
	h.get(t, nil)
	is.Equal(counterValue(t, h.service.Metrics.repeats.WithLabelValues(string(causeRetry), "sent")), 1.0)
	h.service.RetryShare = 0
	h.get(t, nil)
	is.Equal(counterValue(t, h.service.Metrics.repeats.WithLabelValues(string(causeRetry), "refused")), 1.0)
}

func counterValue(t *testing.T, c prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}
