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

func newSubrequest(fingerprint, target string) Subrequest {
	return Subrequest{Fingerprint: fingerprint, Service: "order-desk", Target: target, Incarnation: "1", Shard: 3}
}

// Guards against two different requests with the same fingerprint, because their fields are
// hashed without a boundary.
func TestFingerprintSeparatesFields(t *testing.T) {
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

// Guards against suspecting a request for a death during which it was not in flight, counting
// one death twice, and confirming a death before GracePeriod ends.
func TestDeaths(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	bad, innocent := tr.Begin(newSubrequest("bad", "a")), tr.Begin(newSubrequest("innocent", "a"))
	finished := tr.Begin(newSubrequest("finished", "a"))
	tr.End(finished)
	is.True(tr.Reset(start, bad))
	is.True(!tr.Reset(start, innocent)) // one health check per incarnation
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
	other := newSubrequest("innocent", "c")
	other.Shard = 4
	is.Equal(tr.Succeeded(start, other, false), nil) // another shard clears nothing
	is.True(tr.Suspected(start, "innocent"))
	is.Equal(tr.Succeeded(start, newSubrequest("innocent", "c"), false), []control.SuspectRequest{
		{Fingerprint: "innocent", Service: "order-desk", Shard: 3, Cleared: true},
	})
	is.Equal(tr.Succeeded(start, newSubrequest("innocent", "c"), true), nil) // already withdrawn
	is.True(!tr.Suspected(start, "innocent"))
	is.Equal(tr.DueReports(start.Add(GracePeriod-1)), nil)
	is.Equal(tr.Deaths(start, "bad"), 0)
	again := tr.Begin(newSubrequest("bad", "b"))
	is.True(tr.Reset(start, again))
	report := tr.HealthChecked(start, "b", "1", false, hold) // the second death with the same shard request in flight
	is.Equal(len(report), 2)
	is.Equal(report[1], control.SuspectRequest{Fingerprint: "bad", Service: "order-desk", Target: "b", Incarnation: "1", Shard: 3})
	is.Equal(tr.Deaths(start, "bad"), 2)
	is.Equal(tr.Deaths(start.Add(hold), "bad"), 0) // the hold has ended
	is.Equal(tr.DueReports(start.Add(GracePeriod)), nil)
	tr.Succeeded(start, newSubrequest("bad", "c"), false)
	is.Equal(tr.Deaths(start, "bad"), 0)
}

// Guards against a death that is forgotten because the target died with requests for two of its
// shards, and one of these was answered by another target.
func TestDeathWithTwoShards(t *testing.T) {
	for i := range 20 { // the order of maps varies
		answered := 3 + i%2
		is := is.New(t)
		var tr Tracker
		first, second := newSubrequest("bad", "a"), newSubrequest("bad", "a")
		first.Shard, second.Shard = 3, 4
		tr.Begin(first)
		is.True(tr.Reset(start, tr.Begin(second)))
		tr.HealthChecked(start, "a", "1", false, hold)
		is.Equal(len(tr.DueReports(start.Add(GracePeriod))), 2)
		other := newSubrequest("bad", "b")
		other.Shard = answered
		tr.Succeeded(start.Add(GracePeriod), other, true)
		is.Equal(tr.Deaths(start.Add(GracePeriod), "bad"), 1) // of the other shard
	}
}

// Guards against suspects from a target that is alive, and against removing a reset before a new
// incarnation can prove that the target died.
func TestObserveIncarnations(t *testing.T) {
	for _, tc := range []struct {
		name        string
		incarnation string
		inView      bool
		after       time.Duration
		want        int
	}{
		{"same incarnation", "1", true, time.Second, 0},
		{"new incarnation", "2", true, time.Second, 1},
		{"absent from the view", "", false, time.Second, 0},
		{"new incarnation after the window", "2", true, incarnationWindow + time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var tr Tracker
			n := tr.Begin(newSubrequest("bad", "a"))
			tr.Reset(start, n)
			tr.End(n)
			is.Equal(tr.HealthChecked(start, "a", "1", true, hold), nil)
			is.True(!tr.Suspected(start, "bad"))
			same := func(string) (string, bool) { return "1", true }
			is.Equal(len(tr.ObserveIncarnations(start.Add(tc.after-time.Second), same, hold)), 0)
			is.Equal(len(tr.ObserveIncarnations(start.Add(tc.after-time.Second+incarnationWindow/100), same, hold)), 0)
			current := func(string) (string, bool) { return tc.incarnation, tc.inView }
			early := tr.ObserveIncarnations(start.Add(tc.after), current, hold)
			is.Equal(len(early), tc.want)
			is.True(len(early) == 0 || early[0].Early)
			is.Equal(len(tr.DueReports(start.Add(tc.after+GracePeriod))), tc.want)
		})
	}
}

// Guards against suspecting a request only because it is sent often and is therefore in flight
// at two deaths of a shard before its next answer. Also guards against a request that has
// recently begun to crash targets and is never suspected because it was answered before.
func TestAnsweredRecently(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	crash := func(now time.Time, target string) []control.SuspectRequest {
		n := tr.Begin(newSubrequest("popular", target))
		tr.Reset(now, n)
		tr.End(n)
		return tr.HealthChecked(now, target, "1", false, hold)
	}
	is.Equal(tr.Succeeded(start, newSubrequest("popular", "c"), false), nil)
	is.Equal(crash(start, "a"), nil)
	is.Equal(crash(start, "b"), nil)
	is.True(!tr.SuspectedEarly(start, "popular"))
	is.True(tr.Suspected(start, "popular")) // so that hedges and retries avoid the last replica
	is.True(tr.Died("a", "1"))
	is.Equal(len(tr.DueReports(start.Add(GracePeriod))), 2) // no target answered within GracePeriod
	is.Equal(tr.Deaths(start.Add(GracePeriod), "popular"), 2)
	tr.Succeeded(start, newSubrequest("popular", "c"), false)
	later := start.Add(2 * answerRetention)
	is.Equal(len(crash(later, "d")), 1) // the answer is too old
	is.True(tr.SuspectedEarly(later, "popular"))
	// An answer that arrives before the health check ends also counts.
	n := tr.Begin(newSubrequest("popular", "e"))
	tr.Reset(later, n)
	tr.End(n)
	tr.Succeeded(later, newSubrequest("popular", "c"), false)
	is.Equal(tr.HealthChecked(later, "e", "1", false, hold), nil)
	is.Equal(tr.DueReports(later.Add(GracePeriod)), nil)
	// The suspicion of another host is withdrawn once per withdrawalInterval.
	seen := newSubrequest("other", "c")
	is.Equal(len(tr.Succeeded(later, seen, true)), 1)
	is.Equal(len(tr.Succeeded(later, seen, true)), 0)
	is.Equal(len(tr.Succeeded(later.Add(withdrawalInterval), seen, true)), 1)
}

// Guards against unbounded memory: a finished sub-request leaves nothing behind, and at the
// limit the suspect that expires first is evicted.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	for i := range maxSuspects + 10 {
		name := fmt.Sprint(i)
		n := tr.Begin(newSubrequest(name, name))
		now := start.Add(time.Duration(i) * time.Millisecond)
		tr.Reset(now, n)
		tr.End(n)
		tr.HealthChecked(now, name, "1", false, hold)
		tr.DueReports(now.Add(GracePeriod))
	}
	is.Equal(len(tr.suspects), maxSuspects)
	is.Equal(tr.Deaths(start.Add(5*time.Second), "0"), 0)
	is.Equal(tr.Deaths(start.Add(5*time.Second), fmt.Sprint(maxSuspects)), 1)
	is.Equal(len(tr.inFlight)+len(tr.byIncarnation), 0)
	is.True(len(tr.earlyReports) <= maxSuspects)
	for i := range 3 * maxAnswersPerGeneration {
		f := newSubrequest("answered", "a")
		f.Shard = i
		tr.Succeeded(start, f, true)
	}
	is.True(len(tr.answers.current)+len(tr.answers.previous) <= 2*maxAnswersPerGeneration)
	is.True(len(tr.withdrawnUntil) <= maxSuspects)
	tr.ObserveIncarnations(start.Add(time.Minute), func(string) (string, bool) { return "1", true }, hold)
	is.Equal(len(tr.resets), 0)
}
