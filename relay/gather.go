package relay

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabirelay/limit"
	"wasabirelay/portion"
)

// gather serves a request with the replies of one target of each shard. It responds when the
// fetches of all shards have ended. From shortly before the objective it responds as soon as
// enough shards have replied, because a late response is worth less than an incomplete one.
func (s *Service) gather(ctx context.Context, w http.ResponseWriter, j *job) {
	if hold := s.refusedFor(j, j.route.Shards...); hold > 0 {
		s.refuse(w, j.Request, s.refuseCrashing(j, hold))
		return
	}
	plan, wait := s.planOf(j), noWait
	if len(plan.Portions) == 0 {
		wait = s.declaredWait(j.view)
	}
	absent := absentShards(j.view, j.route.Shards, s.Pool.HasShare, wait)
	if len(j.route.Shards)-absent.count < j.route.RequiredShards() {
		s.refuse(w, j.Request, s.delayReturn(j, &refusal{
			status: http.StatusServiceUnavailable, reason: fmt.Sprintf("not run: %d of %d shards have no target that takes requests", absent.count, len(j.route.Shards)),
			retry: absent.retry, route: j.route.Name,
		}, 0))
		return
	}
	if refused := s.admit(j, plan.Own); refused != nil {
		s.refuse(w, j.Request, refused)
		return
	}
	required, shards := j.route.RequiredShards(), len(j.route.Shards)
	c := s.collect(ctx, j, plan, []time.Time{j.partialAfter}, func(c *gathered, passed int) bool {
		enough, possible := len(c.signatures) >= required, shards-len(c.failed) >= required
		return passed > 0 && enough || !possible // if it is not possible any more, the caller is told at once
	})
	if len(c.signatures) >= required {
		s.writeMerged(w, j, c)
		return
	}
	if j.Context().Err() != nil {
		s.endLeft(w, j)
		return
	}
	s.refuseIncomplete(w, j, c)
}

// writeMerged merges the replies and sends the response. The response to HEAD has no length: targets answer it without
// records.
func (s *Service) writeMerged(w http.ResponseWriter, j *job, c *gathered) {
	missing := len(j.route.Shards) - len(c.signatures)
	received := 0
	for _, b := range c.bodies {
		received += len(b)
	}
	s.answerSizes.record(j.route.Name, received)
	body := merge(c.bodies, j.route.ResultLimit)
	c.bodies = nil // the caller may be slow to read
	h := w.Header()
	h.Set(s.Headers.Request, j.id)
	h.Set(s.Headers.Parts, strings.Join(c.signatures, ", "))
	h.Set(s.Headers.Missing, strconv.Itoa(missing))
	h.Set("Content-Type", "application/octet-stream")
	if j.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body) // an error means that the caller has left
	s.recordResponse(j, http.StatusOK, missing, c.extra, c.failed)
}

// refuseIncomplete refuses a request that too few shards have replied to: only a request that no
// target has executed is reported as not run.
func (s *Service) refuseIncomplete(w http.ResponseWriter, j *job, c *gathered) {
	ran := len(c.signatures) > 0
	for i := range c.failed {
		ran = ran || c.failed[i].ran
	}
	wait := time.Duration(0)
	for i := range c.failed {
		wait = max(wait, refusedWait(&c.failed[i]))
	}
	f := &refusal{status: http.StatusServiceUnavailable, reason: "too few shards can be asked", retry: retryAfter, route: j.route.Name}
	if ran {
		f.status, f.reason = http.StatusBadGateway, "too few shards replied"
		if !s.Clock.Now().Before(j.deadline) {
			f.status, f.retry = http.StatusGatewayTimeout, 0
		}
	}
	f.reason += ": " + describeFailures(c.failed)
	s.refuse(w, j.Request, s.delayReturn(j, f, wait))
}

// forward serves a request with the reply of one target.
func (s *Service) forward(ctx context.Context, w http.ResponseWriter, j *job) {
	service := s.splitter.pick(j.route)
	if hold := s.refusedFor(j, service); hold > 0 {
		s.refuse(w, j.Request, s.refuseCrashing(j, hold))
		return
	}
	r := s.fetchOne(ctx, j, service)
	switch {
	case r.response != nil && r.ran && r.err == nil && !misleads(j, r.response.Status):
		if recorder, ok := w.(*replyRecorder); ok {
			recorder.result = &r
		}
		s.writeReply(w, j, r.response)
		s.recordResponse(j, r.response.Status, 0, extraAttempts(&r), nil)
	case j.Context().Err() != nil:
		s.endLeft(w, j)
	case !r.ran:
		retry := retryAfter
		if r.target == nil {
			retry = max(retry, shardWait(j.view, service, s.Pool.HasShare, s.declaredWait(j.view)))
		}
		s.refuse(w, j.Request, s.delayReturn(j, &refusal{
			status: http.StatusServiceUnavailable, reason: "not run: " + r.reason(), retry: retry, route: j.route.Name,
		}, refusedWait(&r)))
	case !s.Clock.Now().Before(j.deadline):
		s.refuse(w, j.Request, &refusal{status: http.StatusGatewayTimeout, reason: "no reply in time", route: j.route.Name})
	default:
		s.refuse(w, j.Request, &refusal{status: http.StatusBadGateway, reason: "no usable reply: " + r.reason(), route: j.route.Name})
	}
}

// misleads reports whether a caller would take a failure of a target that has run the request for the promise that
// the request has not run, although it may run only once.
func misleads(j *job, status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !j.route.Idempotent
	}
	return false
}

// fetchOne fetches from one service and returns the final result.
func (s *Service) fetchOne(ctx context.Context, j *job, service string) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := s.startFetches(ctx, j, &portion.Plan{Own: []string{service}})
	defer g.stop()
	if r, event := g.next(time.Time{}); event == fetchEnded {
		return *r
	}
	f := &g.fetches[0]
	f.timeOut()
	return f.last
}

// writeReply sends the reply of a target to the caller.
func (s *Service) writeReply(w http.ResponseWriter, j *job, res *limit.Response) {
	s.answerSizes.record(j.route.Name, len(res.Body))
	fields := res.Header.Fields()
	h := w.Header()
	for name, values := range s.Headers.endToEnd(fields) {
		h[name] = values
	}
	h.Set(s.Headers.Request, j.id)
	setLength(h, j.Method, fields.Get("Content-Length"), len(res.Body))
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body) // an error means that the caller has left
}

// setLength sets the length of a response with a body of the length. The response to HEAD has the length that is
// stated, if any. net/http omits the length where the status excludes a body.
func setLength(h http.Header, method, stated string, length int) {
	switch {
	case method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(length))
	case stated != "":
		h.Set("Content-Length", stated)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // prevents net/http from detecting a type
	}
}

// endLeft ends a request whose caller has left, and counts and logs that. A caller that has only closed its
// sending direction still reads: without a response, net/http would send it an empty success.
func (s *Service) endLeft(w http.ResponseWriter, j *job) {
	s.Metrics.request(j.route.Name, 0)
	s.Metrics.organisation(organisationOf(j.Context()), organisationLeft)
	if omitted, ok := s.Events.Allow("gone", degradedLines); ok {
		s.Log.Info().Str("request", j.id).Str("route", j.route.Name).Dur("after", s.Clock.Since(j.started)).
			Int("omitted", omitted).Msg("caller left")
	}
	http.Error(w, "the caller has closed its connection; the request may have run", http.StatusBadGateway)
}

// recordResponse counts and logs a response. The log rate of complete responses within the
// objective is lower than that of others.
func (s *Service) recordResponse(j *job, status, missing, repeated int, failed []result) {
	took := s.Clock.Since(j.started)
	s.recordServed(j)
	s.Metrics.request(j.route.Name, status)
	s.Metrics.organisation(organisationOf(j.Context()), organisationServed)
	s.Metrics.response(j.route.Name, took, missing)
	kind, lines := "answered", answeredLines
	if missing > 0 || status >= http.StatusInternalServerError || took > j.route.Objective {
		kind, lines = "degraded", degradedLines
	}
	omitted, ok := s.Events.Allow(kind, lines)
	if !ok {
		return
	}
	e := s.Log.Info().Str("request", j.id).Str("route", j.route.Name).Uint64("routing", j.view.Routing.Document.Version)
	e = logOrganisation(e, j.organisation).
		Int("status", status).Int("missing", missing).Int("extra", repeated).Dur("took", took).Dur("objective", j.route.Objective).Int("omitted", omitted)
	if len(failed) > 0 {
		e = e.Str("failed", describeFailures(failed))
	}
	e.Msg("request " + kind)
}

// extraAttempts returns the number of hedges and retries: all attempts but the first one.
func extraAttempts(r *result) int { return max(0, r.attempts-1) }

// describeFailures lists the first failed shards with their reasons.
func describeFailures(failed []result) string {
	const maxShown = 4
	var b strings.Builder
	for i := range failed[:min(len(failed), maxShown)] {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(failed[i].service + ": " + failed[i].reason())
	}
	return b.String()
}
