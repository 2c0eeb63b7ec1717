package quorum

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/control"
)

func evacuation(centre string, out bool) control.Command {
	return control.Command{Evacuate: &control.Evacuate{Centre: centre, Out: out}}
}

// Guards against an order that is accepted after a later one on the same subject, and against a fresh
// order that is rejected because of other subjects, truncated entries or a restored snapshot.
func TestFence(t *testing.T) {
	is := is.New(t)
	var f fence
	x, y := evacuation("x", true), evacuation("y", true)
	move := control.Command{Begin: &control.BeginMove{Service: "x"}}
	is.NoErr(f.check(0, &x))
	f.record(5, &x)
	f.record(6, &control.Command{Routing: &control.ApplyRouting{Version: 1}})
	var overtaken *OvertakenError
	is.True(errors.As(f.check(4, &x), &overtaken))
	is.Equal(*overtaken, OvertakenError{Subject: "centres/x", Base: 4, Last: 5})
	is.NoErr(f.check(5, &x))
	is.NoErr(f.check(4, &y))
	is.NoErr(f.check(4, &move)) // a service of the same name
	f.record(9, &x)
	f.truncate(7) // another leader has replaced entry 9
	is.True(f.check(5, &x) != nil)
	is.NoErr(f.check(7, &x))
	f.restore(8)
	is.True(f.check(7, &y) != nil) // may be in the snapshot
	is.NoErr(f.check(8, &y))
	for i := range maxFenceSubjects + 1 {
		command := evacuation(string(rune('a'+i)), true)
		f.record(uint64(10+i), &command)
	}
	is.True(len(f.last) <= maxFenceSubjects)
	is.True(f.check(9, &y) != nil) // forgotten one by one, so all count
}

// Guards against an order that is applied a second time, after a later one that contradicts it: a host
// that was frozen proposes it although its sender has gone on.
func TestOvertakenOrderHasNoEffect(t *testing.T) {
	is := is.New(t)
	g := newDiskGroup(t, nil)
	is.True(g.commit(20 * time.Second))
	for _, r := range g.replicas {
		is.NoErr(g.awaitLeader(r, 20*time.Second)) // a commit needs a majority only: the third may not know the leader yet
	}
	// commit commits an order through the replica, on the base that it reads, or on an older one.
	commit := func(r *Replica, order control.Command, base uint64) error {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if base == 0 {
			state, err := r.Read(ctx)
			if err != nil {
				return err
			}
			base = state.Index
		}
		_, err := r.CommitAfter(ctx, order, base)
		return err
	}
	move := func(version string) control.Command {
		return control.Command{Begin: &control.BeginMove{Service: "s", Version: version, MaxDuration: time.Minute}}
	}
	for _, orders := range [][2]control.Command{ // the late one, and the later one that contradicts it
		{evacuation("x", false), evacuation("x", true)},
		{move("v1"), move("v2")},
	} {
		late, later := orders[0], orders[1]
		for _, frozen := range g.replicas { // the leader and the others, which forward it
			is.NoErr(commit(frozen, later, 0))
			state, err := frozen.Read(t.Context())
			is.NoErr(err)
			is.NoErr(commit(g.replicas[0], late, 0)) // the order that was sent again
			is.NoErr(commit(g.replicas[1], later, 0))
			is.True(commit(frozen, late, state.Index) != nil)
			state, err = g.replicas[2].Read(t.Context())
			is.NoErr(err)
			is.Equal(state.Out, []string{"x"})
			is.True(orders[0].Begin == nil || state.Moves["s"].Version == "v2")
		}
	}
}
