package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"wasabirelay/portion"
	"wasabirelay/routing"
)

// hangingDial stands for targets that do not answer.
func hangingDial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a request of which nothing was sent and that is answered as if a target may have
// run it, and against the reverse.
func TestOnlySentRequestsMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		target func(*fakeTarget) *fakeTarget
		change func(*harness)
		status int
	}{
		"connections are refused":   {(*fakeTarget).hang, (*harness).cutOff, http.StatusServiceUnavailable},
		"connections never open":    {(*fakeTarget).hang, func(h *harness) { h.service.Pool.Dial = hangingDial }, http.StatusServiceUnavailable},
		"sent, and no reply":        {(*fakeTarget).hang, nil, http.StatusGatewayTimeout},
		"sent, and connection lost": {(*fakeTarget).reset, nil, http.StatusBadGateway},
		"refused by the target": {func(f *fakeTarget) *fakeTarget {
			return f.status(http.StatusServiceUnavailable, false)
		}, nil, http.StatusServiceUnavailable},
	} {
		for kind, r := range map[string]routing.Route{"shards": shardsRoute(1, "s1", "s2"), "one target": singleRoute(true, 2)} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, r, c.target(newTarget("t1", "s1")), c.target(newTarget("t2", "s2")))
				if c.change != nil {
					c.change(h)
				}
				res, _ := h.get(t, func(r *http.Request) { r.Header.Set(headers.Timeout, "300") })
				is.Equal(res.StatusCode, c.status)
			})
		}
	}
}

// Guards against a caller that is told that its request has not run, and sends it again, although the target has
// run it and failed: only a target that says so has not run a request.
func TestFailureIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		for _, idempotent := range []bool{false, true} {
			for _, passed := range []bool{false, true} {
				t.Run(fmt.Sprint(status, ", idempotent ", idempotent, ", passed on ", passed), func(t *testing.T) {
					is := is.New(t)
					target := newTarget("t1", "s1").status(status, true)
					h := newHarness(t, singleRoute(idempotent, 1), target)
					if passed {
						h.loseLinks()
						h.passTo(map[string]func(context.Context, *portion.Request, func(*portion.Frame, error)){
							"earlier": func(_ context.Context, _ *portion.Request, receive func(*portion.Frame, error)) {
								target.ran.Add(1)
								header := http.Header{headers.Request: {"r1"}, headers.Signature: {"sign-t1"}}
								receive(&portion.Frame{Last: true, Reply: &portion.Reply{Status: status, Header: header}}, nil)
							},
						})
					}
					res, _ := h.get(t, nil)
					is.Equal(target.ran.Load(), int64(1))
					if !idempotent && status != http.StatusInternalServerError {
						is.Equal(res.StatusCode, http.StatusBadGateway)
						is.Equal(res.Header.Get(headers.Signature), "")
						return
					}
					is.Equal(res.StatusCode, status)
					is.Equal(res.Header.Get(headers.Signature), "sign-t1")
				})
			}
		}
	}
}
