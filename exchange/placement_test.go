package exchange

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
)

// Guards against callers that are moved to other hosts whenever some targets are gone, against
// hosts far from all targets, and against a data centre that stays unused after targets came.
func TestPlacement(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	steps := []struct {
		at       int
		coverage map[string]float64
		want     []string
	}{
		{0, nil, nil}, // nothing is known yet
		{1, map[string]float64{"a": 0.2}, []string{"a"}},
		{2, map[string]float64{"a": 0.9, "b": 0.9, "c": 0.5}, []string{"a", "b", "c"}},
		{3, map[string]float64{"a": 1, "b": 1, "c": 1, "d": 0.02}, []string{"a", "b", "c"}},
		{4, map[string]float64{"a": 1, "b": 1, "d": 0.02}, []string{"a", "b", "c"}}, // all targets of c restart
		{13, map[string]float64{"a": 1, "b": 1, "d": 0.02}, []string{"a", "b", "c"}},
		{14, map[string]float64{"a": 1, "b": 1, "c": 1}, []string{"a", "b", "c"}},
		{15, map[string]float64{"a": 1, "b": 0.3, "c": 1}, []string{"a", "b", "c"}},
		{24, map[string]float64{"a": 1, "b": 0.3, "c": 1}, []string{"a", "b", "c"}},
		{25, map[string]float64{"a": 1, "b": 0.3, "c": 1}, []string{"a", "c"}},
		{26, map[string]float64{}, []string{"a", "c"}}, // no target at all
		{27, map[string]float64{"a": 1, "b": 1, "c": 1}, []string{"a", "b", "c"}},
	}
	var p placement
	for _, step := range steps {
		t.Run(fmt.Sprint(step.at), func(t *testing.T) {
			is := is.New(t)
			before := p.centres
			is.Equal(p.update(at(step.at), step.coverage), !slices.Equal(before, step.want))
			is.Equal(p.centres, step.want)
		})
	}
}

// shardTargets returns targets for a number of shards, one in each of the data centres.
func shardTargets(shards int, centres ...string) map[string][]*control.Target {
	targets := map[string][]*control.Target{}
	for i := range shards {
		service := fmt.Sprint("s", i)
		for _, centre := range centres {
			targets[service] = append(targets[service], &control.Target{Centre: centre, State: control.Warm})
		}
	}
	return targets
}

// Guards against requests to all shards through hosts that have no target nearby: callers in
// five data centres, targets of 90 shards in three of them.
func TestPlacementKeepsSubrequestsNear(t *testing.T) {
	is := is.New(t)
	hosts := entryHosts(300, "a", "b", "c", "d", "e")
	targets := shardTargets(90, "a", "b", "c")
	var p placement
	is.True(p.update(time.Unix(1000, 0), Coverage(targets)))
	rng := rand.New(rand.NewPCG(1, 2))
	far := func(active []Host) (share float64) {
		sent, remote := 0, 0
		used := map[string]int{}
		for range 6000 { // callers choose at random, wherever they are
			h := active[rng.IntN(len(active))]
			used[h.Name]++
			for _, list := range targets {
				sent++
				if !slices.ContainsFunc(list, func(target *control.Target) bool { return target.Centre == h.Centre }) {
					remote++
				}
			}
		}
		for _, n := range used {
			is.True(n < 2*6000/len(active)) // no host gets twice its share
		}
		return float64(remote) / float64(sent)
	}
	is.True(far(Active(hosts, minActive, nil)) > 0.3)
	near := Active(hosts, minActive, p.centres)
	is.True(len(near) >= minActive)
	is.Equal(far(near), 0.0)

	// If the data centres with targets have too few hosts, others provide the rest.
	few := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Centre == "a" || h.Centre == "b" || h.Centre == "c" && h.Name > "e30" })
	is.True(len(Active(few, minActive, p.centres)) >= minActive)
	none := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Centre != "d" })
	is.Equal(len(Active(none, minActive, p.centres)), minActive)
}

// Guards against hosts and control hosts that disagree about who is active, and against a
// placement that is forgotten when a control host restarts.
func TestPlacementIsSent(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := startedHub(clock)
	h.starting = false
	h.Coverage = func() map[string]float64 { return Coverage(shardTargets(9, "a", "b")) }
	all := entryHosts(100, "a", "b", "c", "d")
	for _, e := range all {
		poll(t, h, PollRequest{From: e})
	}
	h.place()
	want := names(Active(all, minActive, []string{"a", "b"}))
	var self Host
	c, k := clientWithContact(clock, func() Host { return self })
	for _, e := range all {
		self, k.list, k.seen = e, nil, PollRequest{}
		c.merge(k, poll(t, h, PollRequest{From: e}))
		is.Equal(names(c.Active()), want)
	}
	state, _ := h.CachedState()
	after := &Hub{Self: Host{Name: "a", Start: 20}, Clock: clock, Silence: time.Minute}
	after.Init()
	after.Restore(state, time.Second)
	is.Equal(poll(t, after, PollRequest{From: all[0]}).Centres, []string{"a", "b"})
}
