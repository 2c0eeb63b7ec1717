package node

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// attemptTime is the processor time of one request to a target, with its part of the
	// request to all shards that it belongs to; see BenchmarkGather of package relay.
	attemptTime = 30 * time.Microsecond
	// loadMemory is the time constant with which the load follows the requests.
	loadMemory = 2 * time.Second
)

// meter measures the share of the processor that relaying takes from the number of
// requests to targets. The processor time of the process is of no use for that: it holds
// the start, and work that does not grow with the requests. Update belongs to one
// goroutine.
type meter struct {
	at    time.Time
	count int64
	rate  float64 // requests per second
	load  atomic.Uint64
}

// update takes the number of requests to targets so far. The processor is in cores.
func (m *meter) update(now time.Time, count int64, processor float64) {
	passed := now.Sub(m.at)
	if !m.at.IsZero() && passed > 0 {
		weight := 1 - math.Exp(-passed.Seconds()/loadMemory.Seconds())
		m.rate += weight * (float64(count-m.count)/passed.Seconds() - m.rate)
	}
	m.at, m.count = now, count
	if processor > 0 {
		m.load.Store(math.Float64bits(m.rate * attemptTime.Seconds() / processor))
	}
}

// share returns the share of the processor.
func (m *meter) share() float64 { return math.Float64frombits(m.load.Load()) }
