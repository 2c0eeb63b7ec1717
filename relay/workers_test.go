package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that wait for busy goroutines, and against goroutines that are kept
// without bound after a burst.
func TestWorkers(t *testing.T) {
	is := is.New(t)
	const tasks = 3 * maxIdleWorkers
	var done atomic.Int32
	release := make(chan struct{})
	running := make(chan struct{}, tasks)
	w := newWorkers(func(int) {
		running <- struct{}{}
		<-release
		done.Add(1)
	})
	for i := range tasks {
		w.start(i)
	}
	for range tasks {
		<-running // all of them run at the same time
	}
	close(release)
	for done.Load() < tasks || w.idle.Load() != maxIdleWorkers {
		time.Sleep(time.Millisecond)
	}
	w.start(0)
	<-running
	for done.Load() < tasks+1 {
		time.Sleep(time.Millisecond)
	}
	is.True(w.idle.Load() <= maxIdleWorkers)
}

// Guards against an attempt that continues after its request has ended, and against an outcome
// that hides that the deadline was the cause.
func TestCancellation(t *testing.T) {
	is := is.New(t)
	parent, cancel := context.WithCancel(t.Context())
	c := &cancellation{parent: parent}
	interrupted := make(chan struct{}, 2)
	c.Watch(func() { interrupted <- struct{}{} })
	is.True(c.Unwatch())
	c.Watch(func() { interrupted <- struct{}{} })
	is.NoErr(c.Err())
	c.end()
	c.end()
	<-interrupted
	<-c.Done()
	is.True(!c.Unwatch())
	is.True(errors.Is(c.Err(), context.Canceled))
	c.Watch(func() { interrupted <- struct{}{} }) // it has ended: called at once
	<-interrupted
	is.Equal(len(interrupted), 0)
	cancel()

	expired, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	late := &cancellation{parent: expired}
	late.end()
	is.True(errors.Is(late.Err(), context.DeadlineExceeded))
	<-late.Done()
}
