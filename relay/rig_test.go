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
	"wasabirelay/eventlog"
	"wasabirelay/limit"
	"wasabirelay/route"
	"wasabirelay/routing"
)

var headers = Headers{
	Request: "Req", Timeout: "Left", Signature: "Sign", Target: "For", NotRun: "Not-Run", Parts: "Parts", Missing: "Missing",
}

// fake is a target. It answers with reply after checking who the request is for.
type fake struct {
	name, service string
	reply         func(w http.ResponseWriter, r *http.Request)
	asked, ran    atomic.Int64
	mu            sync.Mutex
	last          *http.Request
	body          string
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.asked.Add(1)
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.last, f.body = r, string(body)
	f.mu.Unlock()
	w.Header().Set(headers.Request, r.Header.Get(headers.Request))
	f.reply(w, r)
}

// records answers with the records, each filled up to its size with zeros.
func (f *fake) records(list ...string) *fake {
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

// status answers with a status; signed replies have run.
func (f *fake) status(code int, signed bool) *fake {
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

// hang runs the request and answers when the client has gone.
func (f *fake) hang() *fake {
	f.reply = func(_ http.ResponseWriter, r *http.Request) {
		f.ran.Add(1)
		<-r.Context().Done()
	}
	return f
}

// reset runs the request and resets the connection.
func (f *fake) reset() *fake {
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

// crossed answers another request.
func (f *fake) crossed() *fake {
	f.reply = func(w http.ResponseWriter, _ *http.Request) {
		f.ran.Add(1)
		w.Header().Set(headers.Request, "another")
		w.Header().Set(headers.Signature, "sign-other")
		_, _ = w.Write(record("zzz"))
	}
	return f
}

func target(name, service string) *fake { return &fake{name: name, service: service} }

// rig is a relay before some targets.
type rig struct {
	service *Service
	server  *httptest.Server
	view    *View
}

func newRig(t *testing.T, r routing.Route, targets ...*fake) *rig {
	t.Helper()
	r.Host, r.Prefix = "h", "/q/"
	if r.Timeout == 0 {
		r.Timeout = 2 * time.Second
	}
	if r.Objective == 0 {
		r.Objective = time.Second
	}
	d := &routing.Document{Version: 3, Routes: []routing.Route{r}, Limits: routing.Limits{BodyBytes: 64}}
	view := &View{Targets: map[string][]*control.Target{}, Out: map[string]bool{}, Share: 1}
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
	g := &rig{view: view}
	g.service = &Service{
		Headers: headers, Clock: clock, Log: zerolog.Nop(), Events: &eventlog.Limiter{Clock: clock},
		Pool: &limit.Pool{DrainTimeout: 50 * time.Millisecond, AllowUnframed: true}, Table: &route.Table{Centre: "c"},
		View: func() *View { return g.view }, RetryShare: 1, RetrySlack: 100, Draining: func() bool { return false },
	}
	g.service.Pool.CheckReply = g.service.CheckReply
	g.service.Pool.SetShares(shares)
	g.server = httptest.NewServer(g.service)
	t.Cleanup(func() { g.server.Close(); g.service.Pool.Close() })
	g.fill()
	return g
}

// fill earns the budget for hedges and retries, which starts empty.
func (g *rig) fill() {
	for service := range g.view.Targets {
		b := g.service.Table.Budget(service)
		b.SetCapacity(g.service.RetrySlack, true)
		for range int(g.service.RetrySlack) {
			b.CountFirst()
		}
	}
}

// answered is the head of an answer.
type answered struct {
	StatusCode int
	Header     http.Header
}

func (g *rig) get(t *testing.T, change func(*http.Request)) (answered, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, g.server.URL+"/q/x%2Fy?a=1", nil)
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
	return answered{res.StatusCode, res.Header}, string(body)
}

func shards(quorum float64, names ...string) routing.Route {
	return routing.Route{Name: "all", Idempotent: true, Attempts: 2, Shards: names, ResultLimit: 3, MinShardFraction: quorum}
}

func backend(idempotent bool, attempts int) routing.Route {
	return routing.Route{Name: "one", Idempotent: idempotent, Attempts: attempts, Backends: []routing.Backend{{Service: "s1", Weight: 1}}}
}
