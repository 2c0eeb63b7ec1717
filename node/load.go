package node

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// attemptCPUTime is the processor time of one request to a target, including its share of
	// the request to all shards that it belongs to; see BenchmarkGather of package relay.
	attemptCPUTime = 30 * time.Microsecond
	// loadTimeConstant is the time constant of the moving average of the request rate.
	loadTimeConstant = 2 * time.Second
)

// loadMeter estimates the share of the processor that relaying takes from the number of
// requests to targets. The processor time of the process is unsuitable for that: it includes
// the start, and work that does not grow with the requests. Only one goroutine may call
// update.
type loadMeter struct {
	updated time.Time
	count   int64
	rate    float64 // requests per second
	load    atomic.Uint64
}

// update records the total number of requests to targets so far. The processor is given in
// cores; 0 if not known.
func (m *loadMeter) update(now time.Time, count int64, cores float64) {
	elapsed := now.Sub(m.updated)
	if !m.updated.IsZero() && elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/loadTimeConstant.Seconds())
		m.rate += weight * (float64(count-m.count)/elapsed.Seconds() - m.rate)
	}
	m.updated, m.count = now, count
	if cores > 0 {
		m.load.Store(math.Float64bits(m.rate * attemptCPUTime.Seconds() / cores))
	}
}

// share returns the estimated share of the processor.
func (m *loadMeter) share() float64 { return math.Float64frombits(m.load.Load()) }
