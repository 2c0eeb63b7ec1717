package bench

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/target"
)

// Guards against coordinated omission: a stall must count for all requests that
// were due during it, and a request that is not whole with the whole timeout.
func TestLoadCountsFromSchedule(t *testing.T) {
	is := is.New(t)
	const stall = 200 * time.Millisecond
	start := time.Now()
	l := &Load{
		Rate: 500, Length: stall, Timeout: 5 * time.Second, Rand: rand.New(rand.NewPCG(1, 2)),
		Send: func(context.Context, int) Sample {
			time.Sleep(time.Until(start.Add(stall)))
			return Sample{Whole: true}
		},
	}
	out := l.Run(t.Context())
	is.True(out.Sent > 50)
	is.Equal(out.InTime, out.Sent)
	is.True(out.Latency.ValueAtQuantile(90) > (stall / 2).Microseconds())

	l.Timeout, l.Length = time.Second, 20*time.Millisecond
	l.Send = func(context.Context, int) Sample { return Sample{Refused: true, Reason: "overload"} }
	out = l.Run(t.Context())
	is.Equal(out.InTime, 0)
	is.Equal(out.Reasons["overload"], out.Sent)
	is.True(out.Latency.Min() >= int64(0.99*float64(time.Second.Microseconds())))
}

// Guards against a baseline that is weaker than described: it must go on to another
// replica after a failure, and after the delay if it hedges, but never with Once.
func TestBaseline(t *testing.T) {
	for _, tc := range []struct {
		name        string
		hedge       time.Duration
		once, slow  bool
		whole       bool
		least, most int64 // requests at the bad replica and the good one
	}{
		{"failure", 0, false, false, true, 1, 2},
		{"hedge", 5 * time.Millisecond, false, true, true, 1, 2},
		{"slow without hedge", 0, false, true, false, 1, 1},
		{"failure once", 0, true, false, false, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			asked := map[string]int64{} // by query: a hedge may arrive after its query has ended
			arrived := func(r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				asked[r.Header.Get(target.HeaderRequest)]++
			}
			good := replica(t, func(w http.ResponseWriter, r *http.Request) {
				arrived(r)
				shard, _ := strconv.Atoi(r.Header.Get(target.HeaderShard))
				writeReply(w, r.Header.Get(target.HeaderRequest), shard)
			})
			bad := replica(t, func(w http.ResponseWriter, r *http.Request) {
				arrived(r)
				_, _ = io.Copy(io.Discard, r.Body) // The server sees a closed connection only after it.
				if tc.slow {
					<-r.Context().Done()
				}
				http.Error(w, "failed", http.StatusInternalServerError)
			})
			b := &Baseline{Shards: [][]netip.AddrPort{{good, bad}}, Hedge: tc.hedge, Once: tc.once, HTTP: http.DefaultClient}
			for i := range 50 { // until the bad replica was chosen first
				id := "r" + strconv.Itoa(i)
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				s := b.Send(ctx, id)
				cancel()
				mu.Lock()
				is.True(asked[id] >= tc.least)
				for _, n := range asked { // the late ones of earlier queries included
					is.True(n <= tc.most)
				}
				mu.Unlock()
				if tc.whole {
					is.True(s.Whole)
				} else if !s.Whole {
					return
				}
			}
			is.True(tc.whole) // The bad replica was never chosen.
		})
	}
}

func replica(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func writeReply(w http.ResponseWriter, request string, shard int) {
	_, _ = w.Write([]byte(`{"request":"` + request + `","shard":` + strconv.Itoa(shard) + `,"snapshot":1,"result":1,"end":true}`))
}
