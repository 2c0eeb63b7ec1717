// Package workload estimates the work that requests cause: what a request is likely to cost, how fast
// a target is, and what the target still has to do. It has no sockets, goroutines or clocks; the
// caller passes the time in and serialises the calls.
package workload

import (
	"math"
	"math/bits"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pathBuckets bounds the kinds that the paths of one route are divided into.
	pathBuckets = 64
	// kindSets and kindWays are the dimensions of the tables of kinds and of routes: at most 1,024
	// estimates each.
	kindSets, kindWays = 256, 4
	// priorWeight is how many samples of its own a kind needs before its own mean counts as much as
	// that of its route.
	priorWeight = 8
	// minCostWeight is the smallest weight of a new sample: the mean covers about the last 50.
	minCostWeight = 0.02
	// evidenceDecayTime is the time constant with which the evidence about a kind ages.
	evidenceDecayTime = 2 * time.Minute
	// freshTime is the age up to which an estimate counts as fresh.
	freshTime = 2 * time.Second
	// clipFactor bounds a sample to this many times the mean, once the mean rests on clipSamples: a
	// target that has stopped for a moment says nothing about the request.
	clipFactor, clipSamples = 6, 8
	// boundQuantile is the quantile that Estimate.Bound follows, and boundStep its relative step.
	boundQuantile, boundStep = 0.95, 0.08
	// initialBound is the bound of a kind in terms of its first sample.
	initialBound = 2
)

// Kind identifies the requests that are expected to cost the same.
type Kind struct{ route, class uint64 }

// NewKind returns the kind of a request: its route, method, size class of the body, organisation, and
// a bounded fingerprint of the path below the prefix of the route. Its last element is left out if
// there are others, because it often names a single object.
func NewKind(route, method, path, organisation string, body int) Kind {
	if end := strings.LastIndexByte(path, '/'); end > 0 {
		path = path[:end]
	}
	class := xxhash.Sum64String(path) % pathBuckets
	class = class*31 + xxhash.Sum64String(method)
	class = class*31 + uint64(bits.Len(uint(max(body, 0)))/2) // classes differ by a factor of 4
	if organisation != "" {
		class = class*31 + xxhash.Sum64String(organisation)
	}
	return Kind{route: xxhash.Sum64String(route) | 1, class: class | 1}
}

// Estimate is what a request is likely to cost on a target of ordinary speed that does nothing else.
type Estimate struct {
	// Mean is the expected cost, and Bound the cost that one request in 20 exceeds. Both are 0 if
	// nothing is known.
	Mean, Bound time.Duration
	// Fresh is true if a request of the route was measured a moment ago. Requests are refused for their
	// cost only then, so that some are always sent and measured.
	Fresh bool
	// Relative is Mean divided by that of all requests of the route; 1 if nothing is known.
	Relative float64
}

// Costs holds the learned costs of kinds of requests, in bounded memory.
type Costs struct{ kinds, routes [kindSets][kindWays]cost }

// cost is the estimate for one kind; times are in nanoseconds.
type cost struct {
	kind        Kind
	mean, bound float64
	weight      float64
	updated     time.Time
}

// Estimate returns the expected cost of a request. A kind with few samples is estimated mostly by its
// route.
func (c *Costs) Estimate(now time.Time, k Kind) Estimate {
	route := find(&c.routes, k.ofRoute())
	if route == nil {
		return Estimate{Relative: 1}
	}
	mean, bound := route.mean, route.bound
	if own := find(&c.kinds, k); own != nil {
		share := own.aged(now)
		share /= share + priorWeight
		mean += share * (own.mean - mean)
		bound += share * (own.bound - bound)
	}
	return Estimate{
		Mean: time.Duration(mean), Bound: time.Duration(max(mean, bound)), Relative: mean / route.mean, Fresh: now.Sub(route.updated) < freshTime,
	}
}

// Observe records the measured cost of a request.
func (c *Costs) Observe(now time.Time, k Kind, measured time.Duration) {
	if measured <= 0 {
		return
	}
	findOrReplace(&c.routes, k.ofRoute()).add(now, float64(measured))
	findOrReplace(&c.kinds, k).add(now, float64(measured))
}

func (k Kind) ofRoute() Kind { return Kind{route: k.route} }

func (k Kind) set() uint64 { return (k.route ^ k.class*0x9e3779b97f4a7c15) >> 7 % kindSets }

// find returns the estimate for the kind, or nil.
func find(table *[kindSets][kindWays]cost, k Kind) *cost {
	set := &table[k.set()]
	for i := range set {
		if set[i].kind == k && set[i].weight > 0 {
			return &set[i]
		}
	}
	return nil
}

// findOrReplace returns the estimate for the kind. A new kind replaces the one that was not observed
// for the longest time.
func findOrReplace(table *[kindSets][kindWays]cost, k Kind) *cost {
	if e := find(table, k); e != nil {
		return e
	}
	set := &table[k.set()]
	oldest := &set[0]
	for i := range set {
		if set[i].updated.Before(oldest.updated) {
			oldest = &set[i]
		}
	}
	*oldest = cost{kind: k}
	return oldest
}

func (e *cost) add(now time.Time, x float64) {
	if e.weight == 0 {
		e.mean, e.bound, e.weight, e.updated = x, initialBound*x, 1, now
		return
	}
	e.weight = e.aged(now)
	if e.weight >= clipSamples {
		x = min(x, clipFactor*e.mean)
	}
	e.weight = min(e.weight+1, 1/minCostWeight)
	e.updated = now
	e.mean += (x - e.mean) / e.weight
	if x > e.bound {
		e.bound *= 1 + boundStep*boundQuantile
	} else {
		e.bound *= 1 - boundStep*(1-boundQuantile)
	}
}

// aged returns the number of samples that the estimate rests on.
func (e *cost) aged(now time.Time) float64 {
	return e.weight * decay(now.Sub(e.updated), evidenceDecayTime)
}

// decay returns the factor that remains of a weight after the given age.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
