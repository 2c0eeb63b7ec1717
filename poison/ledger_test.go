package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

var ledgerStart = time.Unix(1000, 0)

func died(n int) control.Death { return control.Death{Target: fmt.Sprint("t", n), Incarnation: "1"} }

// Guards against a request that is sent on although it crashes its targets, against one that is refused for
// ever, and against a trial at the end of a hold that brings the crashes back.
func TestLedgerHolds(t *testing.T) {
	is := is.New(t)
	var l Ledger
	var verdicts []time.Duration
	l.OnVerdict = func(v Verdict) { verdicts = append(verdicts, v.Hold) }
	now := ledgerStart
	is.True(l.Empty())
	for i := range refusedDeaths {
		is.Equal(l.Refused(now, "s", 1), time.Duration(0))
		l.RecordDeath(now, "s", 1, died(i))
		l.RecordDeath(now, "s", 1, died(i)) // the same death, seen by another attempt
	}
	is.Equal(l.Refused(now, "s", 1), firstHold)
	is.Equal(l.Refused(now, "s", 2), time.Duration(0))
	is.Equal(l.Refused(now, "other", 1), time.Duration(0))
	now = now.Add(firstHold)
	is.Equal(l.Refused(now, "s", 1), time.Duration(0)) // a trial
	l.RecordDeath(now, "s", 1, died(3))
	is.Equal(l.Refused(now, "s", 1), 2*firstHold)
	now = now.Add(2 * firstHold)
	l.RecordAnswer(now, "s", 1)
	is.Equal(l.Refused(now, "s", 1), time.Duration(0))
	is.Equal(verdicts, []time.Duration{firstHold, 2 * firstHold}) // it was not refused any more when it was answered
	for i := range refusedDeaths {
		l.RecordDeath(now, "s", 1, died(10+i))
	}
	l.RecordAnswer(now, "s", 1)
	is.Equal(verdicts[len(verdicts)-1], time.Duration(0))
	for i := range 3 * maxRecordDeaths {
		l.RecordDeath(now, "s", 1, died(100+i))
	}
	is.Equal(l.Refused(now, "s", 1), maxHold)
	now = now.Add(maxHold + recordTerm + time.Second)
	l.RecordDeath(now, "s", 9, died(0)) // removes what has expired
	records, _ := l.Since(now, 0)
	is.Equal(len(records), 1)
}

// Guards against a harmless request that is refused because it is in flight at most deaths: another request
// crashes targets, or all targets die for another cause.
func TestLedgerSparesAnsweredRequests(t *testing.T) {
	is := is.New(t)
	var hosts [3]Ledger
	now := ledgerStart
	share := func() {
		for i := range hosts {
			for k := range hosts {
				records, _ := hosts[k].Own(now, 0)
				hosts[i].Merge(now, records)
			}
		}
	}
	for i := range 60 {
		h := &hosts[i%len(hosts)]
		h.RecordDeath(now, "s", 1, died(i)) // crashes
		h.RecordDeath(now, "s", 2, died(i)) // is in flight at every death
		now = now.Add(100 * time.Millisecond)
		hosts[(i+1)%len(hosts)].RecordAnswer(now, "s", 2)
		h.RecordAnswer(now, "s", 2)
		now = now.Add(900 * time.Millisecond)
		share()
		for k := range hosts {
			is.Equal(hosts[k].Refused(now, "s", 2), time.Duration(0))
		}
	}
	for k := range hosts {
		is.True(hosts[k].Refused(now, "s", 1) > 0)
	}
}

// Guards against hosts that decide differently because records arrive in another order or twice.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		var records []Record
		for range 12 {
			r := Record{Fingerprint: 1, Service: "s", Clears: random.Uint64N(3)}
			for range random.IntN(3) {
				r.Deaths = append(r.Deaths, died(random.IntN(5)))
			}
			records = append(records, r)
		}
		var a, b Ledger
		a.Merge(ledgerStart, records)
		random.Shuffle(len(records), func(i, k int) { records[i], records[k] = records[k], records[i] })
		b.Merge(ledgerStart, records)
		b.Merge(ledgerStart, records)
		ra, _ := a.Since(ledgerStart, 0)
		rb, _ := b.Since(ledgerStart, 0)
		is.Equal(ra[0].Clears, rb[0].Clears)
		is.Equal(len(ra[0].Deaths), len(rb[0].Deaths))
		for _, d := range ra[0].Deaths {
			is.True(slices.Contains(rb[0].Deaths, d))
		}
		is.Equal(a.Refused(ledgerStart, "s", 1), b.Refused(ledgerStart, "s", 1))
	}
}

// Guards against records that grow without bound, against messages about each request that was in flight
// when many targets died at once, and against deaths that other hosts never learn of.
func TestLedgerBounds(t *testing.T) {
	is := is.New(t)
	var l Ledger
	now := ledgerStart
	l.RecordDeath(now, "s", 1<<40, died(0))
	l.RecordDeath(now, "s", 1<<40, died(1))
	for i := range 3 * maxRecords {
		l.RecordDeath(now, "s", uint64(i), died(2))
	}
	all, _ := l.Since(now, 0)
	is.Equal(len(all), maxRecords)
	is.True(slices.ContainsFunc(all, func(r Record) bool { return r.Fingerprint == 1<<40 })) // has the most deaths
	own, revision := l.Own(now, 0)
	is.Equal(len(own), 0) // a retry may still be answered
	now = now.Add(publishDelay)
	own, revision = l.Own(now, revision)
	is.Equal(len(own), maxPublished)
	own, revision = l.Own(now, revision)
	is.Equal(len(own), 0)
	now = now.Add(publishPeriod + time.Second)
	own, _ = l.Own(now, revision)
	is.Equal(len(own), maxPublished)

	var cleared Ledger
	cleared.RecordDeath(now, "s", 1, died(0))
	cleared.RecordAnswer(now, "s", 1)
	own, _ = cleared.Own(now.Add(time.Minute), 0)
	is.Equal(len(own), 0) // no other host knew of it
	is.True(cleared.Empty())
}
