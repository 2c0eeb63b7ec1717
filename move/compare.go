package move

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// errorBound bounds the probability that a version without a fault is reverted
	// during a move. It is the sum of the levels of all tests that one leader runs; a
	// new leader starts with the full bound again.
	errorBound = 1e-3
	// suspicionLevel is the p-value below which the share does not grow. It is not
	// corrected for the number of tests. The move waits for more evidence instead.
	suspicionLevel = 1e-3
	// growthLevel is the p-value of the failures since the last growth below which the share
	// does not grow: more traffic needs evidence that the version is good enough.
	growthLevel = 0.05

	// The new version may be worse by these amounts, because large samples show
	// differences that no caller notices: 0.5 percentage points of failures, and a
	// latency of 1.5 times the old one plus 500 µs, which covers scheduling.
	toleratedFailureRate   = 0.005
	toleratedLatencyFactor = 1.5
	toleratedExtraLatency  = 500 * time.Microsecond

	// minSamples is the size of the smallest sample that is compared.
	minSamples = 5
)

// quantiles are the quantiles at which latencies are compared. The median shows a
// version that is always slow, the others a version that is sometimes slow.
var quantiles = []float64{0.5, 0.9, 0.98}

// testsPerComparison is the number of tests of one comparison: one of failures and one
// per quantile.
var testsPerComparison = 1 + len(quantiles)

// finding is the result of a test, or the strongest of several.
type finding struct {
	p      float64
	reason string
}

// comparison compares the versions on one route, or on all routes if route is empty.
type comparison struct {
	route       string
	targets     int
	connectCost time.Duration
	// reference holds the old version's counts from the time when it carried most of the
	// traffic, as the new version does now. If it is not nil, a finding against the new
	// version must hold against these counts as well.
	reference *Counts
}

// strongest returns the strongest finding of all tests.
func (c *comparison) strongest(s *versionPair) finding {
	f := finding{p: 1}
	if s.new.Total < minSamples {
		return f
	}
	f = c.compareFailures(s)
	for _, q := range quantiles {
		if l := c.compareLatency(s, q); l.p < f.p {
			f = l
		}
	}
	return f
}

func (c *comparison) compareFailures(s *versionPair) finding {
	total, failed := s.new.withoutWorstTarget(c.targets)
	p := failureTest(s.old, total, failed)
	if c.reference != nil {
		p = max(p, failureTest(c.reference, total, failed))
	}
	return finding{p, fmt.Sprintf("%d of %d sub-requests%s failed, %d of %d of the old version (p %.1g)",
		s.new.Failed, s.new.Total, c.routeSuffix(), s.old.Failed, s.old.Total, p)}
}

func failureTest(old *Counts, total, failed int) float64 {
	if old.Total == 0 {
		return 1
	}
	tolerated := int(math.Ceil(toleratedFailureRate * float64(old.Total)))
	return fisher(failed, total, min(old.Failed+tolerated, old.Total), old.Total)
}

func (c *comparison) compareLatency(s *versionPair, q float64) finding {
	p := c.latencyTest(s.old, s.new, q)
	if c.reference != nil && p < 1 {
		p = max(p, c.latencyTest(c.reference, s.new, q))
	}
	return finding{p, fmt.Sprintf("the %g quantile of latency%s is %s of %d sub-requests, %s of %d of the old version (p %.1g)",
		q, c.routeSuffix(), latencyAt(s.new, q), s.new.Latency.TotalCount(), latencyAt(s.old, q), s.old.Latency.TotalCount(), p)}
}

func (c *comparison) routeSuffix() string {
	if c.route == "" {
		return ""
	}
	return " on route " + c.route
}

func latencyAt(c *Counts, q float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// latencyTest compares how many sub-requests of each version are above a quantile of
// all sub-requests, after the old version's latencies are raised to the highest
// tolerated values. The threshold depends only on the union of both samples, so the
// split of the sub-requests above it is hypergeometric if both distributions are equal.
func (c *comparison) latencyTest(old, next *Counts, q float64) float64 {
	delay := toleratedExtraLatency
	if q > quantiles[0] {
		// A version with little traffic opens connections more often per sub-request.
		delay += c.connectCost
	}
	a, b := buckets(old, toleratedLatencyFactor, delay), buckets(next, 1, 0)
	n, m := int(next.Latency.TotalCount()), int(old.Latency.TotalCount())
	if n < minSamples || m < minSamples {
		return 1
	}
	threshold := quantile(slices.Concat(a, b), q)
	return fisher(countAbove(b, threshold), n, countAbove(a, threshold), m)
}

type bucket struct {
	value float64
	count int
}

func buckets(c *Counts, factor float64, delay time.Duration) []bucket {
	var out []bucket
	for _, b := range c.Latency.Distribution() {
		if b.Count > 0 {
			out = append(out, bucket{float64(b.To)*factor + float64(delay.Microseconds()), int(b.Count)})
		}
	}
	return out
}

func quantile(all []bucket, q float64) float64 {
	slices.SortFunc(all, func(x, y bucket) int {
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

func countAbove(all []bucket, threshold float64) int {
	n := 0
	for _, b := range all {
		if b.value > threshold {
			n += b.count
		}
	}
	return n
}

// fisher returns the p-value of the one-sided Fisher exact test: the probability that
// at least a of n sub-requests are bad, given that a+b of n+m are bad.
func fisher(a, n, b, m int) float64 {
	k, total := a+b, n+m
	if a <= 0 || n <= 0 || m <= 0 || float64(a)*float64(total) <= float64(n)*float64(k) {
		return 1 // not more than the expected number
	}
	term := math.Exp(logBinomial(n, a) + logBinomial(m, b) - logBinomial(total, k))
	sum := term
	// The terms decrease from here on, because a is above the mean.
	for x := a; x < min(n, k) && term > sum*1e-12; x++ {
		term *= float64(n-x) * float64(k-x) / (float64(x+1) * float64(m-k+x+1))
		sum += term
	}
	return min(sum, 1)
}

// logBinomial returns the logarithm of the binomial coefficient of n and k.
func logBinomial(n, k int) float64 {
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n int) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}
