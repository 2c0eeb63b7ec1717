// Package eventlog bounds the volume of log lines: each kind of event has a maximum rate, and
// the first line after omitted ones reports how many were omitted.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// queueSize is the maximum number of lines that wait for the output. Lines beyond it are
	// dropped.
	queueSize = 4096
	// pollInterval is how often waiting lines are written.
	pollInterval = 20 * time.Millisecond
)

// NewWriter returns a writer that never blocks. If the output is too slow, it drops lines and
// logs how many.
func NewWriter(out io.Writer) io.WriteCloser {
	return diode.NewWriter(out, queueSize, pollInterval, func(missed int) {
		l := zerolog.New(out)
		l.Warn().Int("dropped", missed).Msg("log lines dropped; the output is too slow")
	})
}

// Limiter bounds the rate of log lines of each kind of event. Exported fields must be set
// before use. It is safe for concurrent use.
type Limiter struct {
	Clock clockwork.Clock

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind counts the lines of one kind of event in a second, and those omitted since the last one.
type kind struct {
	second  int64
	written int
	omitted int
}

// Allow reports whether a line of the named kind may be written now, if perSecond lines are
// allowed per second. If so, it also returns the number of lines omitted since the last one.
func (l *Limiter) Allow(name string, perSecond int) (omitted int, ok bool) {
	now := l.Clock.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		if l.kinds == nil {
			l.kinds = map[string]*kind{}
		}
		k = &kind{}
		l.kinds[name] = k
	}
	if k.second != now {
		k.second, k.written = now, 0
	}
	if k.written >= perSecond {
		k.omitted++
		return 0, false
	}
	k.written++
	omitted, k.omitted = k.omitted, 0
	return omitted, true
}
