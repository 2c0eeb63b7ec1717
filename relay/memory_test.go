package relay

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/door"
	"wasabirelay/routing"
)

// Guards against callers that read large answers slowly and hold more than the process has: what a request will hold
// is known before it runs, and nothing is taken for ordinary requests.
func TestHeldMemory(t *testing.T) {
	is := is.New(t)
	s := &Service{}
	j := &job{Request: &http.Request{URL: &url.URL{}, Header: http.Header{"A": {strings.Repeat("a", 1000)}}}, body: make([]byte, 3000), route: &routing.Route{Name: "r", Shards: make([]string, 90)}}
	s.answerSizes.record("r", 3600)
	is.Equal(s.heldMemory(j), int64(0))
	j.body = make([]byte, 100<<10)
	is.True(s.heldMemory(j) >= 90*(96<<10)) // one copy per shard
	j.body = nil
	s.answerSizes.record("r", 1<<20)
	s.answerSizes.record("r", 100)
	is.True(s.heldMemory(j) > 900<<10) // a large answer is remembered for a while
	for range 200 {
		s.answerSizes.record("r", 100)
	}
	is.Equal(s.heldMemory(j), int64(0))
	for range 2 * maxAnswerRoutes {
		s.answerSizes.record(strings.Repeat("r", int(s.answerSizes.count.Load())), 1<<20)
	}
	is.True(s.answerSizes.count.Load() <= maxAnswerRoutes)
}

// Guards against a route that is refused for good because an answer of it was larger than all that requests may hold.
func TestLargeAnswerDoesNotRefuseItsRouteForGood(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, singleRoute(true, 2), newTarget("t1", "s1").records("a"))
	d := &door.Door{CallerMemory: 4 << 20, Clock: h.service.Clock, Events: h.service.Events}
	behind := httptest.NewUnstartedServer(d.Handler(h.service))
	behind.Listener = d.Listener(behind.Listener, "test", func() door.Limits { return door.DefaultLimits })
	behind.Config.ConnContext, behind.Config.ConnState = door.ConnContext, door.ConnState
	behind.Start()
	defer behind.Close()
	h.server.Close()
	h.server = behind
	h.service.answerSizes.record("one", 4<<20)
	res, _ := h.get(t, nil)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	for end := time.Now().Add(10 * time.Second); res.StatusCode != http.StatusOK && time.Now().Before(end); time.Sleep(lowerInterval) {
		res, _ = h.get(t, nil)
	}
	is.Equal(res.StatusCode, http.StatusOK)
}

// Guards against a body that is cut off or padded, whatever its length and the size of the pieces that it arrives in.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, 2047, 2048, 2049, 100000} {
		text := strings.Repeat("b", size)
		for _, length := range []int64{int64(size), -1} {
			body, err := readAll(strings.NewReader(text), length)
			is.New(t).NoErr(err)
			is.New(t).Equal(string(body), text)
		}
	}
}
