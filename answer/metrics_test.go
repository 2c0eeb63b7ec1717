package answer

import (
	"fmt"
	"runtime"
	"testing"
)

// value returns the value of a counter with the given value of one label.
func (c *cluster) value(name, label string) float64 {
	families, err := c.registry.Gather()
	if err != nil {
		return -1
	}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetValue() == label {
					return m.GetCounter().GetValue()
				}
			}
		}
	}
	return 0
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
