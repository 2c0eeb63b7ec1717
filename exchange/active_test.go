package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func entryHosts(n int, centres ...string) []Host {
	var list []Host
	for i := range n {
		h := entry(fmt.Sprintf("e%02d", i))
		h.Centre = centres[i%len(centres)]
		list = append(list, h)
	}
	return list
}

func names(hosts []Host) map[string]bool {
	out := map[string]bool{}
	for _, h := range hosts {
		out[h.Name] = true
	}
	return out
}

// Guards against a selection that omits a data centre, that includes draining hosts or
// control hosts, or that moves more callers than a change requires.
func TestActive(t *testing.T) {
	is := is.New(t)
	hosts := entryHosts(60, "a", "b", "c")
	first := Active(hosts, 12)
	is.Equal(len(first), 12)
	perCentre := map[string]int{}
	for _, h := range first {
		perCentre[h.Centre]++
	}
	is.Equal(perCentre, map[string]int{"a": 4, "b": 4, "c": 4})

	for i := range hosts {
		if hosts[i].Name == first[0].Name {
			hosts[i].Draining = true
		}
	}
	hosts = append(hosts, Host{Name: "control", Centre: "d"})
	second := names(Active(hosts, 12))
	is.Equal(len(second), 12)
	is.True(!second[first[0].Name])
	is.True(!second["control"])
	for _, h := range first[1:] {
		is.True(second[h.Name]) // all others remain selected
	}
	is.Equal(len(Active(entryHosts(6, "a", "b"), 12)), 6) // a small deployment uses all of its hosts
	is.Equal(len(Active(nil, 12)), 0)
}

// Guards against overloaded hosts while others are idle, and against callers that are moved
// on each change of the load.
func TestSizing(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	steps := []struct {
		at   int
		load float64 // 1 is the processor capacity of one host
		want int
	}{
		{0, 0, minActive},
		{1, 20 * maxHostLoad, minActive},
		{2, 40 * maxHostLoad, 60}, // includes growFactor
		{3, 50 * maxHostLoad, 60},
		{4, 30 * maxHostLoad, 60},  // a slightly lower load changes nothing
		{60, 30 * maxHostLoad, 60}, // also after shrinkAfter
		{61, 10 * maxHostLoad, 60}, // a much lower load has to last for shrinkAfter
		{80, 10 * maxHostLoad, 60},
		{85, 30 * maxHostLoad, 60}, // a higher load restarts the time
		{90, 10 * maxHostLoad, 60},
		{119, 10 * maxHostLoad, 60},
		{120, 10 * maxHostLoad, minActive},
		{121, 100 * maxHostLoad, 150},
	}
	var s sizer
	for _, step := range steps {
		t.Run(fmt.Sprint(step.at), func(t *testing.T) {
			is.New(t).Equal(s.update(at(step.at), minActive, step.load), step.want)
		})
	}
}
