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
	}{
		{"sent at once, nothing since", 1 * ms, 1 * ms, 21 * ms},
		{"sent late", 15 * ms, 15 * ms, 35 * ms},
		{"replies still come in", 1 * ms, 40 * ms, 45 * ms},
		{"last of many", 1 * ms, 12 * ms, 21 * ms},
		{"waits for a slot, nothing since", 0, 2 * ms, 7 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(slowAge(tt.sent, tt.progress, 20*ms), tt.want)
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
		delay := time.Duration(2*i+1) * time.Millisecond // the last one replies after 79 ms
		targets = append(targets, newTarget("a"+shard, shard).records("a").stagger(delay), newTarget("b"+shard, shard).records("a").stagger(delay))
	}
	straggler := newTarget("straggler", "slow").records("a").stagger(time.Second)
	targets = append(targets, straggler, newTarget("other", "slow").records("a"))
	r := shardsRoute(1, append(shards, "slow")...)
	r.Objective = 160 * time.Millisecond // the hedge delay is 40 ms while no latencies are known
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
		is.True(took < 500*time.Millisecond)
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
