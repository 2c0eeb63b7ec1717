package answer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// Register adds the routes to mux.
func (s *Service) Register(mux *http.ServeMux) {
	s.init()
	mux.HandleFunc("POST /v1/services/{service}/query", s.serve)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	began := s.Clock.Now()
	service := r.PathValue("service")
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "query", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("wasabi.service", service)))
	defer span.End()
	a, refusal := s.handle(ctx, began, service, w, r)
	result := resultLabel(a, refusal, r.Context().Err() != nil)
	span.SetAttributes(attribute.String("wasabi.result", result))
	s.recordQuery(service, result, s.Clock.Since(began))
	if refusal != nil {
		span.SetStatus(codes.Error, refusal.Error())
		refusal.Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a) // This fails only if the caller has disconnected.
}

// handle reads, validates and answers one HTTP request.
func (s *Service) handle(ctx context.Context, now time.Time, service string, w http.ResponseWriter, r *http.Request) (*Answer, *problem.Details) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		d := problem.BadField(fieldBody, "at most 1048576 bytes are allowed")
		d.Status = http.StatusRequestEntityTooLarge
		return nil, d
	}
	if err != nil {
		return nil, problem.BadField(fieldBody, "the body can't be read")
	}
	view, err := s.View()
	if err != nil {
		return nil, refuseLease(err)
	}
	q, bad := newQuery(now, view, service, r.Header, body)
	if bad != nil {
		return nil, bad
	}
	trace.SpanFromContext(ctx).SetAttributes(attribute.String("wasabi.request", q.Request.Request))
	return s.answer(ctx, q)
}

// Answer answers a validated query. Errors are of type *problem.Details.
func (s *Service) Answer(ctx context.Context, q *Query) (*Answer, error) {
	s.init()
	a, refusal := s.answer(ctx, q)
	if refusal != nil {
		return nil, refusal
	}
	return a, nil
}

func (s *Service) answer(callerCtx context.Context, q *Query) (*Answer, *problem.Details) {
	view, err := s.View()
	if err != nil {
		return nil, refuseLease(err)
	}
	now := s.Clock.Now()
	if q.Idempotent && s.poisoned(view, q) { // answerAtMostOnce looks up the claim before it refuses.
		return nil, refusePoison(view, q)
	}
	end := q.Deadline.Add(-deadlineMargin(q.Deadline.Sub(now)))
	if !q.Idempotent {
		ctx, cancel := clockwork.WithDeadline(context.WithoutCancel(callerCtx), s.Clock, end)
		defer cancel()
		return s.answerAtMostOnce(ctx, q, view)
	}
	ctx, cancel := clockwork.WithDeadline(callerCtx, s.Clock, end)
	defer cancel()
	r := s.newQueryRun(callerCtx, ctx, q)
	best, refusal := r.selectSnapshot(view)
	if refusal != nil {
		return nil, refusal
	}
	release, refusal := s.admit(ctx, q, best.total)
	if refusal != nil {
		return nil, refusal
	}
	defer release()
	if refusal := r.refusePoisonRisk(best); refusal != nil {
		return nil, refusal
	}
	r.fanOut(best)
	return r.finish()
}

// admit admits a query or returns a refusal. It passes on a refusal of type *problem.Details.
func (s *Service) admit(ctx context.Context, q *Query, subrequests int) (func(), *problem.Details) {
	release, err := s.Admit(ctx, q.Service, subrequests)
	if err == nil {
		return release, nil
	}
	var d *problem.Details
	if !errors.As(err, &d) {
		d = problem.Unavailable("overload", err.Error())
	}
	return nil, d
}

// finish returns the answer, or a refusal if the caller does not accept its coverage.
func (r *queryRun) finish() (*Answer, *problem.Details) {
	c, shards, version := r.round.coverage()
	if !r.q.acceptsCoverage(c.Answered, c.Total) {
		return nil, refuseCoverage(r.round, r.number, r.executed)
	}
	return &Answer{
		Request: r.q.Request.Request, Service: r.q.Service, Version: version, Snapshot: r.number, Coverage: c, Shards: shards,
	}, nil
}

// resultLabel returns the value of the label result in the metric for queries.
func resultLabel(a *Answer, refusal *problem.Details, callerGone bool) string {
	switch {
	case callerGone:
		return "cancelled"
	case refusal != nil:
		return "refused"
	case a.Coverage.Answered < a.Coverage.Total:
		return "partial"
	default:
		return "complete"
	}
}

// recordQuery records a query in the metrics. Unknown services share one label value, so that
// callers can't create label values.
func (s *Service) recordQuery(service, result string, took time.Duration) {
	if view, err := s.View(); err != nil || !isKnownService(view, service) {
		service = "unknown"
	}
	s.metrics.countQuery(service, result, took)
}

// isKnownService reports whether the service is in the inventory or announced by a target.
func isKnownService(v *control.View, service string) bool {
	_, ok := serviceRules(v, service)
	return ok
}
