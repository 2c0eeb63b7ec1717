package move

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// errorBound is the probability that a good version is reverted during a move,
	// per leader that steps it: the sum of the levels of all its tests.
	errorBound = 1e-3
	// suspicion is the level, without correction, above which the share may grow.
	// A version that may have a fault waits for more evidence instead.
	suspicion = 1e-3

	// The version may be worse by this much, because large samples show differences
	// that no caller notices: half a percentage point of failures; a latency half
	// as long again and half a millisecond, which covers scheduling.
	toleratedFailures = 0.005
	toleratedFactor   = 1.5
	toleratedDelay    = 500 * time.Microsecond

	// leastSamples is the smallest sample that is compared.
	leastSamples = 5
)

// quantiles are where latencies are compared: the median shows a version that is
// slow as a whole, the others one that is slow at times.
var quantiles = []float64{0.5, 0.9, 0.98}

// testsPerSide is the number of tests of one side: failures and each quantile.
var testsPerSide = 1 + len(quantiles)

// finding is the strongest evidence against a version.
type finding struct {
	p      float64
	reason string
}

// comparison compares the two sides of a route.
type comparison struct {
	route   string
	targets int
	connect time.Duration
	// reference holds the old version's counts from when it carried as much of the
	// traffic as the new one does now. A version is worse only if it is worse than
	// these as well. nil if there are none.
	reference *Counts
}

// worst returns the strongest evidence of all tests of one side.
func (c *comparison) worst(s *side) finding {
	f := finding{p: 1}
	if s.new.Total < leastSamples {
		return f
	}
	f = c.failures(s)
	for _, q := range quantiles {
		if l := c.latency(s, q); l.p < f.p {
			f = l
		}
	}
	return f
}

func (c *comparison) failures(s *side) finding {
	failed := s.new.discounted(c.targets)
	p := failureTest(s.old, s.new.Total, failed)
	if c.reference != nil {
		p = max(p, failureTest(c.reference, s.new.Total, failed))
	}
	return finding{p, fmt.Sprintf("%d of %d sub-requests%s failed, %d of %d of the old version (p %.1g)",
		s.new.Failed, s.new.Total, c.on(), s.old.Failed, s.old.Total, p)}
}

func failureTest(old *Counts, total, failed int) float64 {
	if old.Total == 0 {
		return 1
	}
	tolerated := int(math.Ceil(toleratedFailures * float64(old.Total)))
	return fisher(failed, total, min(old.Failed+tolerated, old.Total), old.Total)
}

func (c *comparison) latency(s *side, q float64) finding {
	p := c.latencyTest(s.old, s.new, q)
	if c.reference != nil && p < 1 {
		p = max(p, c.latencyTest(c.reference, s.new, q))
	}
	return finding{p, fmt.Sprintf("the %g quantile of latency%s is %s of %d sub-requests, %s of %d of the old version (p %.1g)",
		q, c.on(), at(s.new, q), s.new.Latency.TotalCount(), at(s.old, q), s.old.Latency.TotalCount(), p)}
}

func (c *comparison) on() string {
	if c.route == "" {
		return ""
	}
	return " on route " + c.route
}

func at(c *Counts, q float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// latencyTest compares how many sub-requests of each side are above a quantile of
// both together, after the old version's latencies were raised to the worst that
// is tolerated. The threshold depends on the union only, so the split of the
// sub-requests above it is hypergeometric if the sides are alike.
func (c *comparison) latencyTest(old, next *Counts, q float64) float64 {
	delay := toleratedDelay
	if q > quantiles[0] {
		// A version with little traffic opens connections more often.
		delay += c.connect
	}
	a, b := bars(old, toleratedFactor, delay), bars(next, 1, 0)
	n, m := int(next.Latency.TotalCount()), int(old.Latency.TotalCount())
	if n < leastSamples || m < leastSamples {
		return 1
	}
	threshold := quantile(slices.Concat(a, b), q)
	return fisher(above(b, threshold), n, above(a, threshold), m)
}

type bar struct {
	value float64
	count int
}

func bars(c *Counts, factor float64, delay time.Duration) []bar {
	var out []bar
	for _, b := range c.Latency.Distribution() {
		if b.Count > 0 {
			out = append(out, bar{float64(b.To)*factor + float64(delay.Microseconds()), int(b.Count)})
		}
	}
	return out
}

func quantile(all []bar, q float64) float64 {
	slices.SortFunc(all, func(x, y bar) int {
		switch {
		case x.value < y.value:
			return -1
		case x.value > y.value:
			return 1
		}
		return 0
	})
	total, seen := 0, 0
	for _, b := range all {
		total += b.count
	}
	for _, b := range all {
		if seen += b.count; float64(seen) >= q*float64(total) {
			return b.value
		}
	}
	return 0
}

func above(all []bar, threshold float64) int {
	n := 0
	for _, b := range all {
		if b.value > threshold {
			n += b.count
		}
	}
	return n
}

// fisher returns the p-value of Fisher's exact test, one-sided: the probability
// that a or more of n sub-requests are bad, given the a+b bad ones of n+m.
func fisher(a, n, b, m int) float64 {
	k, total := a+b, n+m
	if a <= 0 || n <= 0 || m <= 0 || float64(a)*float64(total) <= float64(n)*float64(k) {
		return 1 // not more than expected
	}
	term := math.Exp(choose(n, a) + choose(m, b) - choose(total, k))
	sum := term
	// The terms fall from here on, because a is above the mean.
	for x := a; x < min(n, k) && term > sum*1e-12; x++ {
		term *= float64(n-x) * float64(k-x) / (float64(x+1) * float64(m-k+x+1))
		sum += term
	}
	return min(sum, 1)
}

// choose returns the logarithm of the binomial coefficient.
func choose(n, k int) float64 {
	return factorial(n) - factorial(k) - factorial(n-k)
}

func factorial(n int) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}
