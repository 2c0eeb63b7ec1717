package answer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/problem"
	"wasabirelay/route"
)

// connectTable connects a routing table to the cluster and returns a function that records
// sub-requests of one latency and outcome.
func (c *cluster) connectTable() func(t *control.Target, n int, latency time.Duration, o Outcome) {
	table := &route.Table{Centre: "huonville"}
	c.Pick, c.SuspectCold, c.ClearSuspicion = table.Pick, table.SuspectCold, table.ClearSuspicion
	return func(t *control.Target, n int, latency time.Duration, o Outcome) {
		for range n {
			table.Start(c.clock.Now(), t)
			table.Done(c.clock.Now(), t, desk, latency, o)
		}
		table.Pick(c.clock.Now(), Choice{Service: desk, Replicas: c.view.Targets[desk]})
	}
}

// Guards against a shard that loses all replicas because the fast one leaves: the others were
// ejected as slow when compared with it, and count as cold until their next probe.
func TestReplicasThatLookColdServeOnceTheLastOtherLeaves(t *testing.T) {
	is := is.New(t)
	targets := []*control.Target{newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9)}
	c := newCluster(targets...)
	record := c.connectTable()
	record(targets[1], 9, 40*time.Millisecond, Success)
	record(targets[2], 9, 30*time.Millisecond, Success)
	record(targets[0], 9, time.Millisecond, Success)
	is.True(c.SuspectCold(c.clock.Now(), targets[1]))
	is.True(c.SuspectCold(c.clock.Now(), targets[2]))
	draining := *targets[0]
	draining.State = control.Draining
	c.changeView(func(v *control.View) {
		v.Targets = map[string][]*control.Target{desk: {&draining, targets[1], targets[2]}}
	})
	a, err := c.Answer(t.Context(), c.query())
	is.NoErr(err)
	is.Equal(a.Coverage, Coverage{Answered: 1, Total: 1, Missing: []int{}})
	is.Equal(c.sentTargets(), []string{"c"}) // the faster one
}

// Guards against work for targets that have said that they are cold, and for those that were
// announced as cold, when no other replica is left.
func TestReportedColdTargetsStayUnused(t *testing.T) {
	is := is.New(t)
	announced := newTarget("b", 0, 1, 9)
	announced.State = control.Cold
	targets := []*control.Target{newTarget("a", 0, 1, 9), announced}
	c := newCluster(targets...)
	record := c.connectTable()
	record(targets[0], 1, time.Millisecond, ColdReply)
	a, err := c.Answer(t.Context(), c.query())
	is.Equal(refused(t, a, err).Executed, problem.None)
	is.Equal(len(c.sentTargets()), 0)
}

// Guards against a new version that is ejected as a whole because it is compared with the old
// one, whose estimates are out of date once it gets no traffic.
func TestVersionsAreNotComparedDuringAMove(t *testing.T) {
	is := is.New(t)
	targets := []*control.Target{newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9)}
	targets[1].Version, targets[2].Version = "v2", "v2"
	c := newCluster(targets...)
	c.view.Shares = map[string]map[string]float64{desk: {"v2": 1}}
	table := &route.Table{Centre: "huonville"}
	c.Pick, c.SuspectCold, c.ClearSuspicion = table.Pick, table.SuspectCold, table.ClearSuspicion
	for i, latency := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond} {
		for range 9 {
			table.Start(c.clock.Now(), targets[i])
			table.Done(c.clock.Now(), targets[i], desk, latency, Success)
		}
	}
	for range 3 {
		_, err := c.Answer(t.Context(), c.query())
		is.NoErr(err)
	}
	is.Equal(len(table.Stats(c.clock.Now()).Ejected), 0)
}

// Guards against work for the old version after its move is done, when its targets may be
// stopped without notice: no query, hedge or retry falls back to it.
func TestVersionWithAllTrafficHasNoFallback(t *testing.T) {
	is := is.New(t)
	moved := newTarget("t0", 0, 1, 9)
	moved.Version = "v2"
	c := newCluster(moved, newTarget("s0", 0, 1, 9))
	c.view.Shares = map[string]map[string]float64{desk: {"v2": 1}}
	c.behaviours["t0"] = failWith(Failed, true)
	a, err := c.Answer(t.Context(), c.query())
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	is.Equal(c.sentTargets(), []string{"t0"})
	c.SuspectCold = func(_ time.Time, n *control.Target) bool { return n.Version == "v2" }
	a, err = c.Answer(t.Context(), c.query())
	is.Equal(refused(t, a, err).Executed, problem.None)
	is.Equal(c.sentTargets(), []string{"t0"})
}
