package relay

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"

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
