package answer

import (
	"fmt"
	"runtime"
	"testing"
)

// value returns the value of a counter with the given value of one label.
func (c *cluster) value(name, label string) float64 {
	c.metrics.mu.Lock()
	defer c.metrics.mu.Unlock()
	return c.metrics.counts[[2]string{name, label}]
}

// waitDropped waits until n replies were dropped for a reason.
func (c *cluster) waitDropped(t *testing.T, reason string, n int) error {
	t.Helper()
	for {
		got := c.value("wasabirelay_dropped_replies_total", reason)
		if got == float64(n) {
			return nil
		}
		if got > float64(n) || t.Context().Err() != nil {
			return fmt.Errorf("%v replies were dropped for %s, want %d", got, reason, n)
		}
		runtime.Gosched()
	}
}
