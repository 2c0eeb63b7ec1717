package relay

import (
	"context"
	"sync"
	"time"
)

// cancellation is the context of an attempt. It is cheaper than a child of the context of the
// request: a request to all shards needs one for each shard. It does not end with its parent; the
// fetch group cancels it when the request ends.
type cancellation struct {
	parent context.Context

	mu sync.Mutex
	// done is created by the first call of Done, and closed when err is set.
	done chan struct{}
	err  error
	// interrupt is called once when err is set; see Watch.
	interrupt func()
}

// end ends the context with the error of its parent, or else with context.Canceled. Further
// calls have no effect.
func (c *cancellation) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	if c.err = c.parent.Err(); c.err == nil {
		c.err = context.Canceled
	}
	if c.done != nil {
		close(c.done)
	}
	if c.interrupt != nil {
		go c.interrupt()
		c.interrupt = nil
	}
}

// Deadline returns the deadline of the request.
func (c *cancellation) Deadline() (time.Time, bool) { return c.parent.Deadline() }

// Done returns a channel that is closed when the attempt is cancelled.
func (c *cancellation) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.err != nil {
			close(c.done)
		}
	}
	return c.done
}

// Err returns the error with which the attempt was cancelled, or nil.
func (c *cancellation) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Value returns a value of the context of the request.
func (c *cancellation) Value(key any) any { return c.parent.Value(key) }

// Watch implements limit.Watcher.
func (c *cancellation) Watch(interrupt func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go interrupt()
		return
	}
	c.interrupt = interrupt
}

// Unwatch implements limit.Watcher.
func (c *cancellation) Unwatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = nil
	return c.err == nil
}
