package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against extra requests beyond the budget's share and this host's share of the
// capacity, including directly after a restart.
func TestBudgetLimit(t *testing.T) {
	is := is.New(t)
	var b Budget
	b.SetCapacity(time.Time{}, 4, 0, true)
	is.True(!b.Spend(time.Time{}, 0.5)) // the previous process may have used all of it
	for range 100 {
		b.CountFirst()
	}
	granted := 0
	for b.Spend(time.Time{}, 0.5) {
		granted++
	}
	is.Equal(granted, 4)
	b.SetCapacity(time.Time{}, 2, 0, true)
	b.CountFirst()
	b.CountFirst()
	is.True(b.Spend(time.Time{}, 0.5))  // credit for the two first sub-requests
	is.True(!b.Spend(time.Time{}, 0.5)) // the smaller capacity applies at once

	var late Budget
	late.SetCapacity(time.Time{}, 2, 0, false)
	is.True(late.Spend(time.Time{}, 0.5)) // there was no previous process
	is.True(late.Spend(time.Time{}, 0.5))
	is.True(!late.Spend(time.Time{}, 0.5))
}

// Guards against a constant part that is used once and never available again, and against more
// extra requests in any window than its limit, with random requests and pauses.
func TestBudgetWindow(t *testing.T) {
	const window, capacity, share = 10 * time.Second, 6.0, 0.2
	start := time.Unix(100, 0)
	t.Run("returns", func(t *testing.T) {
		is := is.New(t)
		var b Budget
		spend := func(at time.Duration) (n int) {
			for b.Spend(start.Add(at), share) {
				n++
			}
			return n
		}
		b.SetCapacity(start, capacity, window, true)
		is.Equal(spend(0), 0) // the previous process may have used it
		is.Equal(spend(window), 0)
		is.Equal(spend(window+window/chargeSpans), 6)
		is.Equal(spend(2*window), 0)
		is.Equal(spend(2*window+window/chargeSpans), 0)
		is.Equal(spend(3*window), 6)
	})
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var b Budget
		b.SetCapacity(start, capacity, window, false)
		var firsts, extras []time.Time
		for now := start; now.Sub(start) < 2*time.Minute; now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond) {
			if rng.IntN(2) == 0 {
				b.CountFirst()
				firsts = append(firsts, now)
			}
			if rng.IntN(3) > 0 && b.Spend(now, share) {
				extras = append(extras, now)
				from := now.Add(-window)
				if n, limit := after(extras, from), share*after(firsts, from)+capacity; n > limit+1e-9 {
					t.Fatalf("seed %d: %v extra requests in the window before %s, the limit is %v", seed, n, now.Sub(start), limit)
				}
			}
		}
		if len(extras) < 60 {
			t.Errorf("seed %d: only %d extra requests", seed, len(extras))
		}
	}
}

// after returns how many of the times, which are in order, are after the given one.
func after(times []time.Time, from time.Time) float64 {
	for i := len(times); i > 0; i-- {
		if !times[i-1].After(from) {
			return float64(len(times) - i)
		}
	}
	return float64(len(times))
}

// Guards against a host whose share of the capacity falls and rises again, and that has all of it
// available each time.
func TestBudgetOfChangingShare(t *testing.T) {
	const window, capacity, share = 10 * time.Second, 8.0, 0.2
	is := is.New(t)
	start := time.Unix(100, 0)
	var b Budget
	spent := 0
	for at := time.Duration(0); at < window; at += time.Second {
		for _, capacity := range []float64{capacity, capacity / 8} {
			b.SetCapacity(start.Add(at), capacity, window, false)
			for b.Spend(start.Add(at), share) {
				spent++
			}
		}
	}
	is.Equal(spent, int(capacity))
}

// Guards against a host without a share that uses the default capacity.
func TestBudgetWithoutCapacity(t *testing.T) {
	is := is.New(t)
	var b Budget
	b.SetCapacity(time.Unix(100, 0), 0, 10*time.Second, false)
	is.True(!b.Spend(time.Unix(100, 0), 0.2))
}

// Guards against a host with little or no capacity that can't use the share of its own requests, and
// against one that uses more.
func TestBudgetOfSmallCapacity(t *testing.T) {
	const window, share, length = 10 * time.Second, 0.2, time.Minute
	for _, capacity := range []float64{0, 0.14, 0.9} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(100, 0)
			var b Budget
			b.SetCapacity(start, capacity, window, false)
			is.True(!b.Spend(start, share))
			extras, firsts := 0, 0
			for at := time.Duration(0); at < length; at += 250 * time.Millisecond {
				b.CountFirst()
				firsts++
				if b.Spend(start.Add(at), share) {
					extras++
				}
			}
			is.True(float64(extras) > share*float64(firsts)-1)
			is.True(float64(extras) <= share*float64(firsts)+capacity*(1+length.Seconds()/window.Seconds()))
			for range 5 {
				b.CountFirst()
			}
			b.Spend(start.Add(length), share)
			is.True(!b.Spend(start.Add(length+2*window), share)) // nothing is earned in a lull
		})
	}
}

// Guards against reservations that count before they are sent, twice, or for ever.
func TestReservedExtras(t *testing.T) {
	const window, share = 10 * time.Second, 1e-9
	is := is.New(t)
	start := time.Unix(100, 0)
	var b Budget
	b.SetCapacity(start, 2, window, false)
	first, second := b.Reserve(start, share), b.Reserve(start, share)
	is.True(first != nil && second != nil)
	is.True(b.Reserve(start.Add(2*window), share) == nil) // neither has been sent or returned
	first.Return()
	first.Return()
	first.Sent(start)
	third := b.Reserve(start.Add(2*window), share)
	is.True(third != nil)
	is.True(b.Reserve(start.Add(2*window), share) == nil)
	second.Sent(start.Add(2 * window))
	third.Sent(start.Add(2 * window))
	is.True(b.Reserve(start.Add(3*window), share) == nil)
	is.True(b.Reserve(start.Add(3*window+window/chargeSpans), share) != nil)
	var none *Extra
	none.Sent(start)
	none.Return()
}

// Guards against more than one repeat that a host without capacity has earned and not sent yet: they
// would all arrive in a later window.
func TestEarnedExtrasWaitForEachOther(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var b Budget
	b.SetCapacity(now, 0, 10*time.Second, false)
	var waiting *Extra
	for range 100 {
		b.CountFirst()
		if extra := b.Reserve(now, 0.2); extra != nil {
			is.True(waiting == nil)
			waiting = extra
		}
	}
	is.True(waiting != nil)
	waiting.Sent(now)
	is.True(b.Reserve(now, 0.2) != nil)
}

// Guards against a restarted host without a constant part of the budget whose requests all hang once the window has passed.
func TestBudgetWithoutCapacityAfterStart(t *testing.T) {
	const window, share = 10 * time.Second, 0.2
	is := is.New(t)
	start := time.Unix(100, 0)
	var b Budget
	b.SetCapacity(start, 0, window, true)
	done := make(chan bool, 1)
	go func() { done <- b.Spend(start.Add(2*window), share) }()
	select {
	case spent := <-done:
		is.True(!spent)
	case <-time.After(5 * time.Second):
		is.Fail() // Spend does not return
	}
}

// Guards against a restarted host that uses again what its previous process has just used, because its share rises
// after its start.
func TestBudgetOfRisingShareAfterStart(t *testing.T) {
	const window, share = 10 * time.Second, 0.2
	is := is.New(t)
	start := time.Unix(100, 0)
	var b Budget
	for i, capacity := range []float64{1, 8, 2, 8} {
		now := start.Add(time.Duration(i) * time.Second)
		b.SetCapacity(now, capacity, window, true)
		is.True(!b.Spend(now, share))
	}
	later := start.Add(2 * window)
	b.SetCapacity(later, 8, window, false)
	for range 8 {
		is.True(b.Spend(later, share))
	}
	is.True(!b.Spend(later, share))
}
