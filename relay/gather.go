package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/limit"
	"wasabirelay/route"
)

// gather answers a request from one target of each shard. It answers when all
// shards have replied or failed for good; from shortly before the objective on it
// answers as soon as enough have replied, because a late answer is worth less than
// an incomplete one.
func (s *Service) gather(ctx context.Context, w http.ResponseWriter, j *job) {
	parts, failed := s.collect(ctx, j)
	if len(parts) >= j.route.RequiredShards() {
		s.merged(w, j, parts, failed)
		return
	}
	if j.Context().Err() != nil {
		s.gone(j)
		return
	}
	s.failed(w, j, failed)
}

// errPending is the reason of a shard that has not replied when the answer is sent.
var errPending = errors.New("no reply yet")

// collect asks all shards. It returns the parts, and the shards that failed or have
// not replied.
func (s *Service) collect(ctx context.Context, j *job) (parts, failed []result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // The replies that are no longer needed are awaited by the pool.
	g := s.gathering(ctx, j, j.route.Shards)
	defer g.stop()
	at := j.decide
	for pending := len(j.route.Shards); pending > 0; {
		r, event := g.next(at)
		switch {
		case event == alarm:
			at = time.Time{}
		case event == requestEnded:
			pending = 0
		case r.good():
			parts = append(parts, *r)
			pending--
		default:
			failed = append(failed, *r)
			pending--
		}
		if at.IsZero() && len(parts) >= j.route.RequiredShards() {
			break
		}
	}
	for i := range g.fetches {
		if f := &g.fetches[i]; !f.over {
			failed = append(failed, result{service: f.service, outcome: route.TimedOut, ran: true, err: errPending})
		}
	}
	return parts, failed
}

// merged sends the answer that the parts make up.
func (s *Service) merged(w http.ResponseWriter, j *job, parts, failed []result) {
	bodies := make([][]byte, len(parts))
	signatures := make([]string, len(parts))
	for i := range parts {
		bodies[i] = parts[i].response.Body
		signatures[i] = parts[i].response.Header.Get(s.Headers.Signature)
	}
	missing := len(j.route.Shards) - len(parts)
	body := merge(bodies, j.route.ResultLimit)
	h := w.Header()
	h.Set(s.Headers.Request, j.id)
	h.Set(s.Headers.Parts, strings.Join(signatures, ", "))
	h.Set(s.Headers.Missing, strconv.Itoa(missing))
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body) // the caller has gone if this fails
	s.finished(j, http.StatusOK, missing, extra(parts)+extra(failed), failed)
}

// failed sends the final answer to a request that too few shards have replied to.
func (s *Service) failed(w http.ResponseWriter, j *job, failed []result) {
	ran := false
	for i := range failed {
		ran = ran || failed[i].ran
	}
	f := &refusal{status: http.StatusServiceUnavailable, reason: "too few shards can be asked", retry: retryAfter, route: j.route.Name}
	if ran {
		f.status, f.reason, f.retry = http.StatusBadGateway, "too few shards replied", 0
	}
	if !s.Clock.Now().Before(j.deadline) {
		f.status, f.retry = http.StatusGatewayTimeout, 0
	}
	f.reason += ": " + failures(failed)
	s.refuse(w, j.Request, f)
}

// forward answers a request from one target.
func (s *Service) forward(ctx context.Context, w http.ResponseWriter, j *job) {
	r := s.single(ctx, j, s.splits.pick(j.route))
	switch {
	case r.response != nil && r.ran && r.err == nil:
		s.reply(w, j, r.response)
		s.finished(j, r.response.Status, 0, extra([]result{r}), nil)
	case j.Context().Err() != nil:
		s.gone(j)
	case !r.ran:
		s.refuse(w, j.Request, &refusal{
			status: http.StatusServiceUnavailable, reason: "not run: " + r.reason(), retry: retryAfter, route: j.route.Name,
		})
	case !s.Clock.Now().Before(j.deadline):
		s.refuse(w, j.Request, &refusal{status: http.StatusGatewayTimeout, reason: "no reply in time", route: j.route.Name})
	default:
		s.refuse(w, j.Request, &refusal{status: http.StatusBadGateway, reason: "no usable reply: " + r.reason(), route: j.route.Name})
	}
}

// single fetches from one service.
func (s *Service) single(ctx context.Context, j *job, service string) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := s.gathering(ctx, j, []string{service})
	defer g.stop()
	if r, event := g.next(time.Time{}); event == fetchEnded {
		return *r
	}
	f := &g.fetches[0]
	f.expired()
	return f.last
}

// reply passes on the reply of a target.
func (s *Service) reply(w http.ResponseWriter, j *job, res *limit.Response) {
	h := w.Header()
	for name, values := range forwarded(res.Header) {
		h[name] = values
	}
	h.Set(s.Headers.Request, j.id)
	h.Set("Content-Length", strconv.Itoa(len(res.Body)))
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps the library from guessing one
	}
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body) // the caller has gone if this fails
}

// gone records that the caller left before there was an answer.
func (s *Service) gone(j *job) {
	s.Metrics.request(j.route.Name, 0)
	if omitted, ok := s.Events.Allow("gone", degradedLines); ok {
		s.Log.Info().Str("request", j.id).Str("route", j.route.Name).Dur("after", s.Clock.Since(j.started)).
			Int("omitted", omitted).Msg("caller left")
	}
}

// finished records an answer. Complete answers in time are sampled.
func (s *Service) finished(j *job, status, missing, repeated int, failed []result) {
	took := s.Clock.Since(j.started)
	s.Metrics.request(j.route.Name, status)
	s.Metrics.answer(j.route.Name, took, missing)
	kind, lines := "answered", answeredLines
	if missing > 0 || status >= http.StatusInternalServerError || took > j.route.Objective {
		kind, lines = "degraded", degradedLines
	}
	omitted, ok := s.Events.Allow(kind, lines)
	if !ok {
		return
	}
	e := s.Log.Info().Str("request", j.id).Str("route", j.route.Name).Uint64("routing", j.view.Routing.Document.Version).
		Int("status", status).Int("missing", missing).Int("extra", repeated).Dur("took", took).Dur("objective", j.route.Objective).Int("omitted", omitted)
	if len(failed) > 0 {
		e = e.Str("failed", failures(failed))
	}
	e.Msg("request " + kind)
}

// extra counts the attempts beyond the first ones: hedges and retries.
func extra(results []result) int {
	n := 0
	for i := range results {
		n += max(0, results[i].attempts-1)
	}
	return n
}

// failures lists the shards that failed with their reasons.
func failures(failed []result) string {
	const shown = 4
	var b strings.Builder
	for i := range failed[:min(len(failed), shown)] {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(failed[i].service + ": " + failed[i].reason())
	}
	return b.String()
}
