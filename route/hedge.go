package route

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minWindowAge and minWindowSamples are the minimum duration and size of a window of
	// latencies before the next window starts. With fewer than 100 samples, the 0.95 quantile
	// would rest on fewer than 5 of them.
	minWindowAge     = 10 * time.Second
	minWindowSamples = 100
	// maxPastWindows is the number of past windows that are kept. The learned delay is the
	// median of their quantiles, so it follows a change after half of the windows: 40 s under
	// load.
	maxPastWindows = 8
	// refreshSamples is the number of samples after which the delay is recomputed within the
	// first window. It is not recomputed if the share of sub-requests above it exceeds
	// refreshExceedLimit, because it would follow a fault in the first seconds at once.
	refreshSamples     = 64
	refreshExceedLimit = 0.1
	// These bounds (in microseconds) and this precision limit a histogram to about 20 KiB.
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 2
	// exceedWeight is the weight of a sub-request in the share of those that exceed the
	// learned delay: 19 consecutive slow ones exceed exceedLimit.
	exceedWeight = 1.0 / 64
	// exceedLimit is the share above which the whole service counts as slow.
	exceedLimit = 0.25
	// riseFactor is how many times the expected share the share of sub-requests above the
	// learned delay may reach before those that were slower than their hedges raise the delay.
	riseFactor = 2
	// fallFactor is how many times the quantile of the latest window the learned delay must
	// exceed to be replaced by it. At 2, the variation between windows of 100 samples has no
	// effect.
	fallFactor = 2
	// serviceShedWeight is the weight of a reply in the share of shed replies of a service.
	serviceShedWeight = 1.0 / 32
)

// serviceState is what this host has observed about the sub-requests of one service.
type serviceState struct {
	budget Budget

	current     *hdrhistogram.Histogram
	windowStart time.Time
	past        []*hdrhistogram.Histogram

	// quantile is the quantile that delay was computed for, when the current window had
	// computedCount samples.
	quantile      float64
	delay         time.Duration
	computedCount int64
	// exceedShare is the share of recent sub-requests that took longer than delay.
	exceedShare float64
	// shed is the share of recent replies that were shed.
	shed float64
}

// observe records the latency of a sub-request. A sub-request that timed out or was slower
// than its hedge counts if it took longer than the learned delay: leaving it out would lower
// the quantile and so cause more and more hedges. A hedge that was cancelled early is not
// counted, because its latency is unknown.
func (s *serviceState) observe(now time.Time, latency time.Duration, o Outcome) {
	exceeds := s.delay > 0 && latency > s.delay
	switch o {
	case Success:
		s.addLatency(now, latency, exceeds)
		s.shed -= serviceShedWeight * s.shed
	case TimedOut:
		if exceeds {
			s.addLatency(now, latency, true)
		}
	case Cancelled:
		if exceeds {
			s.addLatency(now, s.cancelledLatency(latency), true)
		}
	case Shed:
		s.shed += serviceShedWeight * (1 - s.shed)
	}
}

// cancelledLatency returns the latency to record for a sub-request that was slower than its
// hedge. The expected share of sub-requests exceeds the learned delay; recording the time of
// their cancellation would make the quantile alternate between the two values. If far more
// exceed it, the delay has to rise.
func (s *serviceState) cancelledLatency(latency time.Duration) time.Duration {
	if s.exceedShare <= riseFactor*(1-s.quantile) {
		return s.delay
	}
	return latency
}

func (s *serviceState) addLatency(now time.Time, latency time.Duration, exceeds bool) {
	if s.current == nil {
		s.current, s.windowStart = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), now
	}
	if s.delay > 0 {
		value := 0.0
		if exceeds {
			value = 1
		}
		s.exceedShare += exceedWeight * (value - s.exceedShare)
	}
	_ = s.current.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)) // fails only for values out of range
	if now.Sub(s.windowStart) >= minWindowAge && s.current.TotalCount() >= minWindowSamples {
		s.rotate(now)
	}
}

// rotate starts a new window and reuses the oldest histogram.
func (s *serviceState) rotate(now time.Time) {
	s.past = append(s.past, s.current)
	s.windowStart = now
	s.computedCount = 0
	if len(s.past) <= maxPastWindows {
		s.current = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		return
	}
	s.current = s.past[0]
	s.current.Reset()
	s.past = slices.Delete(s.past, 0, 1)
}

func (s *serviceState) hedgeAfter(quantile float64) (time.Duration, bool) {
	s.updateDelay(quantile)
	return s.delay, s.delay > 0 && s.exceedShare <= exceedLimit
}

// updateDelay recomputes the delay if it is out of date.
func (s *serviceState) updateDelay(quantile float64) {
	if s.current == nil {
		return
	}
	count := s.current.TotalCount()
	if len(s.past) == 0 && count < minWindowSamples {
		return
	}
	count = max(count, 1) // the past windows give a value even if the current one is empty
	if quantile == s.quantile && s.computedCount > 0 && (count < s.computedCount+refreshSamples || s.exceedShare > refreshExceedLimit) {
		return
	}
	s.quantile, s.computedCount = quantile, count
	s.delay = time.Duration(s.learnedQuantile(quantile)) * time.Microsecond
}

// learnedQuantile returns the median of the quantiles of the past windows in microseconds, or
// the quantile of the current window if there is no past one. If the quantile of the latest
// window is far below the median, an overload has ended, and this quantile is used. A delay
// that is too long prevents hedges, while the budget limits the effect of one that is too
// short.
func (s *serviceState) learnedQuantile(quantile float64) int64 {
	if len(s.past) == 0 {
		return s.current.ValueAtQuantile(100 * quantile)
	}
	values := make([]int64, 0, maxPastWindows)
	for _, w := range s.past {
		values = append(values, w.ValueAtQuantile(100*quantile))
	}
	slices.Sort(values)
	learned := values[(len(values)-1)/2]
	last := s.past[len(s.past)-1]
	if s.current.TotalCount() >= minWindowSamples {
		last = s.current
	}
	if recent := last.ValueAtQuantile(100 * quantile); fallFactor*recent < learned {
		return recent
	}
	return learned
}
