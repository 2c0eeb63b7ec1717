package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/declaration"
	"wasabirelay/eventlog"
	"wasabirelay/limit"
	"wasabirelay/route"
	"wasabirelay/routing"
)

// benchShards is the number of shards in the largest deployment.
const benchShards = 90

// benchTarget replies to each request with 25 records, with as little work as possible, so that
// the relay dominates the processor time.
func benchTarget(b *testing.B) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	reply := "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nReq: r1\r\nSign: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Keep-Alive: timeout=30\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("x", 400)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 4096)
				for {
					if _, err := conn.Read(buffer); err != nil {
						conn.Close()
						return
					}
					_, _ = io.WriteString(conn, reply)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// BenchmarkGather measures a request to all shards, including the work of the targets.
func BenchmarkGather(b *testing.B) {
	address := benchTarget(b)
	r := routing.Route{
		Name: "all", Host: "h", Prefix: "/q/", Idempotent: true, Attempts: 2, ResultLimit: 20, MinShardFraction: 1,
		Timeout: time.Second, Objective: 500 * time.Millisecond,
	}
	view := &View{Targets: map[string][]*control.Target{}, Out: map[string]bool{}, Division: &declaration.Division{Share: 1}}
	shares := map[string]limit.Share{}
	for i := range benchShards {
		service := fmt.Sprintf("s%02d", i)
		r.Shards = append(r.Shards, service)
		for _, centre := range []string{"a", "b", "c"} {
			name := "i-" + service + centre
			view.Targets[service] = append(view.Targets[service], &control.Target{
				Name: name, Incarnation: "1", Service: service, Centre: centre, Address: address, State: control.Warm,
			})
			shares[name] = limit.Share{Incarnation: "1", Address: address, Connections: 4, Slots: 4, Warm: 1, CapAtWarm: true}
		}
	}
	view.Routing = routing.NewTable(&routing.Document{Version: 3, Routes: []routing.Route{r}, Limits: routing.Limits{BodyBytes: 64}})
	clock := clockwork.NewRealClock()
	s := &Service{
		Headers: headers, Clock: clock, Log: zerolog.Nop(), Events: &eventlog.Limiter{Clock: clock},
		Pool: &limit.Pool{AllowUnframed: true}, Table: &route.Table{Centre: "a"}, Metrics: NewMetrics(prometheus.NewRegistry()),
		View: func() *View { return view }, RetryShare: 0.2, RetrySlack: 10, Draining: func() bool { return false },
	}
	s.Pool.CheckReply, s.Pool.ReplyID = s.CheckReply, s.ReplyID
	s.Pool.SetShares(shares)
	b.Cleanup(s.Pool.Close)
	b.ReportAllocs()
	for b.Loop() {
		req := httptest.NewRequest(http.MethodGet, "/q/x", nil)
		req.Host, req.RequestURI = "h", "/q/x"
		req.Header.Set(headers.Request, "r1")
		req.Header.Set(headers.Timeout, "900")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, req)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body.String())
		}
	}
}
