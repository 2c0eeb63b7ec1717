package exchange

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/poison"
)

// Guards against requests that crash targets and that only the host knows that has seen it, also after a
// control host has restarted, and against hosts that learn of them late.
func TestCrashesReachAllHosts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	firstCtx, stopFirst := context.WithCancel(ctx)
	_, first := runHub(firstCtx, t, "a", 1)
	b, second := runHub(ctx, t, "b", 1)
	runClient(ctx, b.Self, first)
	host := func(name string) *poison.Ledger {
		l := &poison.Ledger{}
		c := &Client{
			Self: func() Host { return entry(name) }, Seeds: func() []netip.AddrPort { return []netip.AddrPort{first, second} }, Clock: clockwork.NewRealClock(), Log: b.Log,
			OwnCrashes:   func(after uint64) ([]poison.Record, uint64) { return l.Own(time.Now(), after) },
			MergeCrashes: func(records []poison.Record) { l.Merge(time.Now(), records) },
		}
		go func() { _ = c.Run(ctx) }()
		return l
	}
	one, two := host("e1"), host("e2")
	for i := range 3 {
		one.RecordDeath(time.Now(), "s", 7, control.Death{Target: string(rune('a' + i)), Incarnation: "1"})
	}
	started := time.Now()
	await(t, "the verdict at the other host", func() bool { return two.Refused(time.Now(), "s", 7) > 0 })
	is.True(time.Since(started) < 3*time.Second)
	stopFirst()
	late := host("e3")
	await(t, "the verdict at a host that starts later", func() bool { return late.Refused(time.Now(), "s", 7) > 0 })
	late.RecordAnswer(time.Now(), "s", 7)
	await(t, "the end of the verdict", func() bool {
		return one.Refused(time.Now(), "s", 7) == 0 && two.Refused(time.Now(), "s", 7) == 0
	})
}

// Guards against hosts of an earlier version that poll without end or fail because a control host has
// records that they don't know, and against control hosts of an earlier version that a host can't poll.
func TestCrashesAndEarlierVersions(t *testing.T) {
	is := is.New(t)
	h := startedHub(clockwork.NewFakeClock())
	h.MergeCrashes([]poison.Record{{Fingerprint: 7, Service: "s", Deaths: []control.Death{{Target: "t", Incarnation: "1"}}}})
	answer := poll(t, h, PollRequest{From: entry("e1")})
	is.Equal(len(answer.Crashes), 0)
	old := PollRequest{From: entry("e1"), Run: h.Self.Start, Targets: answer.Targets, Hosts: answer.Hosts, Wait: time.Second}
	is.True(poll(t, h, old) == nil) // nothing new for it
	known := old
	known.Known = 1
	answer = poll(t, h, known)
	is.Equal(len(answer.Crashes), 1)
	known.Known = answer.Known + 1
	is.True(poll(t, h, known) == nil)

	var l poison.Ledger
	c, k := clientWithContact(h.Clock, func() Host { return entry("e1") })
	c.MergeCrashes = func(records []poison.Record) { l.Merge(h.Clock.Now(), records) }
	var response PollResponse // of an earlier version
	is.NoErr(json.Unmarshal([]byte(`{"from":{"name":"a","start":9},"targets":1,"hosts":1}`), &response))
	for range 2 {
		c.merge(k, &response)
		c.mergeCrashes(k, &response, 9, 4)
	}
	is.Equal(k.seen.Known, uint64(1))
	is.Equal(k.published, uint64(4))
	response.From.Start++
	c.merge(k, &response)
	is.Equal(k.published, uint64(0)) // the restarted control host gets all records again
}
