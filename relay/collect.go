package relay

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/portion"
	"wasabirelay/route"
	"wasabirelay/routing"
)

// gathered holds the replies to a request to all shards.
type gathered struct {
	// services and signatures are those of the shards that have replied. The services of
	// shards that other hosts have asked are left out.
	services   []string
	signatures []string
	// bodies holds the records of the replies. Those of a portion are in one body.
	bodies [][]byte
	// failed holds the results of the shards that have failed or not replied.
	failed []result
	// extra is the number of hedges and retries.
	extra int
}

// add adds the final result of a fetch.
func (c *gathered) add(r *result, signature string) {
	c.extra += extraAttempts(r)
	if !r.succeeded() {
		c.failed = append(c.failed, *r)
		return
	}
	c.services = append(c.services, r.service)
	c.signatures = append(c.signatures, r.response.Header.Get(signature))
	c.bodies = append(c.bodies, r.response.Body)
}

// fail adds a shard without a reply. ran is true if a target may have executed the request.
func (c *gathered) fail(service string, ran bool, err error) {
	c.failed = append(c.failed, result{service: service, outcome: route.TimedOut, ran: ran, err: err})
}

// errPending is the error of a shard that has not replied when the response is sent.
var errPending = errors.New("no reply yet")

// collect fetches from all shards of the plan until all have ended, ctx ends, or stop returns true.
// stop is called after each event with the number of cutoffs that have passed.
func (s *Service) collect(ctx context.Context, j *job, plan *portion.Plan, cutoffs []time.Time, stop func(c *gathered, passed int) bool) *gathered {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := s.startFetches(ctx, j, plan)
	defer g.stop()
	if len(g.fetches) > 0 {
		s.gathering.Add(1)
		defer s.gathering.Add(-1)
	}
	for passed := 0; !g.complete(); {
		var cutoff time.Time
		if passed < len(cutoffs) {
			cutoff = cutoffs[passed]
		}
		r, event := g.next(cutoff)
		switch event {
		case cutoffReached:
			passed++
		case fetchEnded:
			g.received.add(r, s.Headers.Signature)
		case portionChanged, requestEnded:
		}
		if event == requestEnded || stop(&g.received, passed) {
			break
		}
	}
	g.failUnfinished()
	return &g.received
}

// failUnfinished adds the results that have not been returned, and the shards that have no reply
// when the response is sent.
func (g *fetchGroup) failUnfinished() {
	for _, f := range g.unreturned {
		g.received.add(&f.last, g.Headers.Signature)
	}
	g.unreturned = nil
	for i := range g.fetches {
		if f := &g.fetches[i]; !f.done {
			g.received.fail(f.service, f.abandon(), errPending)
		}
	}
	for _, d := range g.delegations {
		g.countRun(g.j, len(d.pending) > 0)
		for service := range d.pending {
			g.received.fail(service, true, errPending)
		}
	}
}

// Collect collects a portion for another host, or serves a whole request that it has passed on. For a
// portion, it passes a frame to send after a share of the objective, so that the other host knows that
// this one works on it, and from the cutoff on whenever there are new replies. It returns the last
// frame.
func (s *Service) Collect(ctx context.Context, r *portion.Request, send func(*portion.Frame)) *portion.Frame {
	j, reason := s.acceptPortion(ctx, r)
	if reason != "" {
		s.Metrics.portion(refusedLabel)
		return &portion.Frame{Refused: reason}
	}
	s.Metrics.portion("collected")
	if r.Whole {
		return s.serveWhole(ctx, j, send)
	}
	out := portionOutput{limit: j.route.ResultLimit}
	report := j.started.Add(time.Duration(reportShare * float64(j.route.Objective)))
	if report.After(j.partialAfter) {
		report = j.partialAfter
	}
	cutoffs, sent := []time.Time{report, j.partialAfter}, 0
	c := s.collect(ctx, j, &portion.Plan{Own: r.Shards}, cutoffs, func(c *gathered, passed int) bool {
		if passed > sent || passed == len(cutoffs) && out.hasNew(c) {
			sent = passed
			send(out.next(c))
		}
		return false
	})
	return out.next(c)
}

// acceptPortion returns the job for a portion, or the reason why this host doesn't work on it.
func (s *Service) acceptPortion(ctx context.Context, r *portion.Request) (j *job, reason string) {
	view := s.View()
	switch {
	case view == nil:
		return nil, "no routing document is known yet"
	case s.Reach.Lost():
		return nil, "this host has lost its links to targets"
	}
	rt := view.Routing.Match(r.Host, pathOf(r.URI))
	if rt == nil || !rt.Idempotent && !r.Whole || routeHash(rt) != r.Route {
		return nil, "another route is in force here"
	}
	if slices.ContainsFunc(r.Shards, func(service string) bool { return !slices.Contains(rt.Shards, service) }) {
		return nil, "the route lacks a shard of the portion"
	}
	a, reason := s.admitPortion(view.Routing, rt, r)
	if reason != "" {
		return nil, reason
	}
	header := r.Header
	if view.Routing.RequiresKeys() {
		header = s.Headers.withoutKey(r.Header, a.name())
	}
	part, spare, now := rt, r.Spare, s.Clock.Now()
	if r.Whole {
		spare = spareShards(rt)
	} else {
		divided := *rt
		divided.Shards = r.Shards
		part = &divided
	}
	request := (&http.Request{Method: r.Method, URL: &url.URL{Path: pathOf(r.URI)}, RequestURI: r.URI, Host: r.Host, Header: header}).WithContext(ctx)
	j = &job{
		Request: request, body: r.Body, id: r.Header.Get(s.Headers.Request), view: view, route: part, spare: spare,
		started: now, partialAfter: now.Add(r.Cutoff), deadline: now.Add(r.Timeout),
		organisation: a.name(), rank: a.rank(part),
	}
	// A host that names the organisation counts the request; one of an earlier version counts none.
	j.usage.counted.Store(r.Organisation != "" || !r.Whole)
	return j, ""
}

// admitPortion decides on a request of another host, or returns the reason why this host doesn't work on it.
// A host that names no organisation may run a build that knows none, or have a routing document without any:
// it has not judged the key, so that this host does.
func (s *Service) admitPortion(table *routing.Table, rt *routing.Route, r *portion.Request) (a admission, reason string) {
	if r.Organisation == "" || !table.RequiresKeys() {
		a = admit(table, rt, r.Header.Values(s.Headers.Credentials), s.Headers.Scheme, s.keysStale())
		return a, keyTexts[a.refused]
	}
	if a.organisation = table.Organisation(r.Organisation); a.organisation == nil {
		return a, "the organisation is not in the routing document in force here"
	}
	return a, ""
}

// portionOutput selects what the next frame of a portion carries.
type portionOutput struct {
	limit               int
	parts, failed, sent int
}

func (o *portionOutput) hasNew(c *gathered) bool {
	return len(c.services) > o.parts || len(c.failed) > o.failed
}

// next returns a frame with the replies and failures that no earlier frame has carried.
func (o *portionOutput) next(c *gathered) *portion.Frame {
	f := &portion.Frame{Extra: c.extra - o.sent}
	for i := o.parts; i < len(c.services); i++ {
		f.Parts = append(f.Parts, portion.Part{Service: c.services[i], Signature: c.signatures[i]})
	}
	f.Records = merge(c.bodies[o.parts:], o.limit)
	for i := range c.failed[o.failed:] {
		r := &c.failed[o.failed+i]
		f.Failed = append(f.Failed, portion.FailedShard{Service: r.service, Reason: r.reason(), Ran: r.ran})
	}
	o.parts, o.failed, o.sent = len(c.services), len(c.failed), c.extra
	return f
}
