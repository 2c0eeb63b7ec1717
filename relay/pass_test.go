package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/declaration"
	"wasabirelay/limit"
	"wasabirelay/portion"
	"wasabirelay/routing"
)

// loseLinks makes the host judge that it has lost its links.
func (h *harness) loseLinks() {
	now := time.Now()
	h.service.Reach.RecordReply(now.Add(-time.Second))
	for i := range 10 {
		h.service.Reach.RecordLoss(now, fmt.Sprint(i))
	}
}

// cutOff closes the ways of the harness to its targets, as if connections to them were refused.
func (h *harness) cutOff() {
	shares := map[string]limit.Share{}
	for _, list := range h.view.Targets {
		for _, t := range list {
			shares[t.Name] = limit.Share{Incarnation: t.Incarnation, Address: netip.MustParseAddrPort("127.0.0.1:1"), Connections: 8, Slots: 8}
		}
	}
	h.service.Pool.SetShares(shares)
}

// passTo makes the harness pass requests on to others by name. It returns the hosts that were asked.
func (h *harness) passTo(others map[string]func(ctx context.Context, r *portion.Request, receive func(*portion.Frame, error))) (asked *[]string) {
	var names []string
	for name := range others {
		names = append(names, name)
	}
	slices.Sort(names)
	asked = &[]string{}
	h.view.Helpers = names
	h.service.Delegate = func(hosts []string, r *portion.Request, receive func(*portion.Frame, error)) (*portion.Collection, error) {
		name := hosts[0]
		*asked = append(*asked, name)
		ctx, cancel := context.WithCancel(context.Background())
		go others[name](ctx, r, receive)
		return &portion.Collection{Host: name, Cancel: cancel, Suspect: func() {}}, nil
	}
	return asked
}

func idempotentShards() routing.Route { return shardsRoute(1, "s1", "s2") }

// Guards against a host without links to targets that fails its callers while other hosts reach them.
func TestHostWithoutLinksPassesRequestsOn(t *testing.T) {
	for name, c := range map[string]struct {
		route routing.Route
		body  string
	}{
		"one target, idempotent":     {singleRoute(true, 2), string(record("b"))},
		"one target, not idempotent": {singleRoute(false, 2), string(record("b"))},
		"all shards":                 {idempotentShards(), string(record("b")) + string(record("a"))},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			one, two := newTarget("t1", "s1").records("b"), newTarget("t2", "s2").records("a")
			other := newHarness(t, c.route, one, two)
			h := newHarness(t, c.route, newTarget("t1", "s1"), newTarget("t2", "s2"))
			h.cutOff()
			h.loseLinks()
			asked := h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": other.collectHere})
			res, body := h.get(t, nil)
			is.Equal(res.StatusCode, http.StatusOK)
			is.Equal(body, c.body)
			is.Equal(res.Header.Get(headers.Request), "r1")
			is.Equal(one.ran.Load(), int64(1))
			is.Equal(*asked, []string{"other"})
		})
	}
}

// Guards against requests that are given up because the first of the other hosts can't serve them,
// and against requests that run twice because the first one may have served them.
func TestFailedPass(t *testing.T) {
	type other = func(context.Context, *portion.Request, func(*portion.Frame, error))
	refused := func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
		receive(nil, &portion.RefusedError{Reason: "r"})
	}
	lost := func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
		receive(nil, &portion.LostError{Host: "a"})
	}
	silent := func(context.Context, *portion.Request, func(*portion.Frame, error)) {}
	malformed := func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
		receive(&portion.Frame{Last: true, Reply: &portion.Reply{Status: 7}}, nil)
	}
	empty := func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
		receive(&portion.Frame{Last: true}, nil)
	}
	for name, c := range map[string]struct {
		first  other
		status int
		asked  []string
	}{
		"refused":   {refused, http.StatusOK, []string{"a", "b"}},
		"lost":      {lost, http.StatusBadGateway, []string{"a"}},
		"silent":    {silent, http.StatusGatewayTimeout, []string{"a"}},
		"malformed": {malformed, http.StatusBadGateway, []string{"a"}},
		"empty":     {empty, http.StatusBadGateway, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget("t1", "s1").records("b")
			good := newHarness(t, singleRoute(false, 2), target)
			h := newHarness(t, singleRoute(false, 2), newTarget("t1", "s1"))
			h.loseLinks()
			asked := h.passTo(map[string]other{"a": c.first, "b": good.collectHere})
			res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "300") })
			is.Equal(res.StatusCode, c.status)
			is.Equal(*asked, c.asked)
			is.Equal(target.ran.Load(), int64(len(c.asked)-1))
		})
	}
}

// Guards against a request that goes back and forth between hosts that have all lost their links, or
// that waits for its deadline although it is known that it can't be served.
func TestAllHostsWithoutLinks(t *testing.T) {
	is := is.New(t)
	a, b := newHarness(t, singleRoute(false, 2), newTarget("t1", "s1")), newHarness(t, singleRoute(false, 2), newTarget("t1", "s1"))
	for _, h := range []*harness{a, b} {
		h.service.Pool.Dial = hangingDial
		h.loseLinks()
	}
	asked := a.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"b": b.collectHere})
	b.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"a": a.collectHere})
	started := time.Now()
	res, _ := a.get(t, nil)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(res.Header.Get("Retry-After"), "0.400")
	is.True(time.Since(started) < time.Second) // the caller waits 1.5 s
	is.Equal(*asked, []string{"b"})
}

// Guards against a host that serves requests of others by an older or a newer route than theirs.
func TestPassedRequestNeedsTheSameRoute(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 2), newTarget("t1", "s1").records("b"))
	ask := func(route routing.Route) *portion.Frame {
		return h.service.Collect(context.Background(), &portion.Request{
			Method: http.MethodGet, URI: "/q/x", Host: "h", Header: http.Header{headers.Request: {"r1"}}, Whole: true,
			Route: routeHash(&route), Cutoff: time.Second, Timeout: time.Second,
		}, func(*portion.Frame) {})
	}
	same, moved, limited := singleRoute(true, 2), singleRoute(true, 2), singleRoute(true, 1)
	moved.Backends = []routing.Backend{{Service: "s2", Weight: 1}}
	is.True(ask(moved).Refused != "")
	is.True(ask(limited).Refused != "")
	is.Equal(ask(same).Reply.Status, http.StatusOK)
}

// Guards against a host that sends requests to a target which has said that it leaves in a reply that
// the host has passed on: the caller can't tell which host heard it.
func TestPassedReplyDeclares(t *testing.T) {
	is := is.New(t)
	other := newHarness(t, singleRoute(true, 2), newTarget("t1", "s1").records("b").declares("20"))
	h := newHarness(t, singleRoute(true, 2), newTarget("t1", "s1"))
	var changes []declaration.Change
	h.service.Declared.OnChange = func(c declaration.Change) { changes = append(changes, c) }
	other.service.DecodeDeclaration = decodeLimit
	h.loseLinks()
	h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){"other": other.collectHere})
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Target, "t1")
	is.Equal(changes[0].After.Limit, 20.0)
}

// Guards against a host that takes requests itself no more after its links were restored.
func TestProbeRestoresLinks(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 2), newTarget("t1", "s1").records("b"))
	h.loseLinks()
	is.True(h.service.Reach.Lost())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = h.service.RunProbes(ctx) }()
	for deadline := time.Now().Add(5 * time.Second); h.service.Reach.Lost() && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!h.service.Reach.Lost())
}

// Guards against a success that is not whole, or that belongs to another request, because the host that the request
// was passed on to, maybe of an earlier version, has sent it.
func TestPassedReplyIsChecked(t *testing.T) {
	single, merged := singleRoute(true, 2), shardsRoute(0.5, "s1", "s2")
	two := string(record("b")) + string(record("a"))
	for _, tt := range []struct {
		name   string
		route  routing.Route
		status int
		header http.Header
		body   string
		want   int
	}{
		{"signed", single, http.StatusOK, http.Header{"Req": {"r1"}, "Sign": {"s"}}, "any", http.StatusOK},
		{"refused", single, http.StatusServiceUnavailable, http.Header{}, "full", http.StatusServiceUnavailable},
		{"without a signature", single, http.StatusOK, http.Header{"Req": {"r1"}}, "any", http.StatusBadGateway},
		{"two signatures", single, http.StatusOK, http.Header{"Req": {"r1"}, "Sign": {"s", "t"}}, "any", http.StatusBadGateway},
		{"of another request", single, http.StatusOK, http.Header{"Req": {"r0"}, "Sign": {"s"}}, "any", http.StatusBadGateway},
		{"a failure of another request", single, http.StatusInternalServerError, http.Header{"Req": {"r0"}, "Sign": {"s"}}, "any", http.StatusBadGateway},
		{"without identity", single, http.StatusOK, http.Header{"Sign": {"s"}}, "any", http.StatusBadGateway},
		{"both parts", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Parts": {"s, t"}, "Missing": {"0"}}, two, http.StatusOK},
		{"one part", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Parts": {"s"}, "Missing": {"1"}}, "", http.StatusOK},
		{"no part", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Missing": {"2"}}, "", http.StatusBadGateway},
		{"a part twice", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Parts": {"s, s"}, "Missing": {"0"}}, two, http.StatusBadGateway},
		{"more parts than shards", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Parts": {"s, t, u"}, "Missing": {"0"}}, two, http.StatusBadGateway},
		{"other number of missing shards", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Parts": {"s"}, "Missing": {"0"}}, two, http.StatusBadGateway},
		{"signed instead of merged", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Sign": {"s"}}, two, http.StatusBadGateway},
		{"a record cut off", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Parts": {"s, t"}, "Missing": {"0"}}, two[1:], http.StatusBadGateway},
		{"too many records", merged, http.StatusOK, http.Header{"Req": {"r1"}, "Parts": {"s, t"}, "Missing": {"0"}}, two + two, http.StatusBadGateway},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.route, newTarget("t1", "s1"), newTarget("t2", "s2"))
			h.loseLinks()
			h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){
				"other": func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
					receive(&portion.Frame{Last: true, Reply: &portion.Reply{Status: tt.status, Header: tt.header, Body: []byte(tt.body)}}, nil)
				},
			})
			res, body := h.get(t, nil)
			is.Equal(res.StatusCode, tt.want)
			is.Equal(body == tt.body, tt.want == tt.status)
			if tt.want != tt.status {
				is.Equal(res.Header.Get(headers.Signature)+res.Header.Get(headers.Parts), "")
			}
		})
	}
}
