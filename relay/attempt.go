package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/route"
)

// result is the end of an attempt at one target, or of all attempts for a service.
type result struct {
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
// limit.Pool.Valid.
func (s *Service) CheckReply(req *http.Request, res *limit.Response) error {
	want, got := req.Header.Get(s.Headers.Request), res.Header.Get(s.Headers.Request)
	if got != want {
		return errors.Errorf("the reply is for request %q", got)
	}
	return nil
}

// attempt sends the request to a target and waits for the reply.
func (s *Service) attempt(ctx context.Context, j *job, y *try) result {
	t := y.target
	out := result{service: t.Service, target: t}
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
	out.response, err = s.Pool.Do(ctx, permit, s.request(j, t), y.commit)
	now := s.Clock.Now()
	s.classify(ctx, &out, err)
	out.withdrawn = y.state.Load() == withdrawn
	permit.Release(permitResult(out.outcome))
	s.Table.Done(now, t, j.route.Name, now.Sub(started), out.outcome)
	s.Metrics.attempt(t.Service, out.outcome, now.Sub(started))
	if s.Observe != nil {
		s.Observe(t, j.route.Name, now.Sub(started), out.outcome)
	}
	s.logAttempt(j, &out, now.Sub(started))
	return out
}

// request builds the request to a target.
func (s *Service) request(j *job, t *control.Target) *http.Request {
	header := forwarded(j.Header)
	left := max(1, j.deadline.Sub(s.Clock.Now()).Milliseconds())
	header.Set(s.Headers.Timeout, strconv.FormatInt(left, 10))
	header.Set(s.Headers.Target, t.Name)
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps the library from adding its own
	}
	req := &http.Request{
		Method: j.Method, Host: j.Host, Header: header, ContentLength: int64(len(j.body)),
		URL: &url.URL{Scheme: "http", Host: j.Host, Opaque: j.RequestURI}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(j.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(j.body))
	}
	return req
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwarded returns a copy of the header without what concerns one connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
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
