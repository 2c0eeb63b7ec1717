package answer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"wasabirelay/control"
	"wasabirelay/inventory"
	"wasabirelay/limit"
	"wasabirelay/problem"
	"wasabirelay/route"
	"wasabirelay/target"
)

// post sends a query to the HTTP interface of a cluster.
func (c *cluster) post(service, body string, header ...string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	c.Register(mux)
	r := httptest.NewRequest(http.MethodPost, "/v1/services/"+service+"/query", strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w
}

// Guards against a refusal that does not name the invalid field of a request.
func TestBadRequestsNameTheField(t *testing.T) {
	const good = `{"request":"r1","query":{"q":1},"idempotent":true}`
	for _, tc := range []struct {
		body, field string
		status      int
		header      []string
	}{
		{`{"request":`, "body", 400, nil},
		{`null`, "body", 400, nil},
		{`[1]`, "body", 400, nil},
		{`{"query":1,"idempotent":true}`, "request", 400, nil},
		{`{"request":7,"query":1,"idempotent":true}`, "request", 400, nil},
		{`{"request":"a b","query":1,"idempotent":true}`, "request", 400, nil},
		{`{"request":"` + strings.Repeat("r", 129) + `","query":1,"idempotent":true}`, "request", 400, nil},
		{`{"request":"r1","idempotent":true}`, "query", 400, nil},
		{`{"request":"r1","query":null,"idempotent":true}`, "query", 400, nil},
		{`{"request":"r1","query":1,"idempotent":"yes"}`, "idempotent", 400, nil},
		{`{"request":"r1","query":1,"idempotant":true}`, "idempotant", 400, nil},
		{`{"request":"r1","query":1,"idempotent":true,"accept":{"coverage":1.1}}`, "accept.coverage", 400, nil},
		{`{"request":"r1","query":1,"idempotent":true,"accept":{"share":1}}`, "accept", 400, nil},
		{`{"request":"r1","query":1,"idempotent":true,"route":"x"}`, "route", 400, nil},
		{`{"request":"r1","query":1}`, HeaderIdempotencyKey, 400, nil},
		{`{"request":"r1","query":1}`, HeaderIdempotencyKey, 400, []string{HeaderIdempotencyKey, "with space"}},
		{good, target.HeaderTimeout, 400, []string{target.HeaderTimeout, "0"}},
		{good, target.HeaderTimeout, 400, []string{target.HeaderTimeout, "82ms"}},
		{good, target.HeaderTimeout, 400, []string{target.HeaderTimeout, "82000000"}},
		{`"` + strings.Repeat("x", maxBodyBytes) + `"`, "body", 413, nil},
	} {
		t.Run(tc.field, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(newTarget("a", 0, 1, 9))
			w := c.post(desk, tc.body, tc.header...)
			var d problem.Details
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &d))
			is.Equal(w.Code, tc.status)
			is.Equal(d.Field, tc.field)
			is.Equal(d.Executed, problem.None)
			is.True(d.Detail != "")
			is.Equal(len(c.sentTargets()), 0)
		})
	}
	is := is.New(t)
	is.Equal(newCluster().post("no-such", good).Code, http.StatusNotFound)
}

// Guards against work from a host without a lease (promise 7): it refuses queries and sends
// nothing.
func TestLeaseLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9))
	c.leaseLost = errors.New("lease lost")
	w := c.post(desk, `{"request":"r1","query":1,"idempotent":true}`)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Content-Type"), problem.ContentType)
	is.True(strings.Contains(w.Body.String(), `"executed":"none"`))
	is.Equal(len(c.sentTargets()), 0)
}

// Guards against metrics and traces that do not show hedges, retries and results, and against
// label values that callers can create.
func TestTracesAndMetrics(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9))
	c.behaviours["a"] = failWith(Failed, true)
	spans := tracetest.NewSpanRecorder()
	c.Tracer = sdk.NewTracerProvider(sdk.WithSpanProcessor(spans))
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	w := c.post(desk, `{"request":"r1","query":1,"idempotent":true}`, "traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
	is.Equal(w.Code, http.StatusOK)
	c.waitDrained(t)
	kinds := map[string]int{}
	for _, s := range spans.Ended() {
		is.Equal(s.SpanContext().TraceID().String(), traceID)
		for _, a := range s.Attributes() {
			if a.Key == "wasabi.kind" {
				kinds[a.Value.AsString()]++
			}
		}
	}
	is.Equal(len(spans.Ended()), 3)
	is.Equal(kinds, map[string]int{"first": 1, "retry": 1})
	is.Equal(c.counterValue("wasabirelay_queries_total", "complete"), 1.0)
	is.Equal(c.counterValue("wasabirelay_subrequests_total", "retry"), 1.0)
	c.post("made-up-7", `{}`)
	is.Equal(c.counterValue("wasabirelay_queries_total", "made-up-7"), 0.0)
	is.Equal(c.counterValue("wasabirelay_queries_total", "unknown"), 1.0)
}

// senders maps the names of the two senders to whether they use the pool. The tests over HTTP
// run with both.
var senders = map[string]bool{"client": false, "pool": true}

// newWireCluster returns a cluster with the real clock that sends with the standard client or
// with package limit. Each handler is an HTTP target of the same shard.
func newWireCluster(t *testing.T, pooled bool, handlers ...http.HandlerFunc) *cluster {
	t.Helper()
	shares := map[string]limit.Share{}
	var targets []*control.Target
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		n := newTarget(fmt.Sprintf("t%d", i), 0, 1, 9)
		n.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		targets = append(targets, n)
		shares[n.Name] = limit.Share{Incarnation: n.Incarnation, Address: n.Address, Connections: 4}
	}
	c := newCluster(targets...)
	c.Clock, c.Send, c.Health = clockwork.NewRealClock(), nil, nil
	if pooled {
		pool, pick := &limit.Pool{}, c.Pick
		pool.SetShares(shares)
		t.Cleanup(pool.Close)
		c.Connect(&route.Table{}, pool, &limit.Admission{})
		c.Pick = pick
	}
	c.view.Inventory.Services = map[string]inventory.Service{desk: {Routes: []string{"fast"}}}
	return c
}

func echoReply(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(echoReplyBody(r)) }

// echoReplyBody returns the correct reply to a sub-request.
func echoReplyBody(r *http.Request) []byte {
	result, _ := io.ReadAll(r.Body)
	text, _ := json.Marshal(target.Reply{Request: r.Header.Get(target.HeaderRequest), Snapshot: 9, Result: result, End: true})
	return text
}

// Guards against a sub-request whose headers or body do not match the target's interface.
func TestSubrequestOverHTTP(t *testing.T) {
	for name, pooled := range senders {
		t.Run(name, func(t *testing.T) { subrequestOverHTTP(t, pooled) })
	}
}

func subrequestOverHTTP(t *testing.T, pooled bool) {
	is := is.New(t)
	var got http.Header
	c := newWireCluster(t, pooled, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		echoReply(w, r)
	})
	w := c.post(desk, `{"request":"r1","query":{ "q" : 1 },"idempotent":true,"route":"fast"}`,
		target.HeaderTimeout, "5000", "traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.Contains(w.Body.String(), `"result":{"q":1}`))
	is.True(strings.HasPrefix(got.Get(target.HeaderRequest), "r1/"))
	is.Equal(got.Get(target.HeaderShard)+got.Get(target.HeaderSnapshot), "09")
	is.Equal(got.Get(target.HeaderRoute), "fast")
	is.True(strings.Contains(got.Get("traceparent"), "4bf92f3577b34da6a3ce929d0e0e4736"))
	is.True(len(got.Get(target.HeaderTimeout)) == 4) // below 5,000 and above 999 ms
}

// Guards against the use of broken replies (promise 6): truncated, duplicated and malformed
// replies, redirects and resets are never part of an answer.
func TestBrokenRepliesOverHTTP(t *testing.T) {
	for _, tc := range []struct {
		name, reason string
		target       http.HandlerFunc
	}{
		{"cut short", reasonLength, func(w http.ResponseWriter, r *http.Request) {
			text := echoReplyBody(r)
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
			_, _ = w.Write(text[:len(text)-5])
		}},
		{"cut short without a length", "form", func(w http.ResponseWriter, r *http.Request) {
			text := echoReplyBody(r)
			_, _ = w.Write(text[:len(text)/2])
			w.(http.Flusher).Flush()
		}},
		{"doubled", "form", func(w http.ResponseWriter, r *http.Request) {
			text := echoReplyBody(r)
			_, _ = w.Write(append(text, text...))
		}},
		{"too large", reasonLength, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxBodyBytes+1)) }},
		{"redirected", "", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/other", http.StatusFound) }},
		{"reset", "", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"draining", "", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(target.HeaderReason, target.ReasonDraining)
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
	} {
		for sender, pooled := range senders {
			t.Run(tc.name+" over "+sender, func(t *testing.T) { brokenReply(t, pooled, tc.reason, tc.target) })
		}
	}
}

func brokenReply(t *testing.T, pooled bool, reason string, broken http.HandlerFunc) {
	is := is.New(t)
	var calls atomic.Int32
	c := newWireCluster(t, pooled, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			calls.Add(1)
			broken(w, r)
		}
	}, echoReply, echoReply) // With two targets, a reset would prevent the retry on the last replica.
	w := c.post(desk, `{"request":"r1","query":"mine","idempotent":true}`, target.HeaderTimeout, "60000")
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.Contains(w.Body.String(), `"result":"mine"`))
	is.Equal(calls.Load(), int32(1)) // the client does not resend the request by itself
	if reason != "" {
		is.NoErr(c.waitDropped(t, reason, 1))
	}
	c.waitDrained(t)
}

// Guards against work that may no longer be sent (promises 4, 7 and 9): when Check returns an
// error or the query ends while the connection is being opened, no byte reaches the target.
func TestGateBlocksTheFirstByte(t *testing.T) {
	is := is.New(t)
	var bytes atomic.Int32
	c := newWireCluster(t, false, func(http.ResponseWriter, *http.Request) { bytes.Add(1) })
	c.init()
	sub := &Subrequest{Request: "r", Query: []byte("1"), Deadline: time.Now().Add(time.Minute)}
	sub.Check = func() error { return errors.New("lease lost") }
	_, failure := c.Send(t.Context(), c.view.Targets[desk][0], sub)
	is.Equal(failure.Outcome, Cancelled)
	is.True(!failure.Sent)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	sub.Check = func() error { return nil }
	_, failure = c.Send(ctx, c.view.Targets[desk][0], sub)
	is.Equal(failure.Outcome, Cancelled)
	is.True(!failure.Sent)
	is.Equal(bytes.Load(), int32(0))
	g := gate{check: sub.Check}
	sent, _ := g.closeGate()
	is.True(!sent && errors.Is(g.allowWrite(), errGateClosed)) // no byte may leave after the gate reported that none did
}

func FuzzDecodeRequest(f *testing.F) {
	for _, s := range []string{`{"request":"r","query":{"a":[1]},"idempotent":true}`, `{"accept":{"coverage":0.5}}`, `null`, `{"":0}`, `{"query":`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		q, bad := decodeRequest(body)
		if bad != nil {
			if bad.Field == "" || bad.Executed != problem.None {
				t.Fatalf("refusal without a field: %+v", bad)
			}
			return
		}
		if !isIdentifier(q.Request) || !json.Valid(q.Query) || q.Accept.Coverage < 0 || q.Accept.Coverage > 1 {
			t.Fatalf("accepted %+v", q)
		}
	})
}

func FuzzDecodeReply(f *testing.F) {
	f.Add([]byte(`{"request":"r/1","shard":0,"snapshot":9,"result":1,"end":true}`), int64(64))
	f.Add([]byte(`{"request":"r/1","shard":0,"snapshot":9,"result":1`), int64(-1))
	f.Add([]byte(`{}{}`), int64(4))
	f.Fuzz(func(t *testing.T, body []byte, length int64) {
		sub := &Subrequest{Request: "r/1", Snapshot: 9}
		reply, err := decodeReply(body, length)
		var bad *ReplyError
		if err != nil {
			if !errors.As(err, &bad) {
				t.Fatalf("error of another type: %v", err)
			}
			return
		}
		if length >= 0 && length != int64(len(body)) {
			t.Fatalf("accepted %d bytes announced as %d", len(body), length)
		}
		if checkReply(sub, reply) == nil && (!json.Valid(body) || reply.Request != "r/1" || !reply.End || !json.Valid(reply.Result)) {
			t.Fatalf("accepted %q", body)
		}
	})
}
