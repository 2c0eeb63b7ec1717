package usage

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/control"
)

// ResendTime is how long after its claim the holder waits before it closes a window: by then all entry hosts
// have learnt of the claim and sent their counts again, which they do at once.
const ResendTime = time.Second

// maxAhead is the number of windows beyond the present one that counts are taken for. Clocks of hosts differ.
const maxAhead = 2

// Collector collects the counts of entry hosts under one fencing token. Exported fields are set before
// use. It is not safe for concurrent use.
type Collector struct {
	// Length is the length of a window, Delay the time after its end at which it is closed.
	Length, Delay time.Duration

	token   uint64
	next    uint64
	records map[source]map[uint64]Counts
	late    uint64
}

// source is a run of an entry host.
type source struct {
	host  string
	start int64
}

// Begin begins to collect under a token. What was collected under another token is dropped, because the hosts
// send it again.
func (c *Collector) Begin(token uint64) {
	if token != c.token {
		c.token, c.next, c.records = token, 0, map[source]map[uint64]Counts{}
	}
}

// Close records that the windows before next are closed.
func (c *Collector) Close(next uint64) {
	c.next = max(c.next, next)
	for s, windows := range c.records {
		for n := range windows {
			if n < c.next {
				delete(windows, n)
			}
		}
		if len(windows) == 0 {
			delete(c.records, s)
		}
	}
}

// Record adds a record. Of each count the greatest holds: a record that was sent before another may be handled after it.
// The error is a *NotHolderError.
func (c *Collector) Record(now time.Time, r *Record) (Receipt, error) {
	if c.token == 0 || r.Token != c.token {
		return Receipt{}, &NotHolderError{Token: r.Token}
	}
	s, last := source{r.Host, r.Start}, number(now, c.Length)+maxAhead
	for _, w := range r.Windows {
		if w.Number < c.next || w.Number > last || w.Number+maxWindows < last {
			c.late++
			continue
		}
		if c.records[s] == nil {
			c.records[s] = map[uint64]Counts{}
		}
		counts := c.records[s][w.Number]
		if counts == nil {
			counts = Counts{}
			c.records[s][w.Number] = counts
		}
		for organisation, count := range w.Counts {
			counts[organisation] = max(counts[organisation], count)
		}
	}
	return Receipt{Next: c.next}, nil
}

// Due returns the first window that has counts and is due to be closed, with its counts as the content of the work.
func (c *Collector) Due(now time.Time, heldFor time.Duration) (work control.Work, ok bool, err error) {
	if heldFor < ResendTime {
		return work, false, nil
	}
	closed := number(now.Add(-c.Delay), c.Length) // windows before this one are due
	n := closed
	for _, windows := range c.records {
		for w := range windows {
			if w >= c.next {
				n = min(n, w)
			}
		}
	}
	if n >= closed {
		return work, false, nil
	}
	total := Counts{}
	for _, windows := range c.records {
		for organisation, count := range windows[n] {
			total[organisation] += count
		}
	}
	content, err := json.Marshal(total)
	return control.Work{Number: n, Content: content}, true, errors.Wrap(err, "encode usage")
}

// First returns the first window to report if earlier ones may have been reported.
func (c *Collector) First(now time.Time) uint64 { return number(now, c.Length) + maxAhead }

// Late returns the number of windows in records that were closed already, or out of range.
func (c *Collector) Late() uint64 { return c.late }
