package relay

import (
	"fmt"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/portion"
	"wasabirelay/routing"
)

const (
	// returnMargin is how long before the cutoff of a request another host sends what it has of a
	// portion: the way between data centres, and the time to encode, decode and merge it.
	returnMargin = 4 * time.Millisecond
	// reportShare is the fraction of the objective after which another host sends the first frame of
	// a portion. Without one, it gets no other portions after suspectShare, and the shards count as
	// failed after the objective.
	reportShare, suspectShare = 0.2, 0.5
)

var (
	errSilent      = errors.New("the other host has sent nothing")
	errNotReported = errors.New("the other host did not report the shard")
	errMalformed   = errors.New("the other host sent a malformed frame")
)

// delegation is a portion of the request that another host collects.
type delegation struct {
	collection *portion.Collection
	// pending holds the shards that it has not reported yet.
	pending map[string]bool
	// silentAt is the time from which the silence of the host has consequences; zero once it has
	// sent a frame.
	silentAt  time.Time
	suspected bool
	// sent is the time at which the portion was sent.
	sent time.Time
	done bool
	// spare is the number of its shards that the response can do without.
	spare int
}

// delegationEvent is a frame of a portion or its end.
type delegationEvent struct {
	delegation *delegation
	frame      *portion.Frame
	err        error
}

// cachedPlan is a plan, and which hosts were usable when it was made.
type cachedPlan struct {
	epoch uint64
	plan  *portion.Plan
}

// isPortable reports whether a message between hosts carries the request unchanged: JSON replaces bytes that
// are no UTF-8.
func isPortable(j *job) bool {
	if !utf8.ValidString(j.RequestURI) || !utf8.ValidString(j.Host) {
		return false
	}
	for _, values := range j.Header {
		for _, value := range values {
			if !utf8.ValidString(value) {
				return false
			}
		}
	}
	return true
}

// planOf returns how the shards of a request are divided among hosts. It is computed once per view
// and change of the usable hosts.
func (s *Service) planOf(j *job) *portion.Plan {
	v, r := j.view, j.route
	if s.Delegate == nil || v.Planner == nil || !isPortable(j) {
		return &portion.Plan{Own: r.Shards}
	}
	epoch := uint64(0)
	if s.HelpersEpoch != nil {
		epoch = s.HelpersEpoch()
	}
	if cached, ok := v.plans.Load(r); ok && cached.(*cachedPlan).epoch == epoch {
		return cached.(*cachedPlan).plan
	}
	plan := v.Planner.Plan(PortionShards(r.Shards, v.Targets, v.Out))
	v.plans.Store(r, &cachedPlan{epoch, plan})
	return plan
}

// PortionShards returns the shards with the data centres that have a usable target for them.
func PortionShards(services []string, targets map[string][]*control.Target, out map[string]bool) []portion.Shard {
	shards := make([]portion.Shard, 0, len(services))
	for _, service := range services {
		shard := portion.Shard{Service: service}
		for _, t := range targets[service] {
			if t.State == control.Warm && !out[t.Centre] && !slices.Contains(shard.Centres, t.Centre) {
				shard.Centres = append(shard.Centres, t.Centre)
			}
		}
		shards = append(shards, shard)
	}
	return shards
}

// routeHash identifies what two hosts have to agree on to divide a request or to pass it on: where
// it goes, whether it may be repeated, and how many attempts and records it has.
func routeHash(r *routing.Route) uint64 {
	d := xxhash.New()
	for _, service := range r.Shards {
		_, _ = d.WriteString(service)
		_, _ = d.Write([]byte{0})
	}
	for _, b := range r.Backends {
		_, _ = fmt.Fprintf(d, "%s %g\n", b.Service, b.Weight)
	}
	_, _ = d.Write([]byte{byte(r.Attempts), byte(r.ResultLimit), byte(r.ResultLimit >> 8), byte(r.ResultLimit >> 16)})
	_, _ = d.WriteString(strconv.FormatBool(r.Idempotent))
	return d.Sum64()
}

// spareOf returns how many of the spare shards of a request belong to n shards that follow before
// others, of total. Those of all portions add up to spare.
func spareOf(spare, before, n, total int) int {
	return spare*(before+n)/total - spare*before/total
}

// delegate leaves the portions of the plan to other hosts. It returns the shards that this host asks
// itself: those that no other host takes, and those of its own team unless it is busy.
func (g *fetchGroup) delegate(portions []portion.Portion, total int) (left []string) {
	if len(portions) == 0 {
		return nil
	}
	const framesPerPortion = 3 // those that may have no replies: two that are due at a time, and the last one
	g.frames = make(chan delegationEvent, total+framesPerPortion*len(portions))
	header := g.Headers.endToEnd(g.j.Header)
	hash := routeHash(g.j.route)
	before := 0 // shards of earlier portions
	for i := range portions {
		p := &portions[i]
		spare := spareOf(g.j.spare, before, len(p.Shards), total)
		before += len(p.Shards)
		if p.Member && left == nil && g.gathering.Load() == 0 {
			left = append(left, p.Shards...)
			continue
		}
		now := g.Clock.Now()
		d := &delegation{
			pending: make(map[string]bool, len(p.Shards)), sent: now,
			silentAt: now.Add(time.Duration(suspectShare * float64(g.j.route.Objective))), spare: spare,
		}
		for _, service := range p.Shards {
			d.pending[service] = true
		}
		request := &portion.Request{
			Method: g.j.Method, URI: g.j.RequestURI, Host: g.j.Host, Header: header, Body: g.j.body, Shards: p.Shards, Spare: d.spare, Route: hash,
			Organisation: g.j.organisation, Cutoff: g.j.partialAfter.Sub(now) - returnMargin, Timeout: max(g.j.deadline.Sub(now), time.Millisecond),
		}
		collection, err := g.Delegate(p.Hosts, request, func(f *portion.Frame, err error) {
			select {
			case g.frames <- delegationEvent{d, f, err}:
			case <-g.ctx.Done(): // the request has ended
			}
		})
		if err != nil {
			left = append(left, p.Shards...)
			continue
		}
		g.j.usage.recordSent(now.Sub(g.j.started))
		d.collection = collection
		g.delegations = append(g.delegations, d)
		g.delegated += len(p.Shards)
		g.spare -= d.spare
	}
	return left
}

// handleFrame handles a frame of a portion or its end.
func (g *fetchGroup) handleFrame(e *delegationEvent) {
	d := e.delegation
	if d.done {
		return
	}
	g.portionsChanged = true
	var refused *portion.RefusedError
	switch {
	case errors.As(e.err, &refused):
		g.takeBack(d, e.err)
	case e.err != nil:
		g.failDelegation(d, e.err)
	case !d.takes(e.frame):
		g.failDelegation(d, errMalformed)
	default:
		d.silentAt = time.Time{}
		g.takeFrame(d, e.frame)
	}
}

// takes reports whether the frame can be used: each shard in it is one that is still to be
// reported, and it has whole records.
func (d *delegation) takes(f *portion.Frame) bool {
	seen := make(map[string]bool, len(f.Parts)+len(f.Failed))
	for _, p := range f.Parts {
		if !d.pending[p.Service] || seen[p.Service] || !isPartSignature(p.Signature) {
			return false
		}
		seen[p.Service] = true
	}
	for _, p := range f.Failed {
		if !d.pending[p.Service] || seen[p.Service] {
			return false
		}
		seen[p.Service] = true
	}
	return len(f.Records)%recordSize == 0
}

// takeFrame adds the replies of a frame to those of the request.
func (g *fetchGroup) takeFrame(d *delegation, f *portion.Frame) {
	for _, p := range f.Parts {
		delete(d.pending, p.Service)
		g.delegated--
		g.received.signatures = append(g.received.signatures, p.Signature)
	}
	g.countRun(g.j, len(f.Parts) > 0)
	if len(f.Parts) > 0 {
		g.received.bodies = append(g.received.bodies, f.Records)
	}
	g.received.extra += f.Extra
	for _, p := range f.Failed {
		g.failDelegated(d, p.Service, p.Ran, errors.New(p.Reason))
	}
	if f.Last {
		d.done = true
		g.failDelegation(d, errNotReported)
	}
}

// failDelegated handles a shard of a portion without a reply.
func (g *fetchGroup) failDelegated(d *delegation, service string, ran bool, err error) {
	delete(d.pending, service)
	g.delegated--
	g.received.fail(service, ran, err)
	g.countRun(g.j, ran)
	if d.spare > 0 {
		d.spare--
	} else {
		g.spare--
	}
}

// takeBack asks the shards of a portion that no host works on.
func (g *fetchGroup) takeBack(d *delegation, err error) {
	d.done = true
	g.spare += d.spare
	g.logDelegation(d, "portion taken back", err)
	now := g.Clock.Now()
	for service := range d.pending {
		delete(d.pending, service)
		g.delegated--
		g.startFetch(service, now)
	}
}

// failDelegation ends a portion whose remaining shards may have run the request. They are not asked
// again: the other host may have used all attempts that the route allows, and may still be at work.
func (g *fetchGroup) failDelegation(d *delegation, err error) {
	d.done = true
	if len(d.pending) > 0 {
		g.logDelegation(d, "portion lost", err)
	}
	for service := range d.pending {
		g.failDelegated(d, service, true, err)
	}
}

// handleSilence handles the portions whose hosts have sent nothing for long.
func (g *fetchGroup) handleSilence(now time.Time) {
	for _, d := range g.delegations {
		switch {
		case d.done || d.silentAt.IsZero() || now.Before(d.silentAt):
		case !d.suspected:
			d.suspected = true
			d.collection.Suspect()
			d.silentAt = d.sent.Add(g.j.route.Objective)
		default:
			g.portionsChanged = true
			d.collection.Cancel()
			g.failDelegation(d, errSilent)
		}
	}
}

// cancelDelegations ends the portions whose replies are not needed any more.
func (g *fetchGroup) cancelDelegations() {
	for _, d := range g.delegations {
		if !d.done {
			d.done = true
			d.collection.Cancel()
		}
	}
}

func (g *fetchGroup) logDelegation(d *delegation, message string, err error) {
	g.Metrics.portion("failed")
	if omitted, ok := g.Events.Allow("portion", failedLines); ok {
		g.Log.Info().Err(err).Str("request", g.j.id).Str("route", g.j.route.Name).Str("helper", d.collection.Host).Int("shards", len(d.pending)).
			Bool("silent", !d.silentAt.IsZero()).Dur("age", g.Clock.Since(d.sent)).Int("omitted", omitted).Msg(message)
	}
}
