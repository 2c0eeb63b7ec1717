package eventlog

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guards against too many lines of one kind, and against omitted lines that are not counted.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(100, 0))
	l := Limiter{Clock: clock}
	written := 0
	for range 10 {
		if _, ok := l.Allow("refused", 2); ok {
			written++
		}
	}
	is.Equal(written, 2)
	_, ok := l.Allow("other", 2)
	is.True(ok)
	clock.Advance(time.Second)
	omitted, ok := l.Allow("refused", 2)
	is.True(ok)
	is.Equal(omitted, 8)
	omitted, _ = l.Allow("refused", 2)
	is.Equal(omitted, 0)
}

// blocked is an output that accepts nothing until it is released.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a request that is blocked by writing a log line.
func TestWriterDoesNotBlock(t *testing.T) {
	out := blocked{make(chan struct{})}
	w := NewWriter(out)
	done := make(chan struct{})
	go func() {
		for range 3 * queueSize {
			_, _ = w.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the writer blocks")
	}
	close(out.release)
	w.Close()
}
