package answer

import (
	"context"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// verdict is what follows from the result of a claim.
type verdict struct {
	// run states that this host holds the first claim.
	run bool
	// holder is the host to get the first outcome from.
	holder  string
	outcome control.Outcome
	refusal *problem.Details
}

// judge decides what a proposed claim permits. An error leaves open whether the
// claim was committed, so that a resend with the same key may be refused.
func judge(result control.Result, err error) verdict {
	var d *problem.Details
	switch {
	case errors.As(err, &d):
		return verdict{refusal: d}
	case err != nil:
		d = problem.Unavailable("claim", "the outcome of the claim is not known: "+err.Error())
		d.Executed = problem.Unknown
		return verdict{refusal: d}
	case result.Refusal == nil:
		return verdict{run: true}
	case result.Refusal.Kind == control.Taken:
		return verdict{holder: result.Holder, outcome: result.Outcome}
	case result.Refusal.Kind == control.Conflict:
		return verdict{refusal: refuseOtherContent()}
	default:
		return verdict{refusal: problem.Unavailable("claim", result.Refusal.Detail)}
	}
}

// answerOnce answers a request that is not idempotent. The run does not end when
// the caller hangs up, because a part of it would stay undone; a resend finds its
// outcome.
func (s *Service) answerOnce(ctx context.Context, q *Query, v *control.View) (*Answer, *problem.Details) {
	leave, entered := s.store.enter(ctx, q.Key)
	if !entered {
		return nil, refuseResend(control.OutcomePending, "the first request with this key is still running")
	}
	defer leave()
	if kept, ok := s.store.get(q.Key); ok {
		return s.replay(kept, q)
	}
	r := s.newRun(context.WithoutCancel(ctx), ctx, q)
	best, refusal := r.selectSnapshot(v)
	if refusal != nil {
		return nil, refusal
	}
	release, refusal := s.admit(ctx, q, best.total)
	if refusal != nil {
		return nil, refusal
	}
	defer release()
	result, err := s.Propose(ctx, control.Command{Claim: &control.Claim{
		Key: q.Key, Fingerprint: q.Fingerprint, Service: q.Service, Host: s.Host,
	}})
	verdict := judge(result, err)
	switch {
	case verdict.refusal != nil:
		return nil, verdict.refusal
	case !verdict.run:
		return s.first(ctx, q, verdict)
	}
	if refusal := r.refuseHeld(best); refusal != nil { // Nothing has been sent under this claim.
		s.proposeFinish(q, control.OutcomeNotRun)
		return nil, refusal
	}
	return s.runClaimed(r, best)
}

// runClaimed runs a request under the claim that this host holds.
func (s *Service) runClaimed(r *run, best *snapshot) (*Answer, *problem.Details) {
	r.fanOut(best)
	a, refusal := r.finish()
	outcome := control.OutcomeRan
	if refusal != nil {
		outcome = control.Outcome(refusal.Executed)
	} else {
		s.store.keep(r.q.Key, r.q.Fingerprint, a)
	}
	s.proposeFinish(r.q, outcome)
	return a, refusal
}

// proposeFinish records the outcome of a claim without making the caller wait.
func (s *Service) proposeFinish(q *Query, outcome control.Outcome) {
	s.goBackground(func(ctx context.Context) {
		finish := &control.Finish{Key: q.Key, Host: s.Host, Outcome: outcome}
		if _, err := s.Propose(ctx, control.Command{Finish: finish}); err != nil {
			s.Log.Warn().Err(err).Str("key", q.Key).Msg("outcome of a claimed request not recorded")
		}
	})
}

// first gets the outcome of the first request with the same key.
func (s *Service) first(ctx context.Context, q *Query, v verdict) (*Answer, *problem.Details) {
	if v.holder == s.Host {
		return nil, refuseResend(v.outcome, "this host has no answer for the key")
	}
	a, err := s.Fetch(ctx, v.holder, q.Key)
	if err != nil {
		return nil, refuseResend(v.outcome, "the first answer can't be fetched from host "+v.holder+": "+err.Error())
	}
	if a == nil {
		return nil, refuseResend(v.outcome, "host "+v.holder+" has no answer for the key")
	}
	return a, nil
}

func (s *Service) replay(kept stored, q *Query) (*Answer, *problem.Details) {
	if kept.fingerprint != q.Fingerprint {
		return nil, refuseOtherContent()
	}
	if a := kept.answer(); a != nil {
		return a, nil
	}
	return nil, refuseResend(control.OutcomeRan, "the kept answer can't be read")
}
