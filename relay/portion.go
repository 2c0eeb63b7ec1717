package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabirelay/route"
	"wasabirelay/routing"
)

const (
	// divideFrom is the number of shards from which a request is divided among hosts. A
	// request to one shard takes 30 µs (BenchmarkGather), so that more of them occupy the
	// small hosts at hand, which have a fifth of a processor, for over 10 ms.
	divideFrom = 64
	// portionSize is the number of shards that one host asks then: 7 ms of such a host.
	portionSize = 48
	// returnMargin is how long before the answer is decided a portion is due: the way
	// between data centres, and the time to decode it.
	returnMargin = 4 * time.Millisecond
	// portionTime bounds the work on a portion: hosts are not told that the caller has
	// left, and targets are expected to be free of its request half a second later.
	portionTime = 400 * time.Millisecond
)

// PortionRequest asks another host to collect the parts of some shards.
type PortionRequest struct {
	Request string      `json:"request"`
	Route   string      `json:"route"`
	Method  string      `json:"method"`
	URI     string      `json:"uri"`
	Host    string      `json:"host"`
	Header  http.Header `json:"header"`
	Body    []byte      `json:"body,omitempty"`
	Shards  []string    `json:"shards"`
	// Attempts, Limit and Quorum are those of the route, Objective as well.
	Attempts  int           `json:"attempts"`
	Limit     int           `json:"limit"`
	Quorum    float64       `json:"quorum"`
	Objective time.Duration `json:"objective"`
	// Decide is in what time an incomplete portion is better than a late one, Left how
	// long the work may take at all.
	Decide time.Duration `json:"decide"`
	Left   time.Duration `json:"left"`
}

// PortionReply holds the parts of some shards.
type PortionReply struct {
	// Signatures are those of the parts, Records the greatest records of all parts.
	Signatures []string `json:"signatures"`
	Records    []byte   `json:"records"`
	// Failed are the shards without a part, Extra is the number of further attempts.
	Failed []FailedShard `json:"failed,omitempty"`
	Extra  int           `json:"extra,omitempty"`
	// Refused is why nothing was asked; empty if it was.
	Refused string `json:"refused,omitempty"`
}

// FailedShard is a shard without a part.
type FailedShard struct {
	Service string `json:"service"`
	Reason  string `json:"reason"`
	// Ran states that a target may have run the request.
	Ran bool `json:"ran,omitempty"`
}

// NotAskedError reports that no host has worked on a portion.
type NotAskedError struct{ Reason string }

func (e *NotAskedError) Error() string { return "no host has worked on the portion: " + e.Reason }

// portion is what some shards contribute to an answer.
type portion struct {
	signatures []string
	bodies     [][]byte
	// failed are the shards without a part.
	failed []result
	// extra counts the attempts beyond the first ones.
	extra int
}

func (p *portion) add(o *portion) {
	p.signatures = append(p.signatures, o.signatures...)
	p.bodies = append(p.bodies, o.bodies...)
	p.failed = append(p.failed, o.failed...)
	p.extra += o.extra
}

// division is how the shards of a request are divided among hosts.
type division struct {
	groups [][]string
	// own is the group that this host asks itself, teams are the hosts for the others.
	own   int
	teams [][]string
}

// groups returns how many groups the shards are divided into among the hosts of a data
// centre; 1 if one host asks them all.
func groups(shards, hosts int) int {
	if shards < divideFrom {
		return 1
	}
	return max(1, min((shards+portionSize-1)/portionSize, hosts))
}

// divide divides shards among the hosts of a data centre, which stand in order. Each
// host asks the same group again and again, so that it needs connections only to the
// targets of that group. It returns nil if one host asks them all.
func divide(shards, hosts []string, self string) *division {
	count := groups(len(shards), len(hosts))
	if count == 1 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(shards)) // routes list the same shards in any order
	d := &division{teams: make([][]string, count)}
	at := slices.Index(hosts, self)
	if at < 0 { // a host that callers are hardly sent to
		at = int(xxhash.Sum64String(self) % uint64(count))
	}
	d.own = at % count
	for i := range count {
		d.groups = append(d.groups, sorted[i*len(sorted)/count:(i+1)*len(sorted)/count])
	}
	for i, host := range hosts {
		if host != self {
			d.teams[i%count] = append(d.teams[i%count], host)
		}
	}
	return d
}

// Askers returns the hosts that ask a service, for those services that not all hosts ask.
// It takes the hosts that callers are sent to by data centre, in order of their names.
func (v *View) Askers(centres map[string][]string) map[string][]string {
	askers, shared := map[string][]string{}, map[string]bool{}
	for i := range v.Routing.Document.Routes {
		shards := v.Routing.Document.Routes[i].Shards
		for _, hosts := range centres {
			d := divide(shards, hosts, "")
			if d == nil {
				for _, service := range shards {
					shared[service] = true
				}
				continue
			}
			for g, group := range d.groups {
				for _, service := range group {
					askers[service] = append(askers[service], d.teams[g]...)
				}
			}
		}
	}
	for service, hosts := range askers {
		if shared[service] {
			delete(askers, service)
			continue
		}
		askers[service] = slices.Compact(slices.Sorted(slices.Values(hosts)))
	}
	return askers
}

// collectAll collects the parts of all shards, with the help of other hosts if there are
// many.
func (s *Service) collectAll(ctx context.Context, j *job) *portion {
	if s.Ask != nil {
		if d := divide(j.route.Shards, j.view.Helpers, s.Self); d != nil {
			return s.collectDivided(ctx, j, d)
		}
	}
	return s.collect(ctx, j)
}

// collectDivided collects all groups at the same time. Like collect, it returns early
// once an incomplete answer is better than a late one.
func (s *Service) collectDivided(ctx context.Context, j *job, d *division) *portion {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type collected struct {
		group int
		*portion
	}
	results := make(chan collected, len(d.groups))
	for i, group := range d.groups {
		go func() {
			if i == d.own {
				results <- collected{i, s.collect(ctx, j.part(group))}
			} else {
				results <- collected{i, s.delegate(ctx, j, d.teams[i], group)}
			}
		}()
	}
	timer := s.Clock.NewTimer(max(0, j.decide.Sub(s.Clock.Now())))
	defer timer.Stop()
	total, done, late := &portion{}, make([]bool, len(d.groups)), false
	for pending := len(d.groups); pending > 0 && (!late || len(total.signatures) < j.route.Needed()); {
		select {
		case c := <-results:
			total.add(c.portion)
			done[c.group] = true
			pending--
		case <-timer.Chan():
			late = true
		case <-ctx.Done():
			pending = 0
		}
	}
	for i, group := range d.groups {
		if !done[i] {
			total.fail(group, true, errPending)
		}
	}
	return total
}

// fail adds shards that have no part.
func (p *portion) fail(shards []string, ran bool, err error) {
	for _, service := range shards {
		p.failed = append(p.failed, result{service: service, outcome: route.TimedOut, ran: ran, err: err})
	}
}

// part returns the job for some of the shards.
func (j *job) part(shards []string) *job {
	out, r := *j, *j.route
	r.Shards = shards
	out.route, out.decide = &r, j.decide.Add(-returnMargin)
	return &out
}

// delegate lets one host of a team collect a group. If none has worked on it, this host
// does; otherwise the group has no parts, because a second request to its targets is not
// in the budget.
func (s *Service) delegate(ctx context.Context, j *job, team, group []string) *portion {
	part, now := j.part(group), s.Clock.Now()
	header := forwarded(j.Header)
	reply, err := s.Ask(ctx, team, &PortionRequest{
		Request: j.id, Route: j.route.Name, Method: j.Method, URI: j.RequestURI, Host: j.Host, Header: header, Body: j.body, Shards: group,
		Attempts: j.route.Attempts, Limit: j.route.Limit, Quorum: j.route.Quorum, Objective: j.route.Objective,
		Decide: part.decide.Sub(now), Left: min(j.deadline.Sub(now), portionTime),
	})
	var not *NotAskedError
	switch {
	case errors.As(err, &not):
		s.logDelegation(j, group, err, "collected here")
		return s.collect(ctx, part)
	case err != nil:
		s.logDelegation(j, group, err, "left out")
		p := &portion{}
		p.fail(group, true, err)
		return p
	}
	return reply.portion()
}

func (s *Service) logDelegation(j *job, group []string, err error, outcome string) {
	s.Metrics.portion(outcome)
	if omitted, ok := s.Events.Allow("portion", failedLines); ok {
		s.Log.Info().Err(err).Str("request", j.id).Str("route", j.route.Name).Int("shards", len(group)).Str("outcome", outcome).
			Int("omitted", omitted).Msg("portion not collected by another host")
	}
}

func (r *PortionReply) portion() *portion {
	p := &portion{signatures: r.Signatures, bodies: [][]byte{r.Records}, extra: r.Extra}
	for _, f := range r.Failed {
		p.fail([]string{f.Service}, f.Ran, errors.New(f.Reason))
	}
	return p
}

// Collect collects the parts of some shards for another host.
func (s *Service) Collect(ctx context.Context, q *PortionRequest) *PortionReply {
	view := s.View()
	switch {
	case view == nil:
		return &PortionReply{Refused: "no routing document is known yet"}
	case s.Draining():
		return &PortionReply{Refused: "this host stops"}
	case len(q.Shards) == 0 || q.Left <= 0:
		return &PortionReply{Refused: "nothing can be asked"}
	}
	now := s.Clock.Now()
	left := min(q.Left, portionTime)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	s.Metrics.portion("for another host")
	p := s.collect(ctx, &job{
		Request: &http.Request{Method: q.Method, RequestURI: q.URI, Host: q.Host, Header: q.Header}, body: q.Body, id: q.Request, view: view,
		route: &routing.Route{
			Name: q.Route, Idempotent: true, Objective: q.Objective, Attempts: q.Attempts, Shards: q.Shards, Limit: q.Limit, Quorum: q.Quorum,
		},
		started: now, deadline: now.Add(left), decide: now.Add(q.Decide),
	})
	reply := &PortionReply{Signatures: p.signatures, Records: merge(p.bodies, q.Limit), Extra: p.extra}
	for i := range p.failed {
		f := &p.failed[i]
		reply.Failed = append(reply.Failed, FailedShard{Service: f.service, Reason: f.reason(), Ran: f.ran})
	}
	return reply
}
