package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

const hold = 10 * time.Minute

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func flight(fingerprint, target string) Flight {
	return Flight{Fingerprint: fingerprint, Service: "order-desk", Target: target, Incarnation: "1", Shard: 3}
}

// Guards against two requests that share a fingerprint because their parts run
// into each other.
func TestFingerprintKeepsPartsApart(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Fingerprint("a", "b", []byte("c"))), 16)
	is.Equal(Fingerprint("a", "b", []byte("c")), Fingerprint("a", "b", []byte("c")))
	seen := map[string]string{}
	for _, p := range [][3]string{{"ab", "c", ""}, {"a", "bc", ""}, {"a", "b", "c"}, {"", "abc", ""}, {"", "", "abc"}} {
		f := Fingerprint(p[0], p[1], []byte(p[2]))
		is.Equal(seen[f], "") // two requests have the same fingerprint
		seen[f] = fmt.Sprint(p)
	}
}

// Guards against blaming a request for a death that it was not in flight at,
// against counting one death twice, and against a report before Grace.
func TestDeaths(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	bad, innocent := tr.Begin(flight("bad", "a")), tr.Begin(flight("innocent", "a"))
	finished := tr.Begin(flight("finished", "a"))
	tr.End(finished)
	is.True(tr.Reset(start, bad))
	is.True(!tr.Reset(start, innocent)) // one check per incarnation
	is.True(tr.Suspected(start, "bad"))
	is.True(!tr.Suspected(start, "finished"))
	tr.End(bad)
	tr.End(innocent)
	is.Equal(tr.Checked(start, "a", "1", false, hold), nil)
	is.Equal(tr.Checked(start, "a", "1", false, hold), nil)
	is.True(tr.Suspected(start, "innocent"))
	tr.Succeeded("innocent", 4) // another shard clears nothing
	is.True(tr.Suspected(start, "innocent"))
	tr.Succeeded("innocent", 3)
	is.True(!tr.Suspected(start, "innocent"))
	is.Equal(tr.Due(start.Add(Grace-1)), nil)
	is.Equal(tr.Deaths(start, "bad"), 0)
	again := tr.Begin(flight("bad", "b"))
	is.True(tr.Reset(start, again))
	report := tr.Checked(start, "b", "1", false, hold) // the second death of the part
	is.Equal(len(report), 2)
	is.Equal(report[1], control.SuspectRequest{Fingerprint: "bad", Service: "order-desk", Target: "b", Incarnation: "1", Shard: 3})
	is.Equal(tr.Deaths(start, "bad"), 2)
	is.Equal(tr.Deaths(start.Add(hold), "bad"), 0) // the hold is over
	is.Equal(tr.Due(start.Add(Grace)), nil)
	tr.Succeeded("bad", 3)
	is.Equal(tr.Deaths(start, "bad"), 0)
}

// Guards against suspects from a target that lives, and against forgetting a
// reset before a new incarnation can show that the target died.
func TestObserve(t *testing.T) {
	for _, tc := range []struct {
		name        string
		incarnation string
		known       bool
		after       time.Duration
		want        int
	}{
		{"same incarnation", "1", true, time.Second, 0},
		{"new incarnation", "2", true, time.Second, 1},
		{"gone from the view", "", false, time.Second, 0},
		{"new incarnation after the window", "2", true, window + time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var tr Tracker
			n := tr.Begin(flight("bad", "a"))
			tr.Reset(start, n)
			tr.End(n)
			is.Equal(tr.Checked(start, "a", "1", true, hold), nil)
			is.True(!tr.Suspected(start, "bad"))
			same := func(string) (string, bool) { return "1", true }
			is.Equal(len(tr.Observe(start.Add(tc.after-time.Second), same, hold)), 0)
			is.Equal(len(tr.Observe(start.Add(tc.after-time.Second+window/100), same, hold)), 0)
			current := func(string) (string, bool) { return tc.incarnation, tc.known }
			is.Equal(tr.Observe(start.Add(tc.after), current, hold), nil)
			is.Equal(len(tr.Due(start.Add(tc.after+Grace))), tc.want)
		})
	}
}

// Guards against unbounded memory: flights leave nothing behind, and the suspect
// that expires first makes room.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	for i := range maxSuspects + 10 {
		name := fmt.Sprint(i)
		n := tr.Begin(flight(name, name))
		now := start.Add(time.Duration(i) * time.Millisecond)
		tr.Reset(now, n)
		tr.End(n)
		tr.Checked(now, name, "1", false, hold)
		tr.Due(now.Add(Grace))
	}
	is.Equal(len(tr.suspects), maxSuspects)
	is.Equal(tr.Deaths(start.Add(5*time.Second), "0"), 0)
	is.Equal(tr.Deaths(start.Add(5*time.Second), fmt.Sprint(maxSuspects)), 1)
	is.Equal(len(tr.flights)+len(tr.lives), 0)
	tr.Observe(start.Add(time.Minute), func(string) (string, bool) { return "1", true }, hold)
	is.Equal(len(tr.resets), 0)
}
