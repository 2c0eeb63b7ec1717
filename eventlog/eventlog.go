// Package eventlog bounds the volume of log lines: each kind of event has a rate,
// and a line that follows omitted ones says how many were left out.
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
	// queued is the number of lines that wait for the output before lines are dropped.
	queued = 4096
	// poll is how often waiting lines are written.
	poll = 20 * time.Millisecond
)

// NewWriter returns a writer that never blocks. It drops lines that the output does
// not take in time and says how many.
func NewWriter(out io.Writer) io.WriteCloser {
	return diode.NewWriter(out, queued, poll, func(missed int) {
		l := zerolog.New(out)
		l.Warn().Int("dropped", missed).Msg("log lines dropped, the output is too slow")
	})
}

// Limiter bounds the lines of each kind of event. Exported fields are set before
// use. It is safe for concurrent use.
type Limiter struct {
	Clock clockwork.Clock

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	second  int64
	written int
	omitted int
}

// Allow reports whether a line of the kind may be written now, given how many may be
// in a second, and how many lines were left out since the last one.
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
