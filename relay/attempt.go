package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/route"
)

// result is the end of an attempt at one target, or of all attempts for a service.
type result struct {
	// fetch is the one that the attempt belongs to.
	fetch   *fetch
	service string
	// target is the one that replied, nil if none was asked.
	target   *control.Target
	response *limit.Response
	outcome  route.Outcome
	// ran states that the request may have run.
	ran bool
	err error
	// withdrawn states that the attempt was given up before anything was sent.
	withdrawn bool
	// attempts is the number of targets that the request was sent to.
	attempts int
}

// good reports whether the result is a success of the target.
func (r *result) good() bool { return r.outcome == route.Success && r.response != nil }

// reason is for logs.
func (r *result) reason() string {
	switch {
	case r.err != nil:
		return r.err.Error()
	case r.response != nil:
		return "status " + strconv.Itoa(r.response.Status)
	}
	return "no reply"
}

var (
	errNoTarget  = errors.New("no target can take the request")
	errWithdrawn = errors.New("given up before it was sent")
	errUnsigned  = errors.New("the reply has no signature")
)

// CheckReply reports why a reply does not belong to the request. It is for
// limit.Pool.CheckReply.
func (s *Service) CheckReply(req *http.Request, res *limit.Response) error {
	want, got := req.Header.Get(s.Headers.Request), res.Header.Get(s.Headers.Request)
	if got != want {
		return errors.Errorf("the reply is for request %q", got)
	}
	return nil
}

// run makes the attempt and hands its end to the gathering.
func (g *gathering) run(ctx context.Context, y *try) {
	defer y.cancel()
	r := g.attempt(ctx, g.message, y)
	select {
	case g.results <- r:
	case <-g.ctx.Done(): // nobody waits for it
	}
}

// attempt sends the request to a target and waits for the reply.
func (g *gathering) attempt(ctx context.Context, m *message, y *try) *result {
	s, j, t := g.Service, g.j, y.target
	out := &result{fetch: y.fetch, service: t.Service, target: t}
	permit, err := s.Pool.Acquire(ctx, t)
	if err != nil {
		out.err, out.outcome = err, route.Shed
		if ctx.Err() != nil {
			out.outcome = route.Cancelled
		}
		out.withdrawn = y.state.Load() == withdrawn
		return out
	}
	started := s.Clock.Now()
	s.Table.Start(started, t)
	s.attempts.Add(1)
	left := max(1, j.deadline.Sub(started).Milliseconds())
	out.response, err = s.Pool.Send(ctx, permit, m.to(t, &s.Headers, left), y.commit)
	now := s.Clock.Now()
	s.classify(ctx, out, err)
	out.withdrawn = y.state.Load() == withdrawn
	permit.Release(permitResult(out.outcome))
	s.Table.Done(now, t, j.route.Name, now.Sub(started), out.outcome)
	s.Metrics.attempt(t.Service, out.outcome, now.Sub(started))
	if s.Observe != nil {
		s.Observe(t, j.route.Name, now.Sub(started), out.outcome)
	}
	s.logAttempt(j, out, now.Sub(started))
	return out
}

// classify decides what a reply or its absence means.
func (s *Service) classify(ctx context.Context, r *result, err error) {
	if err != nil {
		r.response, r.err = nil, err
		r.outcome, r.ran = lost(ctx, err)
		return
	}
	res := r.response
	signed := res.Header.Get(s.Headers.Signature) != ""
	switch {
	case res.Status == http.StatusMisdirectedRequest:
		r.outcome = route.DrainingReply // the address belongs to another target now
	case res.Header.Get(s.Headers.NotRun) != "":
		r.outcome = route.Shed
	case res.Status >= 200 && res.Status < 300 && signed:
		r.outcome, r.ran = route.Success, true
	case !signed:
		r.outcome, r.ran, r.err = route.BadReply, true, errUnsigned
	case res.Status >= 500:
		r.outcome, r.ran = route.Failed, true
	default:
		r.outcome, r.ran = route.Success, true // an answer, though not a success
	}
}

// lost classifies the error of an attempt.
func lost(ctx context.Context, err error) (o route.Outcome, ran bool) {
	var l *limit.LostError
	if errors.As(err, &l) {
		ran = l.Sent
	}
	var connect *limit.ConnectError
	var reply *limit.ReplyError
	switch {
	case errors.As(err, &connect):
		return route.ConnectFailed, false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return route.TimedOut, ran
	case ctx.Err() != nil:
		return route.Cancelled, ran
	case errors.As(err, &reply):
		return route.BadReply, ran
	}
	return route.Reset, ran
}

func permitResult(o route.Outcome) limit.Result {
	switch o {
	case route.Success:
		return limit.Succeeded
	case route.Shed:
		return limit.Shed
	}
	return limit.Failed
}

// logAttempt records an attempt that did not succeed.
func (s *Service) logAttempt(j *job, r *result, took time.Duration) {
	if r.outcome == route.Success || r.outcome == route.Cancelled {
		return
	}
	omitted, ok := s.Events.Allow("attempt", failedLines)
	if !ok {
		return
	}
	s.Log.Info().Str("request", j.id).Str("route", j.route.Name).Uint64("routing", j.view.Routing.Document.Version).
		Str("target", r.target.Name).Str("service", r.service).Bool("ran", r.ran).Dur("took", took).
		Str("reason", r.reason()).Int("omitted", omitted).Msg("attempt failed")
}
