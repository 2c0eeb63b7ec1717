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

// flight is one sub-request in flight with the resources that are released when it ends.
type flight struct {
	s           *Service
	round       *round
	id          int
	target      *control.Target
	sub         *Subrequest
	fingerprint string
	// suspectHold is how long package poison remembers the request as a suspect.
	suspectHold time.Duration
	release     func()
	ctx         context.Context
	stop        context.CancelFunc
	cancelled   atomic.Bool
	// trackerNumber identifies the sub-request in the tracker of package poison. It is 0 until
	// the first byte may be sent.
	trackerNumber atomic.Uint64
}

// execute sends the sub-request, validates the reply and reports the outcome.
func (f *flight) execute() event {
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
	defer func() { f.s.Poison.End(f.trackerNumber.Load()) }()
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
	span.SetAttributes(attribute.String("wasabi.outcome", outcomeNames[outcome]))
	now := f.s.Clock.Now()
	f.s.Done(now, f.target, f.sub.Service, now.Sub(began), outcome)
	f.s.RecordEvidence(now, f.target, f.sub.Route, now.Sub(began), outcome)
	if e.err != nil && e.err.lostAfterSend() && f.s.Poison.Reset(now, f.trackerNumber.Load()) {
		f.s.checkHealth(f.target, f.suspectHold)
	}
	return e
}

// checkBeforeSend returns an error if the first byte may not be sent. It sets trackerNumber
// before it reads cancelled, so that either checkBeforeSend sees the cancellation or cancel sees
// that a byte may be sent.
func (f *flight) checkBeforeSend() error {
	if err := f.s.checkSend(f.sub.Service, f.target, f.sub.Snapshot); err != nil {
		return err
	}
	f.trackerNumber.Store(f.s.Poison.Begin(f.poisonFlight()))
	if f.cancelled.Load() {
		return errors.New("the sub-request was cancelled")
	}
	return nil
}

// poisonFlight describes the sub-request to package poison.
func (f *flight) poisonFlight() poison.Subrequest {
	return poison.Subrequest{
		Fingerprint: f.fingerprint, Service: f.sub.Service, Target: f.target.Name,
		Incarnation: f.target.Incarnation, Shard: f.sub.Shard,
	}
}

// send sends the sub-request and counts an invalid reply.
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
		f.reportSuccess()
		return event{flight: f, result: reply.Result}
	}
	var bad *ReplyError
	if errors.As(failure.Err, &bad) {
		f.s.metrics.drop(f.sub.Service, bad.Reason)
	}
	return event{flight: f, err: failure}
}

// checkSend returns an error if the target may no longer get new work.
func (s *Service) checkSend(service string, t *control.Target, snapshotNumber uint64) error {
	view, err := s.View()
	if err != nil {
		return err
	}
	ix := s.index(view, service)
	current := ix.targets[t.Name]
	switch {
	case ix.find(snapshotNumber) == nil:
		return errors.Errorf("snapshot %d is no longer known", snapshotNumber)
	case current == nil || current.Incarnation != t.Incarnation:
		return errors.Errorf("target %s has left or restarted", t.Name)
	case current.State == control.Cold && t.State != control.Cold:
		return errors.Errorf("target %s has become cold", t.Name)
	case !acceptsWork(view, current) || !ix.servesVersion(current.Version, current.Version):
		return errors.Errorf("target %s may not get new work", t.Name)
	default:
		return nil
	}
}
