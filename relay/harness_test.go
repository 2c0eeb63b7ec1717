package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/declaration"
	"wasabirelay/eventlog"
	"wasabirelay/limit"
	"wasabirelay/route"
	"wasabirelay/routing"
)

var headers = Headers{
	Request: "Req", Timeout: "Left", Signature: "Sign", Target: "For", NotRun: "Not-Run", Parts: "Parts", Missing: "Missing",
}

// fakeTarget is a target. It records each request and calls reply to respond.
type fakeTarget struct {
	name, service string
	reply         func(w http.ResponseWriter, r *http.Request)
	requests, ran atomic.Int64
	mu            sync.Mutex
	last          *http.Request
	body          string
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requests.Add(1)
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.last, f.body = r, string(body)
	f.mu.Unlock()
	w.Header().Set(headers.Request, r.Header.Get(headers.Request))
	f.reply(w, r)
}

// records makes the target reply with the records, each padded with zeros to its size.
func (f *fakeTarget) records(list ...string) *fakeTarget {
	f.reply = func(w http.ResponseWriter, _ *http.Request) {
		f.ran.Add(1)
		w.Header().Set(headers.Signature, "sign-"+f.name)
		for _, text := range list {
			_, _ = w.Write(record(text))
		}
	}
	return f
}

func record(text string) []byte { return append([]byte(text), make([]byte, recordSize-len(text))...) }

// status makes the target reply with a status. A signed reply counts as executed, an unsigned
// one as not executed.
func (f *fakeTarget) status(code int, signed bool) *fakeTarget {
	f.reply = func(w http.ResponseWriter, _ *http.Request) {
		if signed {
			f.ran.Add(1)
			w.Header().Set(headers.Signature, "sign-"+f.name)
		} else {
			w.Header().Set(headers.NotRun, "1")
		}
		w.WriteHeader(code)
	}
	return f
}

// hang makes the target execute the request and hold it until the client has left.
func (f *fakeTarget) hang() *fakeTarget {
	f.reply = func(_ http.ResponseWriter, r *http.Request) {
		f.ran.Add(1)
		<-r.Context().Done()
	}
	return f
}

// reset makes the target execute the request and reset the connection.
func (f *fakeTarget) reset() *fakeTarget {
	f.reply = func(w http.ResponseWriter, _ *http.Request) {
		f.ran.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
	return f
}

// mismatched makes the target send the reply to another request.
func (f *fakeTarget) mismatched() *fakeTarget {
	f.reply = func(w http.ResponseWriter, _ *http.Request) {
		f.ran.Add(1)
		w.Header().Set(headers.Request, "another")
		w.Header().Set(headers.Signature, "sign-other")
		_, _ = w.Write(record("zzz"))
	}
	return f
}

func newTarget(name, service string) *fakeTarget { return &fakeTarget{name: name, service: service} }

// harness is a relay with some targets.
type harness struct {
	service *Service
	server  *httptest.Server
	view    *View
}

func newHarness(t *testing.T, r routing.Route, targets ...*fakeTarget) *harness {
	t.Helper()
	r.Host, r.Prefix = "h", "/q/"
	if r.Timeout == 0 {
		r.Timeout = 2 * time.Second
	}
	if r.Objective == 0 {
		r.Objective = time.Second
	}
	d := &routing.Document{Version: 3, Routes: []routing.Route{r}, Limits: routing.Limits{BodyBytes: 64}}
	view := &View{Targets: map[string][]*control.Target{}, Out: map[string]bool{}, Division: &declaration.Division{Share: 1}}
	shares := map[string]limit.Share{}
	for _, f := range targets {
		server := httptest.NewServer(f)
		t.Cleanup(server.Close)
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		view.Targets[f.service] = append(view.Targets[f.service], &control.Target{
			Name: f.name, Incarnation: "1", Service: f.service, Centre: "c", Address: address, State: control.Warm,
		})
		shares[f.name] = limit.Share{Incarnation: "1", Address: address, Connections: 8, Slots: 8}
		d.Services = append(d.Services, routing.Service{Name: f.service, Connections: 8})
	}
	view.Routing = routing.NewTable(d)
	clock := clockwork.NewRealClock()
	h := &harness{view: view}
	h.service = &Service{
		Headers: headers, Clock: clock, Log: zerolog.Nop(), Events: &eventlog.Limiter{Clock: clock},
		Pool: &limit.Pool{DrainTimeout: 50 * time.Millisecond, AllowUnframed: true}, Table: &route.Table{Centre: "c"},
		View: func() *View { return h.view }, RetryShare: 1, RetrySlack: 100, Draining: func() bool { return false },
	}
	h.service.Pool.CheckReply, h.service.Pool.ReplyID, h.service.Pool.IsReply = h.service.CheckReply, h.service.ReplyID, h.service.IsReply
	h.service.Pool.SetShares(shares)
	h.server = httptest.NewServer(h.service)
	t.Cleanup(func() { h.server.Close(); h.service.Pool.Close() })
	h.fillBudgets()
	return h
}

// fillBudgets fills the budgets for hedges and retries, which start empty.
func (h *harness) fillBudgets() {
	for service := range h.view.Targets {
		b := h.service.Table.Budget(service)
		b.SetCapacity(time.Time{}, h.service.RetrySlack, 0, true)
		for range int(h.service.RetrySlack) {
			b.CountFirst()
		}
	}
}

// dial opens a connection of a caller, with a deadline of 5 s for everything on it.
func (h *harness) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// response is the status and the headers of a response.
type response struct {
	StatusCode int
	Header     http.Header
}

func (h *harness) get(t *testing.T, change func(*http.Request)) (response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, h.server.URL+"/q/x%2Fy?a=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(headers.Request, "r1")
	req.Header.Set(headers.Timeout, "1500")
	if change != nil {
		change(req)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{res.StatusCode, res.Header}, string(body)
}

func shardsRoute(minFraction float64, names ...string) routing.Route {
	return routing.Route{Name: "all", Idempotent: true, Attempts: 2, Shards: names, ResultLimit: 3, MinShardFraction: minFraction}
}

func singleRoute(idempotent bool, attempts int) routing.Route {
	return routing.Route{Name: "one", Idempotent: idempotent, Attempts: attempts, Backends: []routing.Backend{{Service: "s1", Weight: 1}}}
}
