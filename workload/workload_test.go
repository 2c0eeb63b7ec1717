package workload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestCosts guards against an estimate that mixes kinds, that trusts a single sample, or that a burst of
// unknown kinds replaces.
func TestCosts(t *testing.T) {
	is := is.New(t)
	var c Costs
	light, heavy := NewKind("r", "GET", "light/1", "", 0), NewKind("r", "GET", "heavy/1", "", 0)
	is.Equal(c.Estimate(epoch, light), Estimate{Relative: 1}) // nothing is known
	for i := range 200 {
		c.Observe(epoch, light, 10*ms)
		if i%10 == 0 {
			c.Observe(epoch, heavy, 200*ms)
		}
	}
	is.True(c.Estimate(epoch, light).Mean < 20*ms)
	is.True(c.Estimate(epoch, heavy).Mean > 120*ms)
	is.True(c.Estimate(epoch, heavy).Relative > 3)
	is.Equal(NewKind("r", "GET", "heavy/2", "", 0), heavy) // another object below the same path

	unknown := c.Estimate(epoch, NewKind("r", "POST", "other/1", "", 5000))
	is.Equal(unknown.Relative, 1.0) // that of the route
	for i := range 20 * kindSets * kindWays {
		c.Observe(epoch.Add(time.Second), NewKind("s", "GET", fmt.Sprint(i, "/x"), fmt.Sprint(i), 0), 5*ms)
	}
	is.Equal(c.Estimate(epoch, NewKind("r", "POST", "other/1", "", 5000)), unknown) // the route is kept
}

// TestEstimateFollowsChange guards against estimates that one request far above the others shifts, and
// against those that don't follow a lasting change.
func TestEstimateFollowsChange(t *testing.T) {
	is := is.New(t)
	var c Costs
	k := NewKind("r", "GET", "a/1", "", 0)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		c.Observe(epoch, k, time.Duration((0.5+rng.Float64())*float64(20*ms)))
	}
	before := c.Estimate(epoch, k)
	is.True(before.Mean > 18*ms && before.Mean < 22*ms)
	is.True(before.Bound > 26*ms && before.Bound < 32*ms) // the 0.95 quantile is 29 ms
	c.Observe(epoch, k, 10*time.Second)
	is.True(c.Estimate(epoch, k).Mean < 25*ms)
	for range 200 {
		c.Observe(epoch, k, 60*ms)
	}
	is.True(c.Estimate(epoch, k).Mean > 55*ms)
}

// TestSpeedIsNotCost guards against requests that count as costly because their target is slow: it would
// count as fast for the other kinds then.
func TestSpeedIsNotCost(t *testing.T) {
	is := is.New(t)
	var c Costs
	targets := []struct {
		Target
		slow float64
	}{{slow: 1}, {slow: 1}, {slow: 3}}
	kinds := []Kind{NewKind("heavy", "GET", "", "", 0), NewKind("light", "GET", "", "", 0)}
	work := []time.Duration{20 * ms, 5 * ms}
	now := epoch
	for i := range 600 {
		r, k := &targets[i%3], i/3%2
		now = now.Add(10 * ms)
		r.Start(now, c.Estimate(now, kinds[k]), 4)
		took := time.Duration(r.slow * float64(work[k]))
		c.Observe(now.Add(took), kinds[k], r.ObserveSpeed(now.Add(took), took, r.End(now.Add(took), now, true)))
	}
	ratio := targets[2].Slowness(now) / targets[0].Slowness(now)
	is.True(ratio > 2.7 && ratio < 3.3)
	costs := float64(c.Estimate(now, kinds[0]).Mean) / float64(c.Estimate(now, kinds[1]).Mean)
	is.True(costs > 3.6 && costs < 4.4)
	is.True(targets[2].Slowness(now.Add(time.Minute)) < 1.1) // tried again when nothing is known of it any more
}

// TestForecast guards against work that is sent to a target which can't begin with it, or which has
// stopped.
func TestForecast(t *testing.T) {
	is := is.New(t)
	e := Estimate{Mean: 20 * ms, Bound: 40 * ms, Relative: 1}
	var r Target
	is.Equal(r.Forecast(epoch, e, 2, 1), Forecast{Completion: 20 * ms, Cost: 20 * ms})
	for range 2 {
		r.Start(epoch, e, 2)
	}
	is.Equal(r.Forecast(epoch, e, 2, 1).Wait, 20*ms) // all slots are taken
	is.Equal(r.Forecast(epoch, e, 2, 10).Cost, 220*ms)
	is.Equal(r.Forecast(epoch.Add(50*ms), e, 2, 1).Silence, 20*ms)
	is.Equal(r.Forecast(epoch.Add(time.Second), e, 2, 1).Silence, maxSilence)

	r.Abandon(epoch.Add(50*ms), epoch) // a hedge was faster; the target may have stopped nevertheless
	is.True(r.Forecast(epoch.Add(60*ms), e, 2, 1).Silence > 0)
	is.Equal(r.End(epoch.Add(100*ms), epoch, true).Completion, 20*ms)
	is.Equal(r.Forecast(epoch.Add(100*ms), e, 2, 1).Silence, time.Duration(0)) // it has replied
	is.Equal(r.Outstanding(epoch.Add(time.Second)), time.Duration(0))

	for range 3 * maxOutstanding {
		r.Start(epoch, e, 2)
	}
	is.True(r.Outstanding(epoch) == 3*maxOutstanding*20*ms) // also of those that are not tracked
	for range 3 * maxOutstanding {
		r.End(epoch.Add(ms), epoch, true)
	}
	is.Equal(r.Outstanding(epoch.Add(ms)), time.Duration(0))
}
