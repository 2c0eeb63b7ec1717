package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/route"
)

// result is the result of an attempt at one target, or of all attempts for a service.
type result struct {
	// fetch is the fetch that the attempt belongs to.
	fetch *fetch
	// attempt is nil in the result of all attempts.
	attempt *attempt
	service string
	// target is the target of the attempt, or nil if there was no attempt.
	target   *control.Target
	response *limit.Response
	outcome  route.Outcome
	// ran is true if the target may have executed the request.
	ran bool
	err error
	// withdrawn is true if the attempt was withdrawn before anything was sent.
	withdrawn bool
	// attempts is the number of targets that the request was sent to.
	attempts int
}

// succeeded reports whether a target has replied successfully.
func (r *result) succeeded() bool { return r.outcome == route.Success && r.response != nil }

// reason returns the cause of a failure for the log and for refusals.
func (r *result) reason() string {
	switch {
	case r.err != nil:
		return r.err.Error()
	case r.response != nil:
		return "status " + strconv.Itoa(r.response.Status)
	}
	return "no reply"
}

// PanicError is the error of an attempt during which this program panicked.
type PanicError struct {
	// Value is the value of the panic.
	Value any
}

// Error returns the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("internal error: %v", e.Value) }

var (
	errNoTarget  = errors.New("no target can take the request")
	errWithdrawn = errors.New("given up before it was sent")
	errHeldBack  = errors.New("the target has said that it takes no requests")
	errUnsigned  = errors.New("the reply has no signature, or several")
)

// CheckReply returns an error if the reply does not belong to the request. It is the value of
// limit.Pool.CheckReply.
func (s *Service) CheckReply(req *http.Request, res *limit.Response) error {
	want, got := req.Header.Get(s.Headers.Request), s.ReplyID(res)
	if got != want {
		return errors.Errorf("the reply is for request %q", got)
	}
	return nil
}

// severalIDs stands for the identities of a reply that names several requests. No request has it, since no header
// field holds a line break.
const severalIDs = "\n"

// ReplyID returns the identity of the request that a reply names, "" if it names none, or severalIDs. It is the value of
// limit.Pool.ReplyID.
func (s *Service) ReplyID(res *limit.Response) string {
	id, ok := res.Header.Only(s.Headers.Request)
	if !ok {
		return severalIDs
	}
	return id
}

// IsReply reports whether a header is that of a target's reply. It is the value of limit.Pool.IsReply.
func (s *Service) IsReply(res *limit.Response) bool {
	for _, name := range []string{s.Headers.Request, s.Headers.Signature, s.Headers.NotRun} {
		if res.Header.Get(name) != "" {
			return true
		}
	}
	return false
}

// RecordLateCopy counts and logs a late copy that the pool has skipped. It is the value of limit.Pool.OnSkipped.
func (s *Service) RecordLateCopy(address netip.AddrPort, res *limit.Response) {
	s.Metrics.lateCopy()
	if omitted, ok := s.Events.Allow("copy", degradedLines); ok {
		s.Log.Info().Str("request", s.ReplyID(res)).Stringer("address", address).Int("status", res.Status).Int("bytes", len(res.Body)).
			Int("omitted", omitted).Msg("late copy of a reply skipped")
	}
}

// recordUnusable counts a reply that could not be used.
func (s *Service) recordUnusable(err error) {
	var reply *limit.ReplyError
	if errors.As(err, &reply) {
		s.Metrics.unusableReply(reply.Reason)
	}
}

// attemptWorkers returns the goroutines that make attempts.
func (s *Service) attemptWorkers() *workers[*attempt] {
	s.startWorkers.Do(func() { s.workers = newWorkers(runAttempt) })
	return s.workers
}

// runAttempt makes the attempt and sends its result to the fetch group.
func runAttempt(a *attempt) {
	g := a.fetch.fetchGroup
	r := g.send(a, g.message, a)
	a.end()
	g.countRun(g.j, r.ran)
	select {
	case g.results <- r:
	case <-g.ctx.Done(): // the request has ended
	}
}

// send sends the request to a target and waits for the reply.
func (g *fetchGroup) send(ctx context.Context, m *message, a *attempt) (r *result) {
	s, j, t := g.Service, g.j, a.target
	r = &result{fetch: a.fetch, attempt: a, service: t.Service, target: t}
	ended := func() {}
	defer func() {
		if p := recover(); p != nil { // one request must not end the process
			ended()
			r.response, r.outcome, r.ran, r.err = nil, route.Failed, a.state.Load() == committed, &PanicError{Value: p}
			s.Log.Error().Str("request", j.id).Str("target", t.Name).Interface("panic", p).Bytes("stack", debug.Stack()).Msg("attempt failed: panic")
		}
	}()
	permit, err := s.Pool.AcquireFor(ctx, t, &a.terms)
	if err != nil {
		r.err, r.outcome = err, route.Shed
		if ctx.Err() != nil {
			r.outcome = route.Cancelled
		}
		r.withdrawn = a.state.Load() == withdrawn
		s.recordShortage(j, r)
		return r
	}
	started := s.Clock.Now()
	s.Table.StartWork(started, t, g.work)
	ended = func() {
		permit.Release(limit.Failed)
		now := s.Clock.Now()
		s.Table.DoneWork(now, t, j.route.Name, g.work, now.Sub(started), 0, route.Failed)
	}
	s.attempts.Add(1)
	left := max(1, j.deadline.Sub(started).Milliseconds())
	r.response, err = s.Pool.Send(ctx, permit, m.forTarget(t, &s.Headers, left), a.commit)
	now := s.Clock.Now()
	s.classify(ctx, r, err)
	s.recordUnusable(r.err)
	s.recordDeclaration(now, a, r)
	r.withdrawn = a.state.Load() == withdrawn
	permit.Release(permitResult(r.outcome))
	sinceSent := a.sinceSent(now, started)
	expected := s.Table.DoneWork(now, t, j.route.Name, g.work, now.Sub(started), sinceSent, r.outcome)
	ended = func() {}
	s.Placement.prediction(expected, sinceSent)
	s.Metrics.attempt(t.Service, r.outcome, now.Sub(started))
	s.recordReach(now, r, sinceSent)
	s.recordCrashEvidence(now, j, r)
	if s.Observe != nil {
		s.Observe(t, j.route.Name, sinceSent, r.outcome)
	}
	if len(j.route.Shards) > 0 && r.succeeded() && !s.isPart(r.response) {
		r.outcome = route.Failed // no part of a merged response, although nothing is wrong with the target
	}
	s.logAttempt(j, r, now.Sub(started))
	return r
}

// recordDeclaration records what the target declares of itself in its reply, unless the reply is
// from another target at its address.
func (s *Service) recordDeclaration(now time.Time, a *attempt, r *result) {
	if s.DecodeDeclaration == nil || r.response == nil || r.outcome == route.DrainingReply {
		return
	}
	if d, ok := s.DecodeDeclaration(now, r.response.Status, &r.response.Header); ok {
		s.Declared.Record(a.target, a.fetch.j.started.Add(time.Duration(a.sent.Load())), now, d)
	}
}

// classify sets the outcome of an attempt from its reply or error.
func (s *Service) classify(ctx context.Context, r *result, err error) {
	if err != nil {
		r.response, r.err = nil, err
		r.outcome, r.ran = classifyError(ctx, err)
		return
	}
	res := r.response
	signed := s.signature(res) != ""
	switch {
	case res.Status == http.StatusMisdirectedRequest:
		r.outcome = route.DrainingReply // the address belongs to another target now
	case res.Header.Get(s.Headers.NotRun) != "":
		r.outcome = route.Shed
	case isSuccess(res.Status) && signed:
		r.outcome, r.ran = route.Success, true
	case !signed:
		r.outcome, r.ran, r.err = route.BadReply, true, errUnsigned
	case res.Status >= 500:
		r.outcome, r.ran = route.Failed, true
	default:
		r.outcome, r.ran = route.Success, true // a valid reply, although its status is not 2xx
	}
}

// signature returns the signature of a reply, or "" if it has none or several.
func (s *Service) signature(res *limit.Response) string {
	signature, _ := res.Header.Only(s.Headers.Signature)
	return signature
}

// isPart reports whether a sound reply is a part of a merged response.
func (s *Service) isPart(res *limit.Response) bool {
	return isSuccess(res.Status) && isPartSignature(s.signature(res))
}

// isPartSignature reports whether the signature can name a part of a merged response, which lists the signatures
// separated by commas. Messages between hosts carry it as text, in which other bytes are replaced.
func isPartSignature(signature string) bool {
	return signature != "" && !strings.Contains(signature, ",") && !strings.ContainsRune(signature, utf8.RuneError)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// classifyError returns the outcome of a failed attempt, and whether the target may have
// executed the request.
func classifyError(ctx context.Context, err error) (o route.Outcome, ran bool) {
	var lost *limit.LostError
	if errors.As(err, &lost) {
		ran = lost.Sent
	}
	var connect *limit.ConnectError
	var reply *limit.ReplyError
	var refused *limit.RefusedError
	switch {
	case errors.As(err, &connect):
		return route.ConnectFailed, false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return route.TimedOut, ran
	case ctx.Err() != nil:
		return route.Cancelled, ran
	case errors.As(err, &reply):
		return route.BadReply, ran
	case errors.As(err, &refused):
		return route.Cancelled, false // by this host, which says nothing about the target
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

// logAttempt logs a failed attempt.
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
