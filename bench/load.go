package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sample is the outcome of one request.
type Sample struct {
	// Complete is true if every shard answered.
	Complete bool
	// Refused is true if the request was refused or failed. For a Baseline, an incomplete answer
	// is a failure.
	Refused bool
	// Reason is the text of the refusal without the expected wait, which differs between refusals.
	Reason string
}

// Load is an open-loop load: requests are sent on schedule, regardless of the outcome of earlier
// ones. The caller sets the fields before Run.
type Load struct {
	Rate   float64 // requests per second
	Length time.Duration
	// Timeout bounds a request. The latency of a request that is not complete in time is recorded
	// as at least Timeout.
	Timeout time.Duration
	Rand    *rand.Rand
	Send    func(ctx context.Context, n int) Sample
}

// Outcome has the measurements of one load.
type Outcome struct {
	Rate                   float64
	Sent, Complete, InTime int
	Refused                int
	// Lag has the delays of requests against their schedule, Refusal the latencies of refusals.
	Latency, Lag, Refusal *hdrhistogram.Histogram
	Length                time.Duration
	// Reasons has the number of refusals by reason.
	Reasons map[string]int
}

// P99 returns the 99th percentile of the latency in milliseconds.
func (o *Outcome) P99() float64 { return p99Millis(o.Latency) }

// Goodput returns the number of complete answers in time per second.
func (o *Outcome) Goodput() float64 { return float64(o.InTime) / o.Length.Seconds() }

// CompleteShare returns the share of requests that got a complete answer in time.
func (o *Outcome) CompleteShare() float64 { return float64(o.InTime) / float64(max(1, o.Sent)) }

// Run sends the requests at exponentially distributed intervals. Latencies are measured from the
// scheduled times, so that they include the delay of a generator that falls behind.
func (l *Load) Run(ctx context.Context) *Outcome {
	out := &Outcome{
		Rate: l.Rate, Length: l.Length, Latency: newHistogram(), Lag: newHistogram(), Refusal: newHistogram(),
		Reasons: map[string]int{},
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(l.Rand.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= l.Length || ctx.Err() != nil {
			break
		}
		due := start.Add(at)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			lag := time.Since(due)
			timed, cancel := context.WithDeadline(ctx, due.Add(l.Timeout))
			defer cancel()
			s := l.Send(timed, n)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			out.add(s, took, lag, l.Timeout)
		})
	}
	wg.Wait()
	return out
}

func (o *Outcome) add(s Sample, took, lag, timeout time.Duration) {
	o.Sent++
	record(o.Lag, lag)
	if s.Complete {
		o.Complete++
	}
	if s.Refused {
		o.Refused++
		o.Reasons[s.Reason]++
		record(o.Refusal, took)
	}
	if s.Complete && took <= timeout {
		o.InTime++
		record(o.Latency, took)
		return
	}
	record(o.Latency, max(took, timeout))
}

// MeasureCapacity measures the capacity with a closed loop: the number of complete answers per
// second that the given number of workers get. The first third of the time is a warm-up that is
// not counted.
func MeasureCapacity(ctx context.Context, workers int, length, timeout time.Duration, send func(ctx context.Context, n int) Sample) float64 {
	start := time.Now()
	from, end := start.Add(length/3), start.Add(length)
	var mu sync.Mutex
	var wg sync.WaitGroup
	complete, n := 0, 0
	for range workers {
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				mu.Lock()
				n++
				id := n
				mu.Unlock()
				timed, cancel := context.WithTimeout(ctx, timeout)
				s := send(timed, id)
				cancel()
				mu.Lock()
				if now := time.Now(); s.Complete && now.After(from) && now.Before(end) {
					complete++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(complete) / end.Sub(from).Seconds()
}
