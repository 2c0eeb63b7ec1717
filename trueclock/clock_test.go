package trueclock

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against windows that begin early or late because the time of day is wrong on this host or on a few others,
// because messages are delayed, or because this host was suspended.
func TestClock(t *testing.T) {
	is := is.New(t)
	uptime, step := 100*time.Second, time.Duration(0)
	truth := func() time.Time { return time.Unix(1000, 0).Add(uptime) }
	c := &Clock{Uptime: func() time.Duration { return uptime }, TimeOfDay: func() time.Time { return truth().Add(step) }}
	steps := map[string]time.Duration{}
	exchange := func() {
		for i := range 5 {
			host := fmt.Sprint("c", i)
			delay := time.Duration((int(uptime/time.Second)*7+i*3)%10) * 10 * time.Millisecond
			c.Observe(host, truth().Add(steps[host]-delay))
		}
	}
	check := func() {
		t.Helper()
		off := c.Now().Sub(truth())
		is.True(off > -20*time.Millisecond && off < 20*time.Millisecond)
	}
	advance := func(d time.Duration) {
		for range int(d / time.Second) {
			uptime += time.Second
			exchange()
		}
	}
	check() // alone
	advance(30 * time.Second)
	check()
	step, steps["c1"] = -5*time.Second, 3*time.Second
	advance(time.Second)
	check()
	step, steps["c1"], steps["c2"] = 0, -4*time.Second, 2*time.Second
	advance(time.Second)
	check()
	uptime += 7 * time.Second // suspended
	check()
	step = 9 * time.Second // and cut off
	uptime += 20 * time.Second
	check()
	steps["c1"], steps["c2"], step = 0, 0, 0
	advance(2 * time.Minute)
	check()
}

// Guards against a clock that can't be read on the platform.
func TestUptime(t *testing.T) {
	is := is.New(t)
	first := Uptime()
	is.True(first > 0)
	is.True(Uptime() >= first)
}
