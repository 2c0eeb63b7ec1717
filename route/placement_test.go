package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/workload"
)

// TestPlacement guards against work for a target that is done late although another one is free.
func TestPlacement(t *testing.T) {
	const ms = time.Millisecond
	light, heavy := workload.NewKind("light", "GET", "", "", 0), workload.NewKind("heavy", "GET", "", "", 0)
	tests := []struct {
		name   string
		before func(table *Table, now time.Time, start func(target int, k workload.Kind))
		choice Choice
		want   map[string]bool // nil: none
	}{
		{"a heavy request stands before light ones", func(_ *Table, _ time.Time, start func(int, workload.Kind)) {
			start(0, heavy)
			start(1, light)
		}, Choice{}, map[string]bool{"t1": true}},
		{"the remote target would be done no sooner", func(*Table, time.Time, func(int, workload.Kind)) {}, Choice{}, map[string]bool{"t0": true, "t1": true}},
		{"both targets nearby have long queues", func(_ *Table, _ time.Time, start func(int, workload.Kind)) {
			for range 4 {
				start(0, heavy)
				start(1, heavy)
			}
		}, Choice{}, map[string]bool{"t2": true}},
		{"none is done in time", func(*Table, time.Time, func(int, workload.Kind)) {}, Choice{Within: ms}, nil},
		{"a hedge goes to the one that is done first", func(_ *Table, _ time.Time, start func(int, workload.Kind)) {
			start(0, light)
			start(1, light)
		}, Choice{Urgent: true}, map[string]bool{"t2": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table, replicas, now := newTable(), newReplicas("izmir-a", "izmir-a", "izmir-b"), timeAt(time.Second)
			table.Contended = true
			for range 30 {
				for _, r := range replicas {
					r.Slots = 4
					recordWork(table, now, r, light, 10*ms)
					recordWork(table, now, r, heavy, 200*ms)
				}
			}
			test.before(table, now, func(i int, k workload.Kind) { table.StartWork(now, replicas[i], table.Estimate(now, k)) })
			test.choice.Replicas, test.choice.Work = replicas, table.Estimate(now, light)
			for range 50 {
				r, ok := table.Pick(now, test.choice)
				is.Equal(ok, test.want != nil)
				if ok {
					is.True(test.want[r.Name])
				}
			}
		})
	}
}

// TestRefusalForCostEnds guards against a route that is refused for good because its cost was measured
// while all targets were slow.
func TestRefusalForCostEnds(t *testing.T) {
	is := is.New(t)
	table, replicas, kind := newTable(), newReplicas("izmir-a"), workload.NewKind("r", "GET", "", "", 0)
	table.Contended = true
	recordWork(table, timeAt(0), replicas[0], kind, time.Second)
	pick := func(now time.Time) bool {
		_, ok := table.Pick(now, Choice{Replicas: replicas, Work: table.Estimate(now, kind), Within: 100 * time.Millisecond})
		return ok
	}
	is.True(!pick(timeAt(time.Second)))
	is.True(pick(timeAt(3 * time.Second)))
}

// TestPlacementAvoidsTargetsThatShed guards against work for a target that refuses a part of its sub-requests while another
// one has some to do: each refusal is quick, so that the target always looks free.
func TestPlacementAvoidsTargetsThatShed(t *testing.T) {
	for _, hosts := range []float64{1, 7, 62, 300} {
		is := is.New(t)
		table, replicas, now := newTable(), newReplicas("izmir-a", "izmir-a"), timeAt(time.Second)
		table.Contended = true
		kind := workload.NewKind("light", "GET", "", "", 0)
		for i := range 20 {
			for _, r := range replicas {
				r.Slots = 4
				recordWork(table, now, r, kind, 10*time.Millisecond)
			}
			if i%4 == 3 {
				table.StartWork(now, replicas[1], table.Estimate(now, kind))
				table.DoneWork(now.Add(time.Millisecond), replicas[1], "light", table.Estimate(now, kind), time.Millisecond, time.Millisecond, Shed)
			}
		}
		table.StartWork(now, replicas[0], table.Estimate(now, kind))
		for range 50 {
			r, ok := table.Pick(now, Choice{Replicas: replicas, Work: table.Estimate(now, kind), Hosts: hosts})
			is.True(ok)
			is.Equal(r.Name, replicas[0].Name)
		}
	}
}

// TestPlacementInTime guards against a sub-request that is not sent because the target with the lowest cost would be late,
// although another one would be in time: a little faster in another data centre, or one of many nearby.
func TestPlacementInTime(t *testing.T) {
	const ms = time.Millisecond
	kind, now := workload.NewKind("r", "GET", "", "", 0), timeAt(time.Second)
	for _, centres := range [][]string{{"izmir-a", "izmir-b"}, {"izmir-a", "izmir-a", "izmir-a", "izmir-a", "izmir-a", "izmir-a", "izmir-a", "izmir-a"}} {
		is := is.New(t)
		table, replicas := newTable(), newReplicas(centres...)
		table.Contended = true
		fast := replicas[len(replicas)-1]
		for range 40 {
			for _, r := range replicas[:len(replicas)-1] {
				recordWork(table, now, r, kind, 13*ms)
			}
			recordWork(table, now, fast, kind, 10*ms)
		}
		for range 50 {
			r, ok := table.Pick(now, Choice{Replicas: replicas, Work: table.Estimate(now, kind), Within: 11500 * time.Microsecond})
			is.True(ok)
			is.Equal(r, fast)
		}
	}
}
