package usage

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testWindow = 5 * time.Second

func at(seconds float64) time.Time { return time.Unix(0, int64(seconds*float64(time.Second))) }

// deliver sends what is pending and returns how many windows that were.
func deliver(t *testing.T, now time.Time, host string, c *Counter, to *Collector, token uint64, answered bool) int {
	t.Helper()
	s := c.Pending(token)
	if len(s.Windows) == 0 {
		return 0
	}
	text, err := json.Marshal(Record{Host: host, Start: 1, Token: token, Windows: s.Windows})
	if err != nil {
		t.Fatal(err)
	}
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	receipt, err := to.Record(now, &r)
	if err == nil && answered {
		c.Received(&s, receipt.Next)
	}
	return len(s.Windows)
}

// Guards against counts that are lost, counted twice or put into another window, although records are repeated, receipts
// are lost and the host that collects changes.
func TestCountsAcrossHolders(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 1))
		var counters [3]Counter
		for i := range counters {
			counters[i].Length = testWindow
		}
		var sent [len(counters)]float64
		truth, reported := map[uint64]Counts{}, map[uint64]Counts{}
		collector, token, claimed := &Collector{Length: testWindow, Delay: 3 * time.Second}, uint64(1), 0.0
		collector.Begin(token)
		for now := 0.0; now < 200; now += 0.1 {
			for range rnd.IntN(4) {
				if now > 180 {
					break
				}
				organisation, n := fmt.Sprint("o", rnd.IntN(3)), number(at(now), testWindow)
				counters[rnd.IntN(len(counters))].Count(organisation, at(now))
				if truth[n] == nil {
					truth[n] = Counts{}
				}
				truth[n][organisation]++
			}
			for i := range counters {
				if sent[i]+0.8+0.4*rnd.Float64() < now {
					sent[i] = now
					deliver(t, at(now), fmt.Sprint("h", i), &counters[i], collector, token, rnd.IntN(4) > 0)
				}
			}
			if rnd.IntN(300) == 0 && now < 170 {
				token, claimed = token+1, now
				next := collector.next // which is in the replicated log
				collector = &Collector{Length: testWindow, Delay: 3 * time.Second}
				collector.Begin(token)
				collector.Close(next)
				for i := range sent { // hosts learn of it within half a second and send at once
					sent[i] = now - 1.2 + rnd.Float64()/2
				}
			}
			if w, ok, err := collector.Due(at(now), time.Duration((now-claimed)*float64(time.Second))); ok {
				is.NoErr(err)
				var counts Counts
				is.NoErr(json.Unmarshal(w.Content, &counts))
				is.True(reported[w.Number] == nil)
				reported[w.Number] = counts
				collector.Close(w.Number + 1)
			}
		}
		missing := uint64(0)
		for n, counts := range truth {
			for organisation, count := range counts {
				is.True(reported[n][organisation] <= count)
				missing += count - reported[n][organisation]
			}
		}
		is.Equal(missing, uint64(0))
	}
}

// Guards against messages without news, and against a host that keeps windows that are closed.
func TestCounterSendsOnlyNews(t *testing.T) {
	is := is.New(t)
	counter, collector := &Counter{Length: testWindow}, &Collector{Length: testWindow, Delay: time.Second}
	collector.Begin(4)
	counter.Count("a", at(1))
	is.Equal(deliver(t, at(2), "h", counter, collector, 3, true), 1) // not the holder
	is.Equal(deliver(t, at(2), "h", counter, collector, 4, true), 1)
	is.Equal(deliver(t, at(3), "h", counter, collector, 4, true), 0)
	counter.Count("a", at(6))
	is.Equal(deliver(t, at(6), "h", counter, collector, 4, true), 1)
	collector.Close(1)
	counter.Count("a", at(7))
	is.Equal(deliver(t, at(7), "h", counter, collector, 4, true), 1)
	is.Equal(counter.Statistics(), Statistics{Windows: 1})
	counter.Count("a", at(1))
	is.Equal(counter.Statistics(), Statistics{Windows: 1, Late: 1})
}

// Guards against memory that grows while no host collects, or with records of windows far away.
func TestBounds(t *testing.T) {
	is := is.New(t)
	counter := &Counter{Length: testWindow}
	for n := range 300 {
		counter.Count("a", at(float64(5*n)))
	}
	is.Equal(counter.Statistics(), Statistics{Windows: maxWindows, Late: 300 - maxWindows})
	collector := &Collector{Length: testWindow}
	collector.Begin(1)
	r := &Record{Token: 1}
	for n := range uint64(1000) {
		r.Windows = append(r.Windows, Window{Number: n, Counts: Counts{"a": 1}})
	}
	_, err := collector.Record(at(1000), r)
	is.NoErr(err)
	is.True(len(collector.records[source{}]) <= maxWindows+1)
	var refused *NotHolderError
	_, err = collector.Record(at(1000), &Record{Token: 2})
	is.True(errors.As(err, &refused))
}

// Guards against counts that are lost because a record without a receipt is handled after the one that was sent later, or
// because a record lacks its counts.
func TestEarlierRecordArrivesLate(t *testing.T) {
	is := is.New(t)
	collector := &Collector{Length: testWindow, Delay: time.Second}
	collector.Begin(1)
	for _, counts := range []Counts{{"a": 5, "b": 1}, {"a": 2}, nil} {
		_, err := collector.Record(at(2), &Record{Host: "h", Start: 1, Token: 1, Windows: []Window{{Number: 0, Counts: counts}}})
		is.NoErr(err)
	}
	work, ok, err := collector.Due(at(10), ResendTime)
	is.NoErr(err)
	is.True(ok)
	is.Equal(string(work.Content), `{"a":5,"b":1}`)
}
