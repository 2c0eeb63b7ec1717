package relay

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/rank"
	"wasabirelay/routing"
)

// setContended makes callers compete for room at targets with one connection each.
func (h *harness) setContended(contended bool) {
	h.service.Contended, h.service.Pool.Contended = contended, contended
	shares := map[string]limit.Share{}
	for _, list := range h.view.Targets {
		for _, t := range list {
			shares[t.Name] = limit.Share{Incarnation: "1", Address: t.Address, Connections: 1, Slots: 1}
		}
	}
	h.service.Pool.SetShares(nil)
	h.service.Pool.SetShares(shares)
}

// holdPlace takes the only place at a target for the rest of the test, after requests that held it for the given time.
func (h *harness) holdPlace(t *testing.T, target *control.Target, held time.Duration) {
	t.Helper()
	for range 2 {
		permit, err := h.service.Pool.Acquire(t.Context(), target)
		if err != nil {
			t.Fatal(err)
		}
		if held == 0 {
			return
		}
		time.Sleep(held)
		permit.Release(limit.Succeeded)
		held = 0
	}
}

// TestHedgeNeedsRoom guards against a hedge that waits for the only place of another target and takes it from the
// callers whose first request waits there.
func TestHedgeNeedsRoom(t *testing.T) {
	for _, contended := range []bool{true, false} {
		is := is.New(t)
		slow := newTarget("a", "s1")
		slow.reply = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(150 * time.Millisecond)
			w.Header().Set(headers.Signature, "sign-a")
		}
		r := singleRoute(true, 2)
		r.Objective = 40 * time.Millisecond
		h := newHarness(t, r, slow, newTarget("b", "s1").records())
		h.setContended(contended)
		h.holdPlace(t, h.view.Targets["s1"][1], 0)
		res, _ := h.get(t, nil)
		is.Equal(res.StatusCode, http.StatusOK)
		waits := h.service.Pool.Stats()["b"].Waits
		is.Equal(waits > 0, !contended)
	}
}

// TestGatheredAsOne guards against a request to two shards that takes a slot at one of them although the other has no
// room before the deadline, and against a refusal that its caller can't follow.
func TestGatheredAsOne(t *testing.T) {
	for _, contended := range []bool{true, false} {
		is := is.New(t)
		free, full := newTarget("a", "s1").records("x"), newTarget("b", "s2").records("y")
		h := newHarness(t, shardsRoute(1, "s1", "s2"), free, full)
		h.setContended(contended)
		h.holdPlace(t, h.view.Targets["s2"][0], 120*time.Millisecond)
		res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "150") })
		is.Equal(h.service.Pool.Stats()["b"].Refused == 0, contended) // otherwise each shard decides for itself
		if !contended {
			continue
		}
		is.Equal(free.requests.Load()+full.requests.Load(), int64(0))
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0 && after <= 0.050)
	}
}

// TestReturningCaller guards against a caller that is not recognised when it returns as told, also on another connection,
// against others that are taken for it, and against metrics that can't be read.
func TestReturningCaller(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 1), newTarget("a", "s1").records())
	h.setContended(true)
	h.holdPlace(t, h.view.Targets["s1"][0], 100*time.Millisecond)
	registry := prometheus.NewRegistry()
	h.service.Metrics = NewMetrics(registry)
	registry.MustRegister(RankCollector{Pool: h.service.Pool})
	for range 2 {
		res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "100") })
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		time.Sleep(time.Duration(after * float64(time.Second)))
	}
	families, err := registry.Gather()
	is.NoErr(err)
	values := map[string]float64{}
	for _, f := range families {
		for _, m := range f.Metric {
			values[f.GetName()+" "+m.String()] = m.GetCounter().GetValue()
		}
	}
	is.Equal(sumOf(values, "wasabirelay_rank_requests_total", `"returned"`), 1.0)
	is.Equal(sumOf(values, "wasabirelay_rank_requests_total", `"refused"`), 2.0)
	is.Equal(sumOf(values, "wasabirelay_rank_turns_total", `"refused"`), 2.0)

	from := func(address, uri string) *job {
		r := httptest.NewRequest(http.MethodGet, uri, http.NoBody)
		r.RemoteAddr = address
		return &job{Request: r, route: &routing.Route{Name: "one"}, deadline: h.service.Clock.Now().Add(time.Second)}
	}
	refused := h.service.delayReturn(from("10.0.0.1:1000", "/q/1"), &refusal{status: http.StatusServiceUnavailable, retry: 5 * time.Millisecond}, 0)
	time.Sleep(refused.retry)
	is.Equal(h.service.callerStanding(from("10.0.0.1:2000", "/q/2")), rank.Newcomer)
	is.Equal(h.service.callerStanding(from("10.0.0.1:2000", "/q/1")), rank.Returned)
	is.Equal(h.service.callerStanding(from("10.0.0.2:1000", "/q/1")), rank.Newcomer)
	is.Equal(h.service.callerStanding(from("", "/q/1")), rank.Newcomer) // passed on by another host
}

// sumOf adds the values whose names contain the texts.
func sumOf(values map[string]float64, texts ...string) (sum float64) {
	for name, v := range values {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(name, text) }) {
			sum += v
		}
	}
	return sum
}
