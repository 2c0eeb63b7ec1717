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

func flight(fingerprint, target string) SubRequest {
	return SubRequest{Fingerprint: fingerprint, Service: "order-desk", Target: target, Incarnation: "1", Shard: 3}
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
// against counting one death twice, and against a report before GracePeriod.
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
	early := tr.HealthChecked(start, "a", "1", false, hold)
	is.Equal(len(early), 2)
	for _, r := range early {
		is.True(r.Early)
		is.True(r.Fingerprint == "bad" || r.Fingerprint == "innocent")
		is.Equal(r, control.SuspectRequest{
			Fingerprint: r.Fingerprint, Service: "order-desk", Target: "a", Incarnation: "1", Shard: 3, Early: true,
		})
	}
	is.Equal(tr.HealthChecked(start, "a", "1", false, hold), nil)
	is.True(tr.Suspected(start, "innocent"))
	other := flight("innocent", "c")
	other.Shard = 4
	is.Equal(tr.Succeeded(start, other, false), nil) // another shard clears nothing
	is.True(tr.Suspected(start, "innocent"))
	is.Equal(tr.Succeeded(start, flight("innocent", "c"), false), []control.SuspectRequest{
		{Fingerprint: "innocent", Service: "order-desk", Shard: 3, Cleared: true},
	})
	is.Equal(tr.Succeeded(start, flight("innocent", "c"), true), nil) // withdrawn already
	is.True(!tr.Suspected(start, "innocent"))
	is.Equal(tr.DueReports(start.Add(GracePeriod-1)), nil)
	is.Equal(tr.Deaths(start, "bad"), 0)
	again := tr.Begin(flight("bad", "b"))
	is.True(tr.Reset(start, again))
	report := tr.HealthChecked(start, "b", "1", false, hold) // the second death of the part
	is.Equal(len(report), 2)
	is.Equal(report[1], control.SuspectRequest{Fingerprint: "bad", Service: "order-desk", Target: "b", Incarnation: "1", Shard: 3})
	is.Equal(tr.Deaths(start, "bad"), 2)
	is.Equal(tr.Deaths(start.Add(hold), "bad"), 0) // the hold is over
	is.Equal(tr.DueReports(start.Add(GracePeriod)), nil)
	tr.Succeeded(start, flight("bad", "c"), false)
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
			is.Equal(tr.HealthChecked(start, "a", "1", true, hold), nil)
			is.True(!tr.Suspected(start, "bad"))
			same := func(string) (string, bool) { return "1", true }
			is.Equal(len(tr.ObserveIncarnations(start.Add(tc.after-time.Second), same, hold)), 0)
			is.Equal(len(tr.ObserveIncarnations(start.Add(tc.after-time.Second+window/100), same, hold)), 0)
			current := func(string) (string, bool) { return tc.incarnation, tc.known }
			early := tr.ObserveIncarnations(start.Add(tc.after), current, hold)
			is.Equal(len(early), tc.want)
			is.True(len(early) == 0 || early[0].Early)
			is.Equal(len(tr.DueReports(start.Add(tc.after+GracePeriod))), tc.want)
		})
	}
}

// Guards against blame for a request that is sent often: it is in flight at two
// deaths of a shard before the next answer. And against a request that crashes
// targets since lately and is never blamed because it was answered before.
func TestAnsweredLately(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	die := func(now time.Time, target string) []control.SuspectRequest {
		n := tr.Begin(flight("popular", target))
		tr.Reset(now, n)
		tr.End(n)
		return tr.HealthChecked(now, target, "1", false, hold)
	}
	is.Equal(tr.Succeeded(start, flight("popular", "c"), false), nil)
	is.Equal(die(start, "a"), nil)
	is.Equal(die(start, "b"), nil)
	is.True(!tr.SuspectedEarly(start, "popular"))
	is.True(tr.Suspected(start, "popular")) // hedges and retries spare the last replica
	is.True(tr.Died("a", "1"))
	is.Equal(len(tr.DueReports(start.Add(GracePeriod))), 2) // nobody answered within GracePeriod
	is.Equal(tr.Deaths(start.Add(GracePeriod), "popular"), 2)
	tr.Succeeded(start, flight("popular", "c"), false)
	later := start.Add(2 * memory)
	is.Equal(len(die(later, "d")), 1) // the answer is too old
	is.True(tr.SuspectedEarly(later, "popular"))
	// An answer that comes before the health check has ended counts as well.
	n := tr.Begin(flight("popular", "e"))
	tr.Reset(later, n)
	tr.End(n)
	tr.Succeeded(later, flight("popular", "c"), false)
	is.Equal(tr.HealthChecked(later, "e", "1", false, hold), nil)
	is.Equal(tr.DueReports(later.Add(GracePeriod)), nil)
	// A suspicion by another host is withdrawn once per interval.
	seen := flight("other", "c")
	is.Equal(len(tr.Succeeded(later, seen, true)), 1)
	is.Equal(len(tr.Succeeded(later, seen, true)), 0)
	is.Equal(len(tr.Succeeded(later.Add(again), seen, true)), 1)
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
		tr.HealthChecked(now, name, "1", false, hold)
		tr.DueReports(now.Add(GracePeriod))
	}
	is.Equal(len(tr.suspects), maxSuspects)
	is.Equal(tr.Deaths(start.Add(5*time.Second), "0"), 0)
	is.Equal(tr.Deaths(start.Add(5*time.Second), fmt.Sprint(maxSuspects)), 1)
	is.Equal(len(tr.flights)+len(tr.lives), 0)
	is.True(len(tr.shared) <= maxSuspects)
	for i := range 3 * maxAnswers {
		f := flight("answered", "a")
		f.Shard = i
		tr.Succeeded(start, f, true)
	}
	is.True(len(tr.answers.young)+len(tr.answers.old) <= 2*maxAnswers)
	is.True(len(tr.withdrawn) <= maxSuspects)
	tr.ObserveIncarnations(start.Add(time.Minute), func(string) (string, bool) { return "1", true }, hold)
	is.Equal(len(tr.resets), 0)
}
