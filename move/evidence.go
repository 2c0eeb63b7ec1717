package move

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// Histograms hold latencies in microseconds with one significant digit. The bucket
	// width is about 6%, far below the difference that the tests tolerate.
	minLatencyMicros = 1
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 1

	// slotLength is the resolution of the windows. It is equal to the interval of reports.
	slotLength = 500 * time.Millisecond
	// shortWindow finds a fault soon after it begins. longWindow collects enough
	// sub-requests of rare routes and of faults that affect few sub-requests.
	shortWindow = 5 * time.Second
	longWindow  = time.Minute
	// maxRouteCounts bounds the counts in one report and in one slot.
	maxRouteCounts = 256
	// maxCountedTargets bounds the entries of Counts.TotalByTarget and Counts.FailedByTarget.
	maxCountedTargets = 64
	// mainTargetShare is the share of the sub-requests of a version above which one of its
	// targets gets nearly all of them, if it got minMainTarget at least.
	mainTargetShare = 0.75
	minMainTarget   = 20
	// Targets fail alike if the others have minOtherFailures or more and fail at least alikeRatio
	// times as often as the one that fails most.
	minOtherFailures = 5
	alikeRatio       = 0.5
)

// Counts holds the outcomes of sub-requests.
type Counts struct {
	Total  int `json:"total"`
	Failed int `json:"failed,omitempty"`
	// TotalByTarget and FailedByTarget hold the numbers by target, for at most 64 targets each.
	TotalByTarget  map[string]int `json:"asked,omitempty"`
	FailedByTarget map[string]int `json:"failing,omitempty"`
	// Latency is in microseconds. It does not include failed sub-requests.
	Latency *hdrhistogram.Histogram `json:"-"`
}

func newCounts() *Counts {
	return &Counts{
		TotalByTarget: map[string]int{}, FailedByTarget: map[string]int{}, Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
	}
}

func (c *Counts) add(o *Counts) {
	c.Total += o.Total
	c.Failed += o.Failed
	for name, n := range o.TotalByTarget {
		addCount(c.TotalByTarget, name, n)
	}
	for name, n := range o.FailedByTarget {
		c.addFailures(name, n)
	}
	if o.Latency != nil {
		c.Latency.Merge(o.Latency)
	}
}

func (c *Counts) addFailures(name string, n int) { addCount(c.FailedByTarget, name, n) }

// addCount adds n to the count of a target unless there are counts of too many others.
func addCount(counts map[string]int, target string, n int) {
	if _, ok := counts[target]; ok || len(counts) < maxCountedTargets {
		counts[target] += n
	}
}

func (c *Counts) observe(latency time.Duration) {
	// A value within the bounds can always be recorded.
	_ = c.Latency.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// withoutWorstTarget returns the numbers of sub-requests and of failures without those of the
// target that failed most, unless the others are no better: a dead target is no fault of its
// version.
func (c *Counts) withoutWorstTarget(targets int) (total, failed int) {
	if targets < 2 {
		return c.Total, c.Failed
	}
	name, worst := "", 0
	for target, n := range c.FailedByTarget {
		if n > worst || n == worst && target < name {
			name, worst = target, n
		}
	}
	asked := c.TotalByTarget[name]
	if c.isMainTarget(asked) || c.othersFailToo(asked, worst) {
		return c.Total, c.Failed
	}
	return c.Total - asked, c.Failed - worst
}

// isMainTarget reports whether a target got nearly all sub-requests of the version: hosts soon
// avoid a dead target for the others.
func (c *Counts) isMainTarget(asked int) bool {
	return asked >= minMainTarget && float64(asked) > mainTargetShare*float64(c.Total)
}

// othersFailToo reports whether the other targets fail about as often as the one that fails most.
func (c *Counts) othersFailToo(asked, failed int) bool {
	others := c.Failed - failed
	return asked > 0 && others >= minOtherFailures && float64(others)*float64(asked) >= alikeRatio*float64(failed)*float64(c.Total-asked)
}

// Key identifies counts: those of the new version or of the old versions on a route.
type Key struct {
	Route string `json:"route,omitempty"`
	New   bool   `json:"new,omitempty"`
}

// RouteCounts is the evidence of one host for one key since its last report.
type RouteCounts struct {
	Key
	Counts
	// Encoded is the latency histogram in the compressed encoding of HdrHistogram.
	Encoded []byte `json:"latency,omitempty"`
}

func (rc *RouteCounts) encode() error {
	if rc.Latency.TotalCount() == 0 {
		return nil
	}
	var err error
	rc.Encoded, err = rc.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return errors.Wrap(err, "encode latencies")
}

// Decode validates counts that were received from another host and decodes their histogram.
func (rc *RouteCounts) Decode() error {
	if rc.Total < 0 || rc.Failed < 0 || rc.Failed > rc.Total {
		return errors.Errorf("%d failures of %d sub-requests", rc.Failed, rc.Total)
	}
	if err := checkByTarget(rc.TotalByTarget, rc.Total); err != nil {
		return errors.Wrap(err, "sub-requests by target")
	}
	if err := checkByTarget(rc.FailedByTarget, rc.Failed); err != nil {
		return errors.Wrap(err, "failures by target")
	}
	rc.Latency = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	if len(rc.Encoded) == 0 {
		return nil
	}
	h, err := hdrhistogram.Decode(rc.Encoded)
	if err != nil {
		return errors.Wrap(err, "decode latencies")
	}
	if dropped := rc.Latency.Merge(h); dropped > 0 {
		return errors.Errorf("%d latencies above %s", dropped, time.Minute)
	}
	return nil
}

// checkByTarget checks that the counts by target are part of a total.
func checkByTarget(counts map[string]int, total int) error {
	if len(counts) > maxCountedTargets {
		return errors.Errorf("%d targets", len(counts))
	}
	for name, n := range counts {
		if n < 0 || n > total {
			return errors.Errorf("%d of target %q, %d in all", n, name, total)
		}
		total -= n
	}
	return nil
}

// Report is the evidence of one host for one move.
type Report struct {
	Service string `json:"service"`
	// Version is the new version. A report for another version is outdated.
	Version string        `json:"version"`
	Counts  []RouteCounts `json:"parts"`
}

// pool holds the evidence of all hosts in time slots. The counts of both versions in a
// report go into the same slot, so that a window covers the same period for both.
type pool struct {
	// recent holds the slots of the short window, each slotLength long. The slots in
	// older are each as long as the short window, so that few have to be summed.
	recent, older []slot
}

type slot struct {
	at     time.Time
	counts map[Key]*Counts
}

func (p *pool) add(now time.Time, counts []RouteCounts) {
	if len(p.recent) == 0 || now.Sub(p.recent[len(p.recent)-1].at) >= slotLength {
		p.recent = append(p.recent, slot{now, map[Key]*Counts{}})
	}
	p.age(now)
	last := &p.recent[len(p.recent)-1]
	for i := range counts {
		last.add(counts[i].Key, &counts[i].Counts)
	}
}

// age merges slots that have left the short window into older and drops those that have
// left the long window.
func (p *pool) age(now time.Time) {
	for len(p.recent) > 0 && now.Sub(p.recent[0].at) > shortWindow {
		s := p.recent[0]
		p.recent = p.recent[1:]
		if n := len(p.older); n == 0 || s.at.Sub(p.older[n-1].at) >= shortWindow {
			p.older = append(p.older, s)
			continue
		}
		for key, c := range s.counts {
			p.older[len(p.older)-1].add(key, c)
		}
	}
	for len(p.older) > 0 && now.Sub(p.older[0].at) > longWindow {
		p.older = p.older[1:]
	}
}

func (s *slot) add(key Key, o *Counts) {
	c, ok := s.counts[key]
	if !ok {
		if len(s.counts) >= maxRouteCounts {
			return
		}
		c = newCounts()
		s.counts[key] = c
	}
	c.add(o)
}

// eachSince calls f with the counts of all slots that begin at or after from.
func (p *pool) eachSince(from time.Time, f func(Key, *Counts)) {
	for _, slots := range [][]slot{p.older, p.recent} {
		for _, s := range slots {
			if s.at.Before(from) {
				continue
			}
			for key, c := range s.counts {
				f(key, c)
			}
		}
	}
}

// versionPair holds the counts of the old versions and of the new version.
type versionPair struct{ old, new *Counts }

// window returns the counts since from, by route and for all routes together. all is nil
// if there are no counts.
func (p *pool) window(from time.Time) (routes map[string]*versionPair, all *versionPair) {
	routes = map[string]*versionPair{}
	p.eachSince(from, func(key Key, c *Counts) {
		if routes[key.Route] == nil {
			routes[key.Route] = &versionPair{newCounts(), newCounts()}
		}
		routes[key.Route].ofVersion(key.New).add(c)
	})
	for _, r := range routes {
		if all == nil {
			all = &versionPair{newCounts(), newCounts()}
		}
		all.old.add(r.old)
		all.new.add(r.new)
	}
	return routes, all
}

// newVersionTotal returns the number of sub-requests to the new version since from.
func (p *pool) newVersionTotal(from time.Time) int {
	n := 0
	p.eachSince(from, func(key Key, c *Counts) {
		if key.New {
			n += c.Total
		}
	})
	return n
}

func (v *versionPair) ofVersion(isNew bool) *Counts {
	if isNew {
		return v.new
	}
	return v.old
}
