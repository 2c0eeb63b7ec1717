package limit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabirelay/control"
)

// TestInFlightLimit guards against a limit outside the range from 1 to the connection share,
// and against several decreases for one overload.
func TestInFlightLimit(t *testing.T) {
	tests := []struct {
		name        string
		slots       int
		connections int
		rounds      []Result // result of all sub-requests of each round; the limit is reached in each
		want        int
	}{
		{"starts at the slots", 2, 4, nil, 2},
		{"starts at the connections if the slots are unknown", 0, 4, nil, 4},
		{"never above the connections", 8, 4, []Result{Succeeded, Succeeded}, 4},
		{"one more per round", 2, 10, []Result{Succeeded, Succeeded, Succeeded}, 4},
		{"once per round of shed replies", 10, 10, []Result{Shed}, 7},
		{"twice for two rounds", 10, 10, []Result{Shed, Shed}, 4},
		{"never below 1", 2, 10, []Result{Shed, Shed, Shed, Shed}, 1},
		{"unchanged by failures", 2, 10, []Result{Failed, Failed}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 0, echo)
			h.share.Connections, h.share.Slots = test.connections, test.slots
			h.pool.SetShares(nil)
			h.pool.SetShares(map[string]Share{"t0": h.share})
			for _, result := range test.rounds {
				var held []*Permit
				for range h.pool.Stats()["t0"].Limit {
					held = append(held, h.acquire(t))
				}
				h.clock.Advance(time.Millisecond)
				for _, permit := range held {
					permit.Release(result)
					permit.Release(result) // has no effect
				}
				h.clock.Advance(time.Millisecond)
			}
			is.New(t).Equal(h.pool.Stats()["t0"].Limit, test.want)
		})
	}
}

// TestQueue guards against waits beyond the deadline, and against an order other than that of
// the deadlines.
func TestQueue(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, echo)
	first := h.acquire(t)
	h.clock.Advance(10 * time.Millisecond)
	first.Release(Succeeded) // mean time 10 ms
	first = h.acquire(t)
	served := make(chan int, 9)
	wait := func(left, waiting int) {
		ctx, cancel := clockwork.WithTimeout(t.Context(), h.clock, time.Duration(left)*time.Millisecond)
		t.Cleanup(cancel)
		go func() {
			permit, err := h.pool.Acquire(ctx, h.target)
			if err != nil {
				served <- -left
				return
			}
			served <- left
			permit.Release(Failed)
		}()
		for h.pool.Stats()["t0"].Waiting < waiting {
			runtime.Gosched()
		}
	}
	wait(90, 1)
	wait(50, 2)
	wait(70, 3)
	wait(22, 4)
	wait(19, 0) // needs 20 ms: 10 ms of waiting and 10 ms of its own
	is.Equal(<-served, -19)
	wait(35, 0) // second in the order: 20 ms of waiting and 10 ms of its own
	for h.pool.Stats()["t0"].Waiting < 5 {
		runtime.Gosched()
	}
	h.clock.Advance(15 * time.Millisecond) // too late for the first waiter
	first.Release(Succeeded)
	var order []int
	refusals := 0
	for range 5 {
		if left := <-served; left > 0 {
			order = append(order, left)
		} else {
			refusals += left
		}
	}
	is.Equal(order, []int{35, 50, 70, 90})
	is.Equal(refusals, -22)
}

// TestSetShares guards against sub-requests to a target that was removed or replaced.
func TestSetShares(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, echo)
	permit := h.acquire(t)
	waiting := make(chan error)
	go func() {
		_, err := h.pool.Acquire(t.Context(), h.target)
		waiting <- err
	}()
	for h.pool.Stats()["t0"].Waiting == 0 {
		runtime.Gosched()
	}
	old := *h.target
	h.target.Incarnation, h.share.Incarnation = "2", "2"
	h.pool.SetShares(map[string]Share{"t0": h.share})
	var refused *RefusedError
	is.True(errors.As(<-waiting, &refused) && refused.Reason == NoShare)
	_, err := h.pool.Acquire(t.Context(), &old)
	is.True(errors.As(err, &refused) && refused.Reason == NoShare)
	req, _ := http.NewRequest(http.MethodGet, "http://t0/", http.NoBody)
	_, err = h.pool.Do(t.Context(), permit, req, nil)
	var lost *LostError
	is.True(errors.As(err, &lost) && !lost.Sent)
	permit.Release(Failed)
}

// TestShares guards against divisions that exceed a target's connections, leave some unused,
// or favour a host.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []string
		for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
			hosts = append(hosts, fmt.Sprintf("h%d", i))
		}
		connections := rapid.IntRange(0, 40).Draw(t, "connections")
		targets := []*control.Target{{Name: rapid.StringMatching("[a-z]{1,8}").Draw(t, "name"), Connections: connections}}
		sum := 0
		for _, h := range hosts {
			n := Shares(hosts, h, targets)[targets[0].Name]
			if n < connections/len(hosts) || n > connections/len(hosts)+1 {
				t.Fatalf("%s gets %d of %d", h, n, connections)
			}
			reversed := slices.Clone(hosts)
			slices.Reverse(reversed)
			if Shares(reversed, h, targets)[targets[0].Name] != n {
				t.Fatalf("the share of %s depends on the order of hosts", h)
			}
			sum += n
		}
		if sum != connections || Shares(hosts, "other", targets)[targets[0].Name] != 0 {
			t.Fatalf("the shares add up to %d of %d", sum, connections)
		}
	})
}

// simulateAdmission simulates queries of 10 sub-requests against targets that process 1,000
// sub-requests per second in order of arrival, even if the query has ended. After 5 s, the
// processing time is multiplied by slower. It returns the shares of queries that were refused
// and that were answered within 82 ms.
func simulateAdmission(seed uint64, perSecond float64, slower time.Duration) (refused, answered float64) {
	const deadline, least = 82 * time.Millisecond, 6 * time.Millisecond
	each := 10 * time.Millisecond
	clock := clockwork.NewFakeClock()
	a := &Admission{Clock: clock}
	rng := rand.New(rand.NewPCG(seed, 1))
	ends := map[time.Time][]func(){} // by time, in steps of 1 ms
	free := clock.Now()
	arrived := 0.0
	for i := range 10_000 {
		if i == 5000 {
			each *= slower
		}
		now := clock.Now()
		for _, release := range ends[now] {
			release()
		}
		for range int(perSecond/1000 + rng.Float64()) {
			arrived++
			ctx, cancel := clockwork.WithDeadline(context.Background(), clock, now.Add(deadline))
			release, err := a.Admit(ctx, "order-desk", 10)
			cancel()
			if err != nil {
				refused++
				continue
			}
			free = free.Add(each)
			if free.Before(now.Add(least)) {
				free = now.Add(least)
			}
			end := free
			if end.After(now.Add(deadline)) {
				end = now.Add(deadline)
			} else {
				answered++
			}
			ends[end] = append(ends[end], release)
		}
		clock.Advance(time.Millisecond)
	}
	return refused / arrived, answered / arrived
}

// TestAdmission guards against an overload in which every query is answered too late, and
// against needless refusals.
func TestAdmission(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			refused, answered := simulateAdmission(seed, 50, 1)
			t.Logf("half load: refused %.3f, answered %.3f", refused, answered)
			is.Equal(refused, 0.0)
			is.True(answered > 0.99)
			refused, answered = simulateAdmission(seed, 200, 1)
			t.Logf("twice the capacity: refused %.3f, answered %.3f", refused, answered)
			is.True(answered > 0.45)         // of the 0.5 that is possible
			is.True(answered+refused > 0.97) // admitted queries are answered
			refused, answered = simulateAdmission(seed, 50, 4)
			t.Logf("capacity falls to a quarter: refused %.3f, answered %.3f", refused, answered)
			is.True(answered > 0.64) // of about 0.75 that is possible
		})
	}
}

// TestAdmissionBurst guards against refusing a burst on an idle service, whose measured rate
// is low only because demand was low.
func TestAdmissionBurst(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	a := &Admission{Clock: clock}
	for i := range 80 {
		ctx, cancel := clockwork.WithTimeout(t.Context(), clock, 82*time.Millisecond)
		release, err := a.Admit(ctx, "order-desk", 10)
		cancel()
		is.NoErr(err)
		if i < 50 { // 50 in sequence, then 30 at once
			clock.Advance(6 * time.Millisecond)
			release()
		}
	}
	is.Equal(a.Stats()["order-desk"].Pending, 300)
}
