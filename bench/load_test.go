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

// Guards against coordinated omission: a stall must count for all requests that were due during
// it, and a request that is not complete must count with the full timeout.
func TestLoadCountsFromSchedule(t *testing.T) {
	is := is.New(t)
	const stall = 200 * time.Millisecond
	start := time.Now()
	l := &Load{
		Rate: 500, Length: stall, Timeout: 5 * time.Second, Rand: rand.New(rand.NewPCG(1, 2)),
		Send: func(context.Context, int) Sample {
			time.Sleep(time.Until(start.Add(stall)))
			return Sample{Complete: true}
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

// Guards against a baseline that is weaker than described: it must send the sub-request to another
// replica after a failure, and after the delay if it hedges, but never with SingleAttempt.
func TestBaseline(t *testing.T) {
	for _, tc := range []struct {
		name                string
		hedge               time.Duration
		singleAttempt, slow bool
		complete            bool
		least, most         int64 // requests of one query to the two replicas
	}{
		{"failure", 0, false, false, true, 1, 2},
		{"hedge", 5 * time.Millisecond, false, true, true, 1, 2},
		{"slow without hedge", 0, false, true, false, 1, 1},
		{"failure with a single attempt", 0, true, false, false, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			requests := map[string]int64{} // by request identity, because a hedge may arrive after its query has ended
			countRequest := func(r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				requests[r.Header.Get(target.HeaderRequest)]++
			}
			good := replica(t, func(w http.ResponseWriter, r *http.Request) {
				countRequest(r)
				shard, _ := strconv.Atoi(r.Header.Get(target.HeaderShard))
				writeReply(w, r.Header.Get(target.HeaderRequest), shard)
			})
			bad := replica(t, func(w http.ResponseWriter, r *http.Request) {
				countRequest(r)
				_, _ = io.Copy(io.Discard, r.Body) // The server detects a closed connection only after reading the body.
				if tc.slow {
					<-r.Context().Done()
				}
				http.Error(w, "failed", http.StatusInternalServerError)
			})
			b := &Baseline{Shards: [][]netip.AddrPort{{good, bad}}, Hedge: tc.hedge, SingleAttempt: tc.singleAttempt, HTTP: http.DefaultClient}
			for i := range 50 { // Repeats until the bad replica is chosen first.
				id := "r" + strconv.Itoa(i)
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				s := b.Send(ctx, id)
				cancel()
				mu.Lock()
				is.True(requests[id] >= tc.least)
				for _, n := range requests { // This includes late requests of earlier queries.
					is.True(n <= tc.most)
				}
				mu.Unlock()
				if tc.complete {
					is.True(s.Complete)
				} else if !s.Complete {
					return
				}
			}
			is.True(tc.complete) // The bad replica was never chosen.
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
