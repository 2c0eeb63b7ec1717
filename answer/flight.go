package answer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"wasabirelay/control"
	"wasabirelay/poison"
)

// flight is one sub-request and what has to be released when it ends.
type flight struct {
	s           *Service
	round       *round
	id          int
	target      *control.Target
	sub         *Subrequest
	fingerprint string
	// hold is how long a suspect is remembered.
	hold      time.Duration
	release   func()
	ctx       context.Context
	stop      context.CancelFunc
	cancelled atomic.Bool
	// number is the number of the sub-request in the tracker of package poison; 0
	// until a byte may leave.
	number atomic.Uint64
}

// fly sends the sub-request, checks the reply and reports the outcome.
func (f *flight) fly() event {
	defer f.stop()
	defer f.release()
	ctx, span := f.s.tracer.Start(f.ctx, "sub-request", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("wasabi.service", f.sub.Service), attribute.String("wasabi.target", f.target.Name),
			attribute.Int("wasabi.shard", f.sub.Shard), attribute.Int64("wasabi.snapshot", int64(f.sub.Snapshot)),
			attribute.String("wasabi.kind", string(f.sub.Kind)), attribute.String("wasabi.request", f.sub.Request),
		)
	}
	defer func() { f.s.Poison.End(f.number.Load()) }()
	began := f.s.Clock.Now()
	f.s.Start(began, f.target)
	e := f.send(ctx)
	outcome := Success
	if e.err != nil {
		outcome = e.err.Outcome
		span.SetStatus(codes.Error, e.err.Error())
		if f.cancelled.Load() && outcome != Reset {
			outcome = Cancelled
		}
	}
	span.SetAttributes(attribute.String("wasabi.outcome", outcomes[outcome]))
	now := f.s.Clock.Now()
	f.s.Done(now, f.target, f.sub.Service, now.Sub(began), outcome)
	f.s.RecordEvidence(now, f.target, f.sub.Route, now.Sub(began), outcome)
	if e.err != nil && e.err.broken() && f.s.Poison.Reset(now, f.number.Load()) {
		f.s.checkHealth(f.target, f.hold)
	}
	return e
}

// check permits the first byte. The number is set before cancelled is read, so
// that either check sees the cancellation or cancel sees that a byte may leave.
func (f *flight) check() error {
	if err := f.s.checkSend(f.sub.Service, f.target, f.sub.Snapshot); err != nil {
		return err
	}
	f.number.Store(f.s.Poison.Begin(f.tracked()))
	if f.cancelled.Load() {
		return errors.New("the sub-request is not needed any more")
	}
	return nil
}

// tracked describes the sub-request to package poison.
func (f *flight) tracked() poison.SubRequest {
	return poison.SubRequest{
		Fingerprint: f.fingerprint, Service: f.sub.Service, Target: f.target.Name,
		Incarnation: f.target.Incarnation, Shard: f.sub.Shard,
	}
}

// send sends the sub-request and counts a reply that is not accepted.
func (f *flight) send(ctx context.Context) event {
	reply, failure := f.s.Send(ctx, f.target, f.sub)
	if failure == nil && reply == nil {
		failure = &SendError{Outcome: Failed, Sent: true, Err: errors.New("no reply")}
	}
	if failure == nil {
		if bad := checkReply(f.sub, reply); bad != nil {
			failure = &SendError{Outcome: BadReply, Sent: true, Err: bad}
		}
	}
	if failure == nil {
		f.succeeded()
		return event{flight: f, result: reply.Result}
	}
	var bad *ReplyError
	if errors.As(failure.Err, &bad) {
		f.s.metrics.drop(f.sub.Service, bad.Reason)
	}
	return event{flight: f, err: failure}
}

// checkSend returns an error if the target may not get new work any more.
func (s *Service) checkSend(service string, t *control.Target, number uint64) error {
	view, err := s.View()
	if err != nil {
		return err
	}
	ix := s.index(view, service)
	now := ix.targets[t.Name]
	switch {
	case ix.find(number) == nil:
		return errors.Errorf("snapshot %d is not known any more", number)
	case now == nil || now.Incarnation != t.Incarnation:
		return errors.Errorf("target %s has gone", t.Name)
	case now.State == control.Cold && t.State != control.Cold:
		return errors.Errorf("target %s has turned cold", t.Name)
	case !takesWork(view, now) || !ix.serves(now.Version, now.Version):
		return errors.Errorf("target %s gets no new work", t.Name)
	default:
		return nil
	}
}
