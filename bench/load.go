package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sample is what came of one request.
type Sample struct {
	// Whole states that every shard answered.
	Whole bool
	// Refused states that the request was refused or failed as a whole.
	Refused bool
	// Reason is the text of the refusal, without numbers that differ each time.
	Reason string
}

// Load is an open-loop load: requests leave on schedule, whatever became of the
// ones before. Exported fields are set before Run.
type Load struct {
	Rate   float64 // requests per second
	Length time.Duration
	// Timeout bounds a request. One that is not whole by then counts with it.
	Timeout time.Duration
	Rand    *rand.Rand
	Send    func(ctx context.Context, n int) Sample
}

// Outcome is what a load measured.
type Outcome struct {
	Rate                  float64
	Sent, Whole, InTime   int
	Refused               int
	Latency, Lag, Refusal *hdrhistogram.Histogram
	Length                time.Duration
	// Reasons counts refusals by reason.
	Reasons map[string]int
}

// P99 returns the 99th percentile of the latency in milliseconds.
func (o *Outcome) P99() float64 { return millis(o.Latency) }

// Goodput returns the whole answers in time per second.
func (o *Outcome) Goodput() float64 { return float64(o.InTime) / o.Length.Seconds() }

// WholeShare returns the share of requests that got a whole answer in time.
func (o *Outcome) WholeShare() float64 { return float64(o.InTime) / float64(max(1, o.Sent)) }

// Run sends the requests. Their spacing is exponential. Latencies count from the
// scheduled time, so that a generator that falls behind does not hide a wait.
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
	if s.Whole {
		o.Whole++
	}
	if s.Refused {
		o.Refused++
		o.Reasons[s.Reason]++
		record(o.Refusal, took)
	}
	if s.Whole && took <= timeout {
		o.InTime++
		record(o.Latency, took)
		return
	}
	record(o.Latency, max(took, timeout))
}

// Probe measures the capacity with a closed loop: the whole answers per second of
// so many workers. The first third of the time is not counted.
func Probe(ctx context.Context, workers int, length, timeout time.Duration, send func(ctx context.Context, n int) Sample) float64 {
	start := time.Now()
	from, end := start.Add(length/3), start.Add(length)
	var mu sync.Mutex
	var wg sync.WaitGroup
	whole, n := 0, 0
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
				if now := time.Now(); s.Whole && now.After(from) && now.Before(end) {
					whole++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(whole) / end.Sub(from).Seconds()
}
