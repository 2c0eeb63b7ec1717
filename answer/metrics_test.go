package answer

import (
	"fmt"
	"runtime"
	"testing"
)

// counterValue returns the value of the counter that has the given value in any label.
func (c *cluster) counterValue(name, label string) float64 {
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

// waitDropped waits until n replies have been dropped for the given reason.
func (c *cluster) waitDropped(t *testing.T, reason string, n int) error {
	t.Helper()
	for {
		got := c.counterValue("wasabirelay_dropped_replies_total", reason)
		if got == float64(n) {
			return nil
		}
		if got > float64(n) || t.Context().Err() != nil {
			return fmt.Errorf("%v replies were dropped for %s, want %d", got, reason, n)
		}
		runtime.Gosched()
	}
}
