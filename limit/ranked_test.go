package limit

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/rank"
)

// ranked is a pool with one connection whose callers compete for it.
type ranked struct {
	*harness
	served chan outcome
}

type outcome struct {
	name   string
	permit *Permit
	err    error
}

func newRanked(t *testing.T, contended bool) *ranked {
	r := &ranked{harness: newHarness(t, 1, echo), served: make(chan outcome, 9)}
	r.pool.Contended = contended
	return r
}

// acquireRanked acquires a permit for a rank and a deadline in the background, and returns once it waits or has it.
func (r *ranked) acquireRanked(ctx context.Context, name string, of int, left time.Duration) {
	before := r.stats()
	ctx, cancel := clockwork.WithTimeout(ctx, r.clock, left)
	go func() {
		defer cancel()
		permit, err := r.pool.AcquireFor(ctx, r.target, &rank.Terms{Rank: of, ID: name, Objective: r.clock.Now().Add(left / 2)})
		r.served <- outcome{name, permit, err}
	}()
	for s := r.stats(); s.Waiting+s.InUse+int(s.Refused) <= before.Waiting+before.InUse+int(before.Refused); s = r.stats() {
		runtime.Gosched()
	}
}

func (r *ranked) stats() TargetStats { return r.pool.Stats()["t0"] }

// hold makes requests of the rank known to hold a permit for d.
func (r *ranked) hold(t *testing.T, of int, d time.Duration) {
	permit, err := r.pool.AcquireFor(t.Context(), r.target, &rank.Terms{Rank: of})
	if err != nil {
		t.Fatal(err)
	}
	r.clock.Advance(d)
	permit.Release(Succeeded)
}

// TestRankedWaiters guards against an order by deadline among callers that compete, against one by rank among all
// others, and against a waiter that keeps its turn although its caller has left.
func TestRankedWaiters(t *testing.T) {
	for _, test := range []struct {
		contended bool
		want      []string
	}{{true, []string{"suggestion", "search", "lookup"}}, {false, []string{"lookup", "search", "suggestion"}}} {
		is := is.New(t)
		r := newRanked(t, test.contended)
		first := r.acquire(t)
		ctx, leave := context.WithCancel(t.Context())
		r.acquireRanked(ctx, "left", 0, time.Minute)
		r.acquireRanked(t.Context(), "lookup", 2, 5*time.Second)
		r.acquireRanked(t.Context(), "search", 1, 20*time.Second)
		r.acquireRanked(t.Context(), "suggestion", 0, 40*time.Second)
		leave()
		is.True((<-r.served).err != nil)
		first.Release(Succeeded)
		var order []string
		for range test.want {
			o := <-r.served
			is.NoErr(o.err)
			order = append(order, o.name)
			o.permit.Release(Succeeded)
		}
		is.Equal(order, test.want)
		is.Equal(r.stats().InUse, 0)
	}
}

// TestDisplacedWaiter guards against a waiter that learns only at its deadline that requests of a higher rank have made
// it hopeless, and against one that waits for a target which is gone.
func TestDisplacedWaiter(t *testing.T) {
	is := is.New(t)
	r := newRanked(t, true)
	r.hold(t, 0, 20*time.Millisecond)
	first := r.acquire(t)
	r.acquireRanked(t.Context(), "low", 1, 70*time.Millisecond)
	for range 3 {
		r.acquireRanked(t.Context(), "high", 0, time.Second)
	}
	o := <-r.served
	var refused *RefusedError
	is.True(errors.As(o.err, &refused))
	is.Equal(o.name, "low")
	is.Equal(refused.Reason, Displaced)
	is.Equal(r.stats().Ranks[1], rank.Counts{Refused: 1, Displaced: 1})
	r.pool.SetShares(nil)
	for range 3 {
		o := <-r.served
		is.True(errors.As(o.err, &refused) && refused.Reason == NoShare)
	}
	first.Release(Succeeded)
}

// TestKeptPlaceIsGranted guards against a request that was kept from the last place for a higher rank, and that waits
// for ever because no request of that rank comes and none ends.
func TestKeptPlaceIsGranted(t *testing.T) {
	is := is.New(t)
	r := newRanked(t, true)
	r.hold(t, 2, 220*time.Millisecond)
	for range 20 {
		terms := &rank.Terms{Objective: r.clock.Now().Add(80 * time.Millisecond)}
		permit, err := r.pool.AcquireFor(t.Context(), r.target, terms)
		is.NoErr(err)
		r.clock.Advance(9 * time.Millisecond)
		permit.Release(Succeeded)
	}
	r.acquireRanked(t.Context(), "lookup", 2, 8*time.Second)
	is.Equal(r.stats().Waiting, 1) // although the place is free
	for i := 0; len(r.served) == 0 && i < 5000; i++ {
		r.clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond) // timers of the fake clock fire in goroutines of their own
	}
	is.True(len(r.served) > 0)
	o := <-r.served
	is.NoErr(o.err)
	o.permit.Release(Succeeded)
}

// BenchmarkAcquire measures a permit with room to spare, with and without ranks.
func BenchmarkAcquire(b *testing.B) {
	for _, contended := range []bool{false, true} {
		b.Run(map[bool]string{false: "deadlines", true: "ranks"}[contended], func(b *testing.B) {
			p := &Pool{Contended: contended}
			p.SetShares(map[string]Share{"t0": {Incarnation: "1", Connections: 4, Slots: 4, CloseAfterUse: true}})
			defer p.Close()
			target, terms := &control.Target{Name: "t0", Incarnation: "1"}, &rank.Terms{Rank: 1, Objective: time.Now().Add(time.Hour)}
			for b.Loop() {
				permit, err := p.AcquireFor(b.Context(), target, terms)
				if err != nil {
					b.Fatal(err)
				}
				permit.Release(Succeeded)
			}
		})
	}
}
