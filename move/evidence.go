package move

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// Latencies are kept in microseconds to one digit, which is a bucket width of
	// about 6%, far below the difference that the test tolerates.
	lowest  = 1
	highest = int64(time.Minute / time.Microsecond)
	digits  = 1

	// slotLength is the resolution of the windows: the interval of reports.
	slotLength = 500 * time.Millisecond
	// shortWindow finds a fault soon after it begins; longWindow collects enough of
	// a rare route and of a fault that few sub-requests show.
	shortWindow = 5 * time.Second
	longWindow  = time.Minute
	// maxParts bounds the parts of one report and of one slot.
	maxParts = 256
	// maxFailing bounds the failing targets that a count names.
	maxFailing = 64
)

// Counts is what happened to sub-requests.
type Counts struct {
	Total  int `json:"total"`
	Failed int `json:"failed,omitempty"`
	// FailedByTarget holds the failures by target, for at most 64 targets.
	FailedByTarget map[string]int `json:"failing,omitempty"`
	// Latency is in microseconds. Failed sub-requests are not in it.
	Latency *hdrhistogram.Histogram `json:"-"`
}

func newCounts() *Counts {
	return &Counts{FailedByTarget: map[string]int{}, Latency: hdrhistogram.New(lowest, highest, digits)}
}

func (c *Counts) add(o *Counts) {
	c.Total += o.Total
	c.Failed += o.Failed
	for name, n := range o.FailedByTarget {
		c.fail(name, n)
	}
	if o.Latency != nil {
		c.Latency.Merge(o.Latency)
	}
}

func (c *Counts) fail(name string, n int) {
	if _, ok := c.FailedByTarget[name]; ok || len(c.FailedByTarget) < maxFailing {
		c.FailedByTarget[name] += n
	}
}

func (c *Counts) observe(latency time.Duration) {
	// A value within the bounds is always recorded.
	_ = c.Latency.RecordValue(min(max(latency.Microseconds(), lowest), highest))
}

// discounted returns the failures without those of the target that failed most.
// With a single target all failures count.
func (c *Counts) discounted(targets int) int {
	if targets < 2 {
		return c.Failed
	}
	worst := 0
	for _, n := range c.FailedByTarget {
		worst = max(worst, n)
	}
	return c.Failed - worst
}

// Key names one side of a comparison: the new or the old versions on a route.
type Key struct {
	Route string `json:"route,omitempty"`
	New   bool   `json:"new,omitempty"`
}

// RouteCounts is the evidence of one host for one side of a route since its last report.
type RouteCounts struct {
	Key
	Counts
	// Encoded is the latency histogram in HdrHistogram's compressed form.
	Encoded []byte `json:"latency,omitempty"`
}

func (p *RouteCounts) encode() error {
	if p.Latency.TotalCount() == 0 {
		return nil
	}
	var err error
	p.Encoded, err = p.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return errors.Wrap(err, "encode latencies")
}

// Decode checks a part that came from another host and reads its histogram.
func (p *RouteCounts) Decode() error {
	if p.Total < 0 || p.Failed < 0 || p.Failed > p.Total {
		return errors.Errorf("%d failures of %d sub-requests", p.Failed, p.Total)
	}
	p.Latency = hdrhistogram.New(lowest, highest, digits)
	if len(p.Encoded) == 0 {
		return nil
	}
	h, err := hdrhistogram.Decode(p.Encoded)
	if err != nil {
		return errors.Wrap(err, "decode latencies")
	}
	if dropped := p.Latency.Merge(h); dropped > 0 {
		return errors.Errorf("%d latencies above %s", dropped, time.Minute)
	}
	return nil
}

// Report is the evidence of one host for one move.
type Report struct {
	Service string `json:"service"`
	// Version is the new version. Reports for another one are outdated.
	Version string        `json:"version"`
	Counts  []RouteCounts `json:"parts"`
}

// pool holds the evidence of all hosts in slots of time. Both versions of a report
// go into the same slot, so that a window compares the same seconds.
type pool struct {
	// slots are of the short window and slotLength long, older ones are as long as
	// the short window, so that few have to be added up.
	slots, older []slot
}

type slot struct {
	at    time.Time
	parts map[Key]*Counts
}

func (p *pool) add(now time.Time, parts []RouteCounts) {
	if len(p.slots) == 0 || now.Sub(p.slots[len(p.slots)-1].at) >= slotLength {
		p.slots = append(p.slots, slot{now, map[Key]*Counts{}})
	}
	p.age(now)
	last := &p.slots[len(p.slots)-1]
	for i := range parts {
		last.add(parts[i].Key, &parts[i].Counts)
	}
}

// age moves slots that have left the short window and drops those that have left
// the long one.
func (p *pool) age(now time.Time) {
	for len(p.slots) > 0 && now.Sub(p.slots[0].at) > shortWindow {
		s := p.slots[0]
		p.slots = p.slots[1:]
		if n := len(p.older); n == 0 || s.at.Sub(p.older[n-1].at) >= shortWindow {
			p.older = append(p.older, s)
			continue
		}
		for key, c := range s.parts {
			p.older[len(p.older)-1].add(key, c)
		}
	}
	for len(p.older) > 0 && now.Sub(p.older[0].at) > longWindow {
		p.older = p.older[1:]
	}
}

func (s *slot) add(key Key, o *Counts) {
	c, ok := s.parts[key]
	if !ok {
		if len(s.parts) >= maxParts {
			return
		}
		c = newCounts()
		s.parts[key] = c
	}
	c.add(o)
}

// since calls f with the counts of all slots from a time on.
func (p *pool) since(from time.Time, f func(Key, *Counts)) {
	for _, slots := range [][]slot{p.older, p.slots} {
		for _, s := range slots {
			if s.at.Before(from) {
				continue
			}
			for key, c := range s.parts {
				f(key, c)
			}
		}
	}
}

// side holds the counts of both sides of one comparison.
type side struct{ old, new *Counts }

// window returns the counts by route from a time on, and those of all routes
// together. all is nil if there are no counts.
func (p *pool) window(from time.Time) (routes map[string]*side, all *side) {
	routes = map[string]*side{}
	p.since(from, func(key Key, c *Counts) {
		if routes[key.Route] == nil {
			routes[key.Route] = &side{newCounts(), newCounts()}
		}
		routes[key.Route].pick(key.New).add(c)
	})
	for _, r := range routes {
		if all == nil {
			all = &side{newCounts(), newCounts()}
		}
		all.old.add(r.old)
		all.new.add(r.new)
	}
	return routes, all
}

// answered returns the sub-requests of the new version from a time on.
func (p *pool) answered(from time.Time) int {
	n := 0
	p.since(from, func(key Key, c *Counts) {
		if key.New {
			n += c.Total
		}
	})
	return n
}

func (s *side) pick(isNew bool) *Counts {
	if isNew {
		return s.new
	}
	return s.old
}
