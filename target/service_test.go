package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/inventory"
	"wasabirelay/problem"
)

// log applies proposed commands to a state immediately, as a log with a single member does.
type log struct {
	mu       sync.Mutex
	state    control.State
	commands []control.Command
	err      error
	added    chan control.Command
}

func (l *log) propose(_ context.Context, c control.Command) (control.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return control.Result{}, l.err
	}
	c.At = start.Add(time.Duration(len(l.commands)) * time.Second) // The leader sets the time.
	l.commands = append(l.commands, c)
	l.added <- c
	return l.state.Apply(uint64(len(l.commands)), c), nil
}

func (l *log) view() *control.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.View()
}

func serve(t *testing.T) (*log, *clockwork.FakeClock, *http.ServeMux, *Service) {
	l := &log{added: make(chan control.Command, 100)}
	clock := clockwork.NewFakeClock()
	s := &Service{Host: "h1", Propose: l.propose, View: l.view, Clock: clock}
	mux := http.NewServeMux()
	s.Register(mux)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = s.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return l, clock, mux, s
}

func call(mux *http.ServeMux, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// Guards against handlers that refuse valid requests, accept invalid ones, or write to the
// log for a renewal.
func TestServiceResponses(t *testing.T) {
	is := is.New(t)
	l, _, mux, s := serve(t)
	s.Addresses = func() []string { return []string{"127.0.0.1:7101"} }
	for range 10 {
		w := call(mux, "POST", "/v1/targets", announcement)
		is.Equal(w.Code, 200)
		var r AnnounceResponse
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &r))
		is.Equal(r.Renew.Duration, inventory.DefaultRenewInterval)
		is.Equal(r.Expire.Duration, inventory.DefaultExpireAfter)
		is.Equal(r.Addresses, []string{"127.0.0.1:7101"})
	}
	is.True(len(l.commands) <= 2) // The announcement, and the change of its state if targets start cold.
	is.Equal(l.commands[0].Announce.Target.Home, "h1")
	for _, c := range []struct {
		method, path, body string
		status             int
		field              string
	}{
		{"POST", "/v1/targets", `{}`, 400, "target"},
		{"POST", "/v1/targets", strings.Repeat(" ", maxBodyBytes+1), 400, "body"},
		{"POST", "/v1/targets", strings.Replace(announcement, "order-desk", "dye-log", 1), 409, ""},
		{"DELETE", "/v1/targets/od-1", "", 400, "incarnation"},
		{"DELETE", "/v1/targets/od-1?incarnation=i0", "", 404, ""},
		{"DELETE", "/v1/targets/od-1?incarnation=i1", "", 204, ""},
		{"DELETE", "/v1/targets/od-1?incarnation=i1", "", 404, ""},
	} {
		w := call(mux, c.method, c.path, c.body)
		is.Equal(w.Code, c.status)
		var d problem.Details
		_ = json.Unmarshal(w.Body.Bytes(), &d) // A response without a body has no field.
		is.Equal(d.Field, c.field)
	}
}

// Guards against a second proposal while the view does not include the first one.
func TestServiceRemembersAccepted(t *testing.T) {
	is := is.New(t)
	l, _, mux, s := serve(t)
	s.View = func() *control.View { return &control.View{} }
	is.Equal(call(mux, "POST", "/v1/targets", announcement).Code, 200)
	is.Equal(call(mux, "POST", "/v1/targets", announcement).Code, 200)
	is.Equal(len(l.commands), 1)
}

// Guards against a response that says "not executed" when the outcome of a proposal is
// unknown.
func TestServiceWithoutQuorum(t *testing.T) {
	is := is.New(t)
	l, _, mux, _ := serve(t)
	l.err = errors.New("no leader")
	w := call(mux, "POST", "/v1/targets", announcement)
	is.Equal(w.Code, 503)
	var d problem.Details
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &d))
	is.Equal(d.Executed, problem.Unknown)
}

// Guards against a table that is not run: the leave of a silent target must be proposed, and
// a stopped host must refuse a request instead of blocking it.
func TestServiceExpiresAndStops(t *testing.T) {
	is := is.New(t)
	l, clock, mux, s := serve(t)
	is.Equal(call(mux, "POST", "/v1/targets", announcement).Code, 200)
	<-l.added
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	for left := false; !left; {
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		clock.Advance(checkInterval)
		is.NoErr(s.runOnTable(ctx, func(*Table, Input) {})) // Waits until the tick is processed.
		select {
		case c := <-l.added:
			is.Equal(*c.Leave, control.Leave{Target: "od-1", Incarnation: "i1", Reason: control.Expired, Home: "h1"})
			left = true
		default:
		}
	}
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	other := &Service{View: l.view, Clock: clock, Propose: l.propose}
	mux = http.NewServeMux()
	other.Register(mux)
	is.NoErr(other.Run(stopped))
	is.Equal(call(mux, "POST", "/v1/targets", announcement).Code, 503)
}
