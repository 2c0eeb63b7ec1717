package route

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowAge and windowSamples are the least age and size of a window of
	// latencies before the next one starts. Below 100 samples, the 0.95 quantile
	// rests on fewer than 5 of them.
	windowAge     = 10 * time.Second
	windowSamples = 100
	// windowCount is the number of past windows. The learned value is the median of
	// theirs, so it follows a change after half of them: 40 s under load.
	windowCount = 8
	// refresh is how many samples apart the value is recomputed in the first window,
	// and refreshLimit the share of samples above it from which it is not: otherwise
	// it would follow a fault in the first seconds at once.
	refresh      = 64
	refreshLimit = 0.1
	// lowest, highest (microseconds) and digits bound a histogram to about 20 KiB.
	lowest  = 1
	highest = 60_000_000
	digits  = 2
	// exceedWeight is the weight of a sub-request in the share of those that exceed
	// the learned value: 19 slow ones in a row exceed exceedLimit.
	exceedWeight = 1.0 / 64
	// exceedLimit is the share above which everything counts as slow.
	exceedLimit = 0.25
	// riseFactor is how far the share that exceeds the learned value may exceed the
	// planned one before sub-requests that lost against their hedges raise the value.
	riseFactor = 2
	// fallFactor is how far the latest window must be below the learned value to be
	// used instead. At 2, the spread between windows of 100 samples has no effect.
	fallFactor = 2
	// serviceShedWeight is the weight of a reply in the share of shed replies of a
	// service.
	serviceShedWeight = 1.0 / 32
)

// service is what is known about the sub-requests of one service.
type service struct {
	budget Budget

	current *hdrhistogram.Histogram
	started time.Time
	past    []*hdrhistogram.Histogram

	// quantile is the one that delay was computed for, after computed samples.
	quantile float64
	delay    time.Duration
	computed int64
	// exceed is the share of recent sub-requests above delay.
	exceed float64
	// shed is the share of recent replies that were shed.
	shed float64
}

// observe records the latency of a sub-request. One that timed out or lost against
// its hedge counts if it had taken longer than the learned value: leaving it out
// would lower the quantile, and so cause more and more hedges. A hedge that was
// cancelled early says nothing.
func (s *service) observe(now time.Time, latency time.Duration, o Outcome) {
	exceeds := s.delay > 0 && latency > s.delay
	switch o {
	case Success:
		s.record(now, latency, exceeds)
		s.shed -= serviceShedWeight * s.shed
	case TimedOut:
		if exceeds {
			s.record(now, latency, true)
		}
	case Cancelled:
		if exceeds {
			s.record(now, s.bound(latency), true)
		}
	case Shed:
		s.shed += serviceShedWeight * (1 - s.shed)
	}
}

// bound is what a sub-request that lost against its hedge counts with. As many as
// planned exceed the learned value, so taking the time at which they lost would
// make the quantile jump between the two. If far more do, it has to rise.
func (s *service) bound(latency time.Duration) time.Duration {
	if s.exceed <= riseFactor*(1-s.quantile) {
		return s.delay
	}
	return latency
}

func (s *service) record(now time.Time, latency time.Duration, exceeds bool) {
	if s.current == nil {
		s.current, s.started = hdrhistogram.New(lowest, highest, digits), now
	}
	if s.delay > 0 {
		value := 0.0
		if exceeds {
			value = 1
		}
		s.exceed += exceedWeight * (value - s.exceed)
	}
	_ = s.current.RecordValue(min(max(latency.Microseconds(), lowest), highest)) // in range
	if now.Sub(s.started) >= windowAge && s.current.TotalCount() >= windowSamples {
		s.rotate(now)
	}
}

// rotate starts a new window, reusing the oldest histogram.
func (s *service) rotate(now time.Time) {
	s.past = append(s.past, s.current)
	s.started = now
	s.computed = 0
	if len(s.past) <= windowCount {
		s.current = hdrhistogram.New(lowest, highest, digits)
		return
	}
	s.current = s.past[0]
	s.current.Reset()
	s.past = slices.Delete(s.past, 0, 1)
}

func (s *service) hedgeAfter(quantile float64) (time.Duration, bool) {
	s.learn(quantile)
	return s.delay, s.delay > 0 && s.exceed <= exceedLimit
}

// learn recomputes the quantile if it is out of date.
func (s *service) learn(quantile float64) {
	if s.current == nil {
		return
	}
	count := s.current.TotalCount()
	if len(s.past) == 0 && count < windowSamples {
		return
	}
	count = max(count, 1) // at the start of a window, past ones still give a value
	if quantile == s.quantile && s.computed > 0 && (count < s.computed+refresh || s.exceed > refreshLimit) {
		return
	}
	s.quantile, s.computed = quantile, count
	s.delay = time.Duration(s.value(quantile)) * time.Microsecond
}

// value returns the median over the past windows of the quantile in microseconds,
// or that of the first window while there is no other. If the latest window is far
// below the median, an overload has ended, and its own quantile is used: a delay
// that is too long holds hedges back, one that is too short is bounded by the budget.
func (s *service) value(quantile float64) int64 {
	if len(s.past) == 0 {
		return s.current.ValueAtQuantile(100 * quantile)
	}
	values := make([]int64, 0, windowCount)
	for _, w := range s.past {
		values = append(values, w.ValueAtQuantile(100*quantile))
	}
	slices.Sort(values)
	learned := values[(len(values)-1)/2]
	last := s.past[len(s.past)-1]
	if s.current.TotalCount() >= windowSamples {
		last = s.current
	}
	if recent := last.ValueAtQuantile(100 * quantile); fallFactor*recent < learned {
		return recent
	}
	return learned
}
