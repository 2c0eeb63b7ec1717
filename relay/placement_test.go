package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/route"
	"wasabirelay/routing"
	"wasabirelay/workload"
)

// TestRequestThatTakesTooLongIsNotSent guards against work that targets do for a caller who has left by
// then, and against a refusal of a request whose cost is not known. It answers the load of heavy requests
// with little time left.
func TestRequestThatTakesTooLongIsNotSent(t *testing.T) {
	for name, r := range map[string]routing.Route{"shards": shardsRoute(1, "s1"), "one target": singleRoute(true, 2)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newTarget("t1", "s1").records("a")
			h := newHarness(t, r, target)
			h.service.Table = &route.Table{Centre: "c", Contended: true}
			get := func() int {
				res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "300") })
				return res.StatusCode
			}
			is.Equal(get(), http.StatusOK)

			now, took := time.Now(), 10*time.Second
			kind := workload.NewKind(r.Name, http.MethodGet, "x%2Fy", "", 0)
			for range 100 {
				w := h.service.Table.Estimate(now, kind)
				h.service.Table.StartWork(now.Add(-took), h.view.Targets["s1"][0], w)
				h.service.Table.DoneWork(now, h.view.Targets["s1"][0], r.Name, w, took, took, route.Success)
			}
			is.Equal(get(), http.StatusServiceUnavailable)
			is.Equal(target.ran.Load(), int64(1))
			is.Equal(h.service.Table.Choices()["late"], uint64(1))
		})
	}
}
