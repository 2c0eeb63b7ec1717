package answer

import (
	"context"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// claimDecision is the consequence of the result of a claim.
type claimDecision struct {
	// run is true if this host holds the first claim and runs the request.
	run bool
	// holder is the host that holds the first claim and its answer.
	holder  string
	outcome control.Outcome
	refusal *problem.Details
}

// decideClaim decides what the result of a proposed claim permits. After an error it is unknown
// whether the claim was committed, so a resend with the same key may be refused.
func decideClaim(result control.Result, err error) claimDecision {
	var d *problem.Details
	switch {
	case errors.As(err, &d):
		return claimDecision{refusal: d}
	case err != nil:
		d = problem.Unavailable("claim", "the outcome of the claim is not known: "+err.Error())
		d.Executed = problem.Unknown
		return claimDecision{refusal: d}
	case result.Refusal == nil:
		return claimDecision{run: true}
	case result.Refusal.Kind == control.Taken:
		return claimDecision{holder: result.Holder, outcome: result.Outcome}
	case result.Refusal.Kind == control.Conflict:
		return claimDecision{refusal: refuseKeyConflict()}
	default:
		return claimDecision{refusal: problem.Unavailable("claim", result.Refusal.Detail)}
	}
}

// answerAtMostOnce answers a request that is not idempotent. The run continues after the caller
// has disconnected, because cancelling it would leave the request partly executed. A resend with
// the same key gets the outcome.
func (s *Service) answerAtMostOnce(ctx context.Context, q *Query, v *control.View) (*Answer, *problem.Details) {
	releaseKey, acquired := s.store.acquireKey(ctx, q.Key)
	if !acquired {
		return nil, refuseClaimed(control.OutcomePending, "the first request with this key is still running")
	}
	defer releaseKey()
	if stored, ok := s.store.get(q.Key); ok {
		return s.replay(stored, q)
	}
	r := s.newQueryRun(context.WithoutCancel(ctx), ctx, q)
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
	decision := decideClaim(result, err)
	switch {
	case decision.refusal != nil:
		return nil, decision.refusal
	case !decision.run:
		return s.fetchFirstAnswer(ctx, q, decision)
	}
	if refusal := r.refusePoisonRisk(best); refusal != nil { // No sub-request was sent under this claim.
		s.proposeFinish(q, control.OutcomeNotRun)
		return nil, refusal
	}
	return s.runClaimed(r, best)
}

// runClaimed runs a request whose first claim this host holds.
func (s *Service) runClaimed(r *queryRun, best *snapshot) (*Answer, *problem.Details) {
	r.fanOut(best)
	a, refusal := r.finish()
	outcome := control.OutcomeRan
	if refusal != nil {
		outcome = control.Outcome(refusal.Executed)
	} else {
		s.store.save(r.q.Key, r.q.Fingerprint, a)
	}
	s.proposeFinish(r.q, outcome)
	return a, refusal
}

// proposeFinish proposes the outcome of a claim in the background.
func (s *Service) proposeFinish(q *Query, outcome control.Outcome) {
	s.goBackground(func(ctx context.Context) {
		finish := &control.Finish{Key: q.Key, Host: s.Host, Outcome: outcome}
		if _, err := s.Propose(ctx, control.Command{Finish: finish}); err != nil {
			s.Log.Warn().Err(err).Str("key", q.Key).Msg("failed to record the outcome of a claimed request")
		}
	})
}

// fetchFirstAnswer gets the answer of the first request with the same key from its host.
func (s *Service) fetchFirstAnswer(ctx context.Context, q *Query, decision claimDecision) (*Answer, *problem.Details) {
	if decision.holder == s.Host {
		return nil, refuseClaimed(decision.outcome, "this host has no answer for the key")
	}
	a, err := s.Fetch(ctx, decision.holder, q.Key)
	if err != nil {
		return nil, refuseClaimed(decision.outcome, "the first answer can't be fetched from host "+decision.holder+": "+err.Error())
	}
	if a == nil {
		return nil, refuseClaimed(decision.outcome, "host "+decision.holder+" has no answer for the key")
	}
	return a, nil
}

// replay returns the stored answer if it belongs to the same request.
func (s *Service) replay(stored storedAnswer, q *Query) (*Answer, *problem.Details) {
	if stored.fingerprint != q.Fingerprint {
		return nil, refuseKeyConflict()
	}
	if a := stored.decode(); a != nil {
		return a, nil
	}
	return nil, refuseClaimed(control.OutcomeRan, "the kept answer can't be read")
}
