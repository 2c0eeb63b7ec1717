package workload

import (
	"math"
	"time"
)

const (
	// maxOutstanding bounds the requests to a target that are tracked one by one.
	maxOutstanding = 16
	// minSpeedWeight is the smallest weight of a new sample of the slowness of a target, and
	// speedDecayTime the time constant with which it returns to 1, so that a slow target is tried
	// again.
	minSpeedWeight = 0.1
	speedDecayTime = 10 * time.Second
	// speedPull returns a part of the slowness to 1 with each sample. If all targets of a service
	// become slower, their requests count as more costly in the end.
	speedPull = 0.005
	// maxSlownessLog bounds the logarithm of what one sample says, because a target that has stopped
	// for a moment isn't slow afterwards.
	maxSlownessLog = 1.5
	// silenceFactor is how many times as long as it has been silent a target is expected to stay
	// silent, and maxSilence the limit of that time.
	silenceFactor = 2
	maxSilence    = 250 * time.Millisecond
	// abandonedTime is how long a request that is no longer waited for counts as work of its target.
	abandonedTime = 250 * time.Millisecond
	// residualShare is the part of its cost that is expected to be left of a request that has taken
	// longer than its cost.
	residualShare = 0.25
)

// Target is what this host knows of the work of one target. The zero value is a target of ordinary
// speed without work.
type Target struct {
	outstanding [maxOutstanding]request
	n           int
	// untracked counts the requests beyond maxOutstanding.
	untracked int
	// slowness is the logarithm of how many times as long as on an ordinary target requests take.
	slowness float64
	samples  int
	sampled  time.Time
	// replied is the time of the last reply.
	replied time.Time
}

// request is a request that was sent to the target and is not answered.
type request struct {
	started time.Time
	// mean and bound are the cost, and forecast is that at the time when it was sent.
	mean, bound time.Duration
	forecast    Forecast
	// abandoned is the time from which its reply is not waited for; zero before.
	abandoned time.Time
}

// Forecast is when a target is expected to have done one more request.
type Forecast struct {
	// Completion is the expected time until the reply, and Wait the part of it before the target
	// begins with the request.
	Completion, Wait time.Duration
	// Silence is the part of Wait due to replies that are overdue.
	Silence time.Duration
	// Cost is Completion with the work that other hosts are assumed to have sent. It compares targets
	// and isn't a time that is expected.
	Cost time.Duration
}

// Forecast returns when one more request is expected to be done by the target, which has the number of
// slots; 0 if it is unknown. hosts is the number of hosts that send to it: each is assumed to have sent
// as much as this one.
func (t *Target) Forecast(now time.Time, e Estimate, slots int, hosts float64) Forecast {
	t.expire(now)
	slow := t.Slowness(now)
	slots = max(slots, 1)
	outstanding := time.Duration(slow * float64(t.Outstanding(now)) / float64(slots))
	var f Forecast
	f.Silence = t.silence(now, slow)
	f.Wait = f.Silence
	if t.n+t.untracked >= slots {
		f.Wait += outstanding
	}
	f.Completion = f.Wait + time.Duration(slow*float64(e.Mean))
	f.Cost = f.Completion - f.Wait + f.Silence + time.Duration(max(1, hosts)*float64(outstanding))
	return f
}

// Outstanding returns the work that the target still has to do for this host, as the cost on a target
// of ordinary speed.
func (t *Target) Outstanding(now time.Time) time.Duration {
	var sum time.Duration
	slow := t.Slowness(now)
	for i := range t.n {
		r := &t.outstanding[i]
		done := time.Duration(float64(now.Sub(r.started)) / slow)
		sum += max(r.mean-done, time.Duration(residualShare*float64(r.mean)))
	}
	if t.n > 0 {
		sum += sum / time.Duration(t.n) * time.Duration(t.untracked)
	}
	return sum
}

// silence returns how long a target is expected to send nothing, because a reply is overdue and it has
// sent no other since.
func (t *Target) silence(now time.Time, slow float64) time.Duration {
	var longest time.Duration
	for i := range t.n {
		r := &t.outstanding[i]
		if r.bound == 0 {
			continue
		}
		allowed := max(r.forecast.Completion, time.Duration(slow*float64(r.bound)))
		since := r.started
		if t.replied.After(since) {
			since = t.replied
		}
		longest = max(longest, now.Sub(since)-allowed)
	}
	return min(silenceFactor*longest, maxSilence)
}

// Slowness returns how many times as long as on an ordinary target a request takes.
func (t *Target) Slowness(now time.Time) float64 {
	if t.slowness == 0 {
		return 1
	}
	return math.Exp(t.slowness * decay(now.Sub(t.sampled), speedDecayTime))
}

// Start records that a request was sent.
func (t *Target) Start(now time.Time, e Estimate, slots int) {
	if t.n == maxOutstanding {
		t.untracked++
		return
	}
	t.outstanding[t.n] = request{started: now, mean: e.Mean, bound: e.Bound, forecast: t.Forecast(now, e, slots, 1)}
	t.n++
}

// Abandon records that the reply to a request that was started at the time is not waited for any more,
// and returns what was expected of it. The target may still work on it.
func (t *Target) Abandon(now, started time.Time) Forecast {
	r := t.find(started)
	if r == nil {
		t.untracked = max(0, t.untracked-1)
		return Forecast{}
	}
	r.abandoned = now
	return r.forecast
}

// End removes a request that was started at the time, and returns what was expected of it; the zero
// value if that is unknown.
func (t *Target) End(now, started time.Time, replied bool) Forecast {
	if replied {
		t.replied = now
	}
	r := t.find(started)
	if r == nil {
		t.untracked = max(0, t.untracked-1)
		return Forecast{}
	}
	f := r.forecast
	t.n--
	*r = t.outstanding[t.n]
	return f
}

// ObserveSpeed records the time that a request took, compared with what was expected. It returns its
// cost: the time that it would have taken on an ordinary target without other work.
func (t *Target) ObserveSpeed(now time.Time, took time.Duration, expected Forecast) time.Duration {
	slow := t.Slowness(now)
	if took <= 0 || expected.Completion <= 0 {
		return time.Duration(float64(took) / slow)
	}
	sample := math.Log(float64(took) / float64(expected.Completion))
	t.samples++
	weight := max(1/float64(t.samples+1), minSpeedWeight, 1-decay(now.Sub(t.sampled), speedDecayTime))
	current := math.Log(slow)
	t.slowness = (1 - speedPull) * (current + weight*min(max(sample, -maxSlownessLog), maxSlownessLog))
	t.sampled = now
	worked := float64(expected.Completion-expected.Wait) / float64(expected.Completion) * float64(took)
	return time.Duration(worked / slow)
}

func (t *Target) find(started time.Time) *request {
	for i := range t.n {
		if r := &t.outstanding[i]; r.abandoned.IsZero() && r.started.Equal(started) {
			return r
		}
	}
	return nil
}

// expire removes the requests that were abandoned some time ago, or that were sent before the last
// reply and abandoned.
func (t *Target) expire(now time.Time) {
	for i := 0; i < t.n; i++ {
		r := &t.outstanding[i]
		if r.abandoned.IsZero() || now.Sub(r.abandoned) < abandonedTime && !t.replied.After(r.abandoned) {
			continue
		}
		t.n--
		*r = t.outstanding[t.n]
		i--
	}
}
