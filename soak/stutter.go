package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"wasabirelay/platform/standin"
)

const (
	// earlyShare is the share of callers' requests that are given up early, within maxPatience.
	// pipelinedShare and slowShare are the shares of those that are sent one behind the other on a
	// connection, and of those whose body is sent slowly.
	earlyShare, pipelinedShare, slowShare = 0.1, 0.15, 0.1

	maxPatience    = 30 * time.Millisecond
	maxBodyTime    = 40 * time.Millisecond
	maxServiceTime = 10 * time.Millisecond
	maxPipelined   = 4
	// maxExcessRequests is the platform's tolerance: so many requests may run on more targets
	// than the attempts of their route.
	maxExcessRequests = 3
)

// stutter returns how targets depart from one whole reply per request; nil if they don't.
func (r *Run) stutter() *standin.Stutter {
	if !r.Stutter {
		return nil
	}
	rnd := rand.New(rand.NewPCG(r.Seed, 2))
	pick := func(shares ...float64) float64 { return shares[rnd.IntN(len(shares))] }
	return &standin.Stutter{
		Seed: r.Seed, Repeated: pick(0.1, 0.3, 0.5, 0.9), Unframed: pick(0, 0.05), Broken: pick(0, 0.02, 0.05), Chunked: pick(0, 0.2),
		Failed: pick(0, 0.02, 0.1), Refused: pick(0, 0.02, 0.1), Spoilt: r.SpoiltShare, MaxServiceTime: maxServiceTime,
	}
}

// sendStuttered sends requests to all routes until ctx is done. Pipelined ones bypass the links of
// callers, whose faults lose bytes in the middle of a connection, as no network does.
func (r *Run) sendStuttered(ctx context.Context, number int) {
	rnd := rand.New(rand.NewPCG(r.Seed, uint64(3+number))) //nolint:gosec // the number of a caller
	routes := []*route{&mergedRoute, &singleRunRoute, &repeatedRoute}
	linked, direct := make([]*standin.Caller, r.EntryHosts), make([]*standin.Caller, r.EntryHosts)
	for i := range r.EntryHosts {
		linked[i] = &standin.Caller{To: r.callerLinks[i].Address, Timeout: callerTimeout}
		direct[i] = &standin.Caller{To: r.machine(r.ControlHosts + i).CallerAddress(), Timeout: callerTimeout}
		defer linked[i].Close()
		defer direct[i].Close()
	}
	for i := 0; ctx.Err() == nil; i++ {
		host := (number + i) % r.EntryHosts
		c, n, patience := linked[host], 1, callerTimeout
		if r.Quiet || rnd.IntN(2) == 0 {
			c = direct[host]
		}
		if rnd.Float64() < pipelinedShare {
			c, n = direct[host], 2+rnd.IntN(maxPipelined-1)
		}
		if rnd.Float64() < earlyShare {
			patience = time.Duration(rnd.Int64N(int64(maxPatience)))
		}
		var queries []*standin.Query
		var to []*route
		for k := range n {
			route := routes[(i+k)%len(routes)]
			q := r.newQuery(rnd, host, route)
			queries, to = append(queries, q), append(to, route)
			r.traffic.recordSent(route.services)
		}
		answers, err := c.Send(ctx, patience, queries...)
		for k, a := range answers {
			r.check.checkAnswer(queries[k].ID, to[k], a)
			r.traffic.recordPassedOn(queries[k].ID, a, time.Now())
		}
		if err != nil && c == direct[host] {
			r.check.checkError(queries[min(len(answers), n-1)].ID, err)
		}
		time.Sleep(r.CallPause)
	}
}

// newQuery returns a request to a route.
func (r *Run) newQuery(rnd *rand.Rand, host int, to *route) *standin.Query {
	q := &standin.Query{Method: http.MethodGet, Path: to.path, ID: r.nextID(host)}
	switch {
	case to.singleRun:
		r.check.expectSingleRun(q.ID)
		q.Method, q.Body = http.MethodPost, []byte(strings.Repeat(q.ID+" ", 1+rnd.IntN(100)))
		if rnd.Float64() < slowShare {
			q.BodyTime = time.Duration(rnd.Int64N(int64(maxBodyTime)))
		}
	case !to.merged && rnd.Float64() < r.HeadShare:
		q.Method = http.MethodHead
	}
	r.check.expect(q)
	return q
}

// checkAttempts checks that requests ran on no more targets of a service than their route allows,
// and counts those that ran again at a target. Targets that end or are cut off count, so it holds
// for runs without such faults only.
func (c *checker) checkAttempts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var excess []string
	for id, q := range c.queries {
		targets := map[string]map[string]bool{}
		total := 0
		for _, x := range c.runs[id] {
			if targets[x.Target.Service] == nil {
				targets[x.Target.Service] = map[string]bool{}
			}
			if !targets[x.Target.Service][x.Target.ID] {
				targets[x.Target.Service][x.Target.ID] = true
				total++
			}
		}
		if len(c.runs[id]) > total {
			c.again++
		}
		for _, to := range []*route{&mergedRoute, &singleRunRoute, &repeatedRoute} {
			for _, service := range to.services {
				if q.Path == to.path && len(targets[service]) > to.attempts {
					excess = append(excess, fmt.Sprintf("%s at %d of %s", id, len(targets[service]), service))
				}
			}
		}
	}
	if len(excess) > maxExcessRequests {
		c.add("%d requests ran on more targets than their route allows: %s", len(excess), strings.Join(excess, "; "))
	}
}
