package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

// Guards against a host that keeps its requests although it reaches no target, and against one that
// takes a silent target or a pause for lost links.
func TestJudge(t *testing.T) {
	loseEach := func(j *Judge, now time.Time, n, targets int) {
		for i := range n {
			j.RecordLoss(now, fmt.Sprint(i%targets))
		}
	}
	for name, c := range map[string]struct {
		after      time.Duration
		n, targets int
		replied    bool
		lost       bool
	}{
		"all targets are silent":      {time.Second, 10, 10, false, true},
		"one target is silent":        {time.Second, 50, 1, false, false},
		"another target replies":      {time.Second, 8, 8, true, false},
		"replies until a moment ago":  {silence / 2, 10, 10, false, false},
		"too few sub-requests so far": {time.Second, minLost - 1, 4, false, false},
		"no reply since the start":    {0, 10, 10, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var j Judge
			if c.after > 0 {
				j.RecordReply(startTime)
			}
			now := startTime.Add(c.after)
			loseEach(&j, now, c.n/2, c.targets)
			if c.replied {
				j.RecordReply(now)
			}
			loseEach(&j, now, c.n-c.n/2, c.targets)
			is.Equal(j.Lost(), c.lost)
		})
	}
}

// Guards against links that count as lost after they were restored, or that change at every probe.
func TestRestoredLinks(t *testing.T) {
	is := is.New(t)
	var changes []Change
	j := Judge{OnChange: func(c Change) { changes = append(changes, c) }}
	now := startTime
	j.RecordReply(now)
	lose := func() {
		now = now.Add(time.Second)
		for i := range minLost {
			j.RecordLoss(now, fmt.Sprint(i))
		}
	}
	lose()
	is.True(j.Lost())
	j.RecordProbe(now, false)
	j.RecordProbe(now, true)
	j.RecordProbe(now, false)
	is.True(j.Lost()) // one success may be chance
	j.RecordProbe(now, true)
	is.True(!j.Lost()) // the targets of the other probes may be dead
	lose()
	is.True(j.Lost())
	j.RecordProbe(now, true)
	j.RecordProbe(now, true)
	is.True(j.Lost()) // held, because the links were restored just before
	now = now.Add(minHold)
	j.RecordProbe(now, true)
	is.True(!j.Lost())
	is.Equal(len(changes), 4)
	is.Equal(changes[2].Hold, minHold)
}

// Guards against a host that changes its judgement often, or that is not back within the longest
// hold and three probes after its links were restored, whatever the schedule of cuts.
func TestJudgeUnderSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 0))
		changes := 0
		j := Judge{OnChange: func(Change) { changes++ }}
		now, cut := startTime, false
		const step = 50 * time.Millisecond
		run := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(step) {
				for range random.IntN(8) {
					switch {
					case j.Lost():
					case cut:
						j.RecordLoss(now, fmt.Sprint(random.IntN(6)))
					default:
						j.RecordReply(now)
					}
				}
				if j.Lost() && now.Sub(startTime)%ProbeInterval == 0 {
					j.RecordProbe(now, !cut)
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "cuts") {
			cut = true
			run(time.Duration(random.IntN(100)) * step)
			cut = false
			run(time.Duration(random.IntN(100)) * step)
		}
		run(maxHold + 3*ProbeInterval + time.Second)
		if j.Lost() {
			t.Fatal("the links still count as lost")
		}
		if elapsed := now.Sub(startTime); changes > 2+2*int(elapsed/time.Second) {
			t.Fatalf("%d changes in %s", changes, elapsed)
		}
	})
}
