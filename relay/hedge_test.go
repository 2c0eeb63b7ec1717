package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an attempt that counts as slow because this host was slow to send it or to read
// the replies to others, and against one that never does.
func TestSlowAge(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name                 string
		sent, progress, want time.Duration
		tail                 bool
	}{
		{"sent at once, nothing since", 1 * ms, 1 * ms, 21 * ms, false},
		{"sent late", 15 * ms, 15 * ms, 35 * ms, false},
		{"replies still come in", 1 * ms, 40 * ms, 45 * ms, false},
		{"last of many", 1 * ms, 12 * ms, 21 * ms, false},
		{"waits for a slot, nothing since", 0, 2 * ms, 7 * ms, false},
		{"few are left, the last reply just came", 1 * ms, 40 * ms, 21 * ms, true},
		{"few are left, sent late", 30 * ms, 40 * ms, 50 * ms, true},
		{"few are left, waits for a slot", 0, 40 * ms, 45 * ms, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(slowAge(tt.sent, tt.progress, 20*ms, tt.tail), tt.want)
		})
	}
}

// stagger makes the target reply after a delay.
func (f *fakeTarget) stagger(delay time.Duration) *fakeTarget {
	reply := f.reply
	f.reply = func(w http.ResponseWriter, r *http.Request) { time.Sleep(delay); reply(w, r) }
	return f
}

// Guards against a request to many shards that is sent twice to most of them: their replies come one
// after the other for longer than the hedge delay, as on a host whose processor is slow. A single
// straggler among them must still be hedged in time.
func TestRepliesThatKeepComingAreNotHedged(t *testing.T) {
	is := is.New(t)
	const count = 40
	var shards []string
	var targets []*fakeTarget
	for i := range count {
		shard := fmt.Sprint("s", i)
		shards = append(shards, shard)
		delay := time.Duration(16*i+8) * time.Millisecond // the last one replies after 632 ms
		targets = append(targets, newTarget("a"+shard, shard).records("a").stagger(delay), newTarget("b"+shard, shard).records("a").stagger(delay))
	}
	straggler := newTarget("straggler", "slow").records("a").stagger(8 * time.Second)
	targets = append(targets, straggler, newTarget("other", "slow").records("a"))
	r := shardsRoute(1, append(shards, "slow")...)
	// The hedge delay is 320 ms while no latencies are known, and 80 ms without progress make an
	// attempt slow: pauses of a loaded machine are shorter.
	r.Objective, r.Timeout = 1280*time.Millisecond, 10*time.Second
	h := newHarness(t, r, targets...)
	for straggler.requests.Load() == 0 {
		before := requestsOf(targets)
		started := time.Now()
		res, _ := h.get(t, nil)
		took := time.Since(started)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(res.Header.Get(headers.Missing), "0")
		extra := requestsOf(targets) - before - int64(len(r.Shards))
		is.True(extra <= count/4) // hardly any but the straggler is hedged
		is.True(took < 4*time.Second)
		h.service.Table.Forget(nil)
	}
}

// requestsOf returns the number of requests that targets have received.
func requestsOf(targets []*fakeTarget) int64 {
	var n int64
	for _, f := range targets {
		n += f.requests.Load()
	}
	return n
}

// Guards against stragglers that are hedged only after the last of many other replies, too late
// for the objective.
func TestTailIsHedgedWhileRepliesComeIn(t *testing.T) {
	is := is.New(t)
	g := &fetchGroup{Service: &Service{}, j: &job{started: time.Unix(100, 0)}, fetches: make([]fetch, 20), hedge: 20 * time.Millisecond, pending: 20}
	at := func(age time.Duration) time.Time { return g.j.started.Add(age) }
	for i := range g.fetches {
		f := &g.fetches[i]
		a := &attempt{fetch: f}
		a.sent.Store(int64(time.Millisecond))
		f.fetchGroup, f.attempts, f.hedgeAt = g, []*attempt{a}, at(21*time.Millisecond)
	}
	for i := range 17 {
		g.progress.Store(int64(20+i) * int64(time.Millisecond))
		f := &g.fetches[i]
		f.done, f.hedgeAt = true, time.Time{}
		g.queueIfDone(f)
		last := &g.fetches[19]
		if !last.hedgeAt.After(at(time.Duration(g.progress.Load()))) {
			last.hedgeAt = g.slowAt(last.newest()) // the timer has fired
		}
		switch {
		case i < 16:
			is.True(last.hedgeAt.After(at(time.Duration(g.progress.Load())))) // replies come in
		default:
			is.Equal(last.hedgeAt, at(21*time.Millisecond)) // the tail: due at once
		}
	}
}
