package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

// Guards against more connections than a target accepts while some hosts still use the
// division among an older list of hosts.
func TestSharesStayWithinConnectionsWhileHostsChange(t *testing.T) {
	const overlap = 2500 * time.Millisecond
	targets := []*control.Target{{Name: "a", Connections: 25}, {Name: "b", Connections: 3}}
	startTime := time.Unix(0, 0)
	before, after := []string{"h1", "h2", "h3", "h4", "h5"}, []string{"h1", "h2", "h6"}
	// Each row contains, for each host, how many seconds after the change it learns of it.
	for _, delays := range [][6]float64{{0, 0, 0, 0, 0, 0}, {0, 2.4, 0, 2.4, 2.4, 0}, {2.4, 0, 2.4, 0, 0, 1}} {
		hosts := map[string]*divisions{}
		for _, name := range before {
			hosts[name] = &divisions{}
			hosts[name].record(startTime, before, overlap)
		}
		hosts["h6"] = &divisions{}
		hosts["h6"].record(startTime, before, overlap)
		changed := startTime.Add(time.Minute)
		for step := range 80 {
			now := changed.Add(time.Duration(step) * 100 * time.Millisecond)
			sums := map[string]int{}
			for i, name := range []string{"h1", "h2", "h3", "h4", "h5", "h6"} {
				if now.Sub(changed).Seconds() >= delays[i] {
					hosts[name].record(now, after, overlap)
				}
				for target, n := range hosts[name].shares(now, name, targets) {
					sums[target] += n
				}
			}
			is.New(t).True(sums["a"] <= 25 && sums["b"] <= 3)
		}
		final := hosts["h6"].shares(changed.Add(time.Minute), "h6", targets)
		is.New(t).Equal(final["a"] >= 8, true) // the new host eventually gets its full share
	}
}
