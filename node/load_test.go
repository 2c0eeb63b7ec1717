package node

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a load that jumps with single requests, that never falls, or that does not
// depend on the processor capacity of the host.
func TestLoadMeter(t *testing.T) {
	is := is.New(t)
	approxEqual := func(got, want float64) bool { return math.Abs(got-want) < 0.01*want+1e-6 }
	start := time.Unix(100, 0)
	const perSecond = 500
	full := perSecond * attemptCPUTime.Seconds() / 0.2
	var m loadMeter
	m.update(start, 0, 0.2)
	is.Equal(m.share(), 0.0)
	m.update(start.Add(time.Second), perSecond, 0.2)
	is.True(m.share() > 0.3*full && m.share() < 0.5*full)
	for s := 2; s <= 20; s++ {
		m.update(start.Add(time.Duration(s)*time.Second), int64(s)*perSecond, 0.2)
	}
	is.True(approxEqual(m.share(), full))
	for s := 21; s <= 40; s++ {
		m.update(start.Add(time.Duration(s)*time.Second), 20*perSecond, 0.2)
	}
	is.True(m.share() < 0.001*full)
	var unknown loadMeter
	unknown.update(start, 0, 0)
	unknown.update(start.Add(time.Second), perSecond, 0)
	is.Equal(unknown.share(), 0.0) // the processor capacity is not known
}
