package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

// Guards against more connections than a target accepts while some hosts still
// use the division of an older host list.
func TestDivisionStaysWithinConnectionsWhileHostsChange(t *testing.T) {
	const inUse = 2500 * time.Millisecond
	targets := []*control.Target{{Name: "a", Connections: 25}, {Name: "b", Connections: 3}}
	start := time.Unix(0, 0)
	before, after := []string{"h1", "h2", "h3", "h4", "h5"}, []string{"h1", "h2", "h6"}
	// Each row gives the seconds after the change at which a host learns of it.
	for _, learns := range [][6]float64{{0, 0, 0, 0, 0, 0}, {0, 2.4, 0, 2.4, 2.4, 0}, {2.4, 0, 2.4, 0, 0, 1}} {
		hosts := map[string]*division{}
		for _, name := range before {
			hosts[name] = &division{}
			hosts[name].note(start, before, inUse)
		}
		hosts["h6"] = &division{}
		hosts["h6"].note(start, before, inUse)
		changed := start.Add(time.Minute)
		for step := range 80 {
			now := changed.Add(time.Duration(step) * 100 * time.Millisecond)
			sums := map[string]int{}
			for i, name := range []string{"h1", "h2", "h3", "h4", "h5", "h6"} {
				if now.Sub(changed).Seconds() >= learns[i] {
					hosts[name].note(now, after, inUse)
				}
				for target, n := range hosts[name].shares(now, name, targets) {
					sums[target] += n
				}
			}
			is.New(t).True(sums["a"] <= 25 && sums["b"] <= 3)
		}
		last := hosts["h6"].shares(changed.Add(time.Minute), "h6", targets)
		is.New(t).Equal(last["a"] >= 8, true) // the new host gets its full share in the end
	}
}
