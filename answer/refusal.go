package answer

import (
	"encoding/json"
	"fmt"
	"net/http"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// refuseCoverage returns the refusal of a query that got answers from fewer shards than the
// caller accepts.
func refuseCoverage(r *round, number uint64, executed problem.Executed) *problem.Details {
	c, _, _ := r.coverage()
	text, _ := json.Marshal(c) // Encoding a struct of integers can't fail.
	retry := 0
	if r.idempotent || executed == problem.None {
		retry = 1
	}
	return &problem.Details{
		Type: "urn:wasabirelay:coverage", Title: "Coverage below what the caller accepts",
		Status: http.StatusServiceUnavailable, Executed: executed, Coverage: text, Retry: retry,
		Detail: fmt.Sprintf("%d of %d shards of snapshot %d answered", c.Answered, c.Total, number),
	}
}

// poisoned reports whether the fingerprint of a query is refused, either by the view or because
// of deaths that this host has reported and that are not in the view yet.
func (s *Service) poisoned(v *control.View, q *Query) bool {
	now := s.Clock.Now()
	until, held := v.Poisoned[q.Fingerprint]
	return (held && now.Before(until)) || s.Poison.Deaths(now, q.Fingerprint) >= rules(v).Poison.CrashThreshold
}

// refusePoison returns the refusal of a query whose fingerprint is poisoned.
func refusePoison(v *control.View, q *Query) *problem.Details {
	rule := rules(v).Poison
	return &problem.Details{
		Type: "urn:wasabirelay:poison", Title: "Request crashes targets", Status: http.StatusUnprocessableEntity,
		Executed: problem.None, Rule: "poison",
		Detail: fmt.Sprintf("fingerprint %s was in flight at the deaths of at least %d targets and is refused for %s",
			q.Fingerprint, rule.CrashThreshold, rule.HoldDuration.Duration),
	}
}

// refuseSuspect returns the refusal of a query that is suspected early and would be sent to the
// last replica of a shard.
func refuseSuspect(q *Query) *problem.Details {
	return &problem.Details{
		Type: "urn:wasabirelay:poison", Title: "Request is suspected of crashing targets",
		Status: http.StatusUnprocessableEntity, Executed: problem.None, Rule: "poison", Retry: 1,
		Detail: fmt.Sprintf("fingerprint %s was in flight at the death of a target and is not sent to the last replica of a shard",
			q.Fingerprint),
	}
}

// refusePoisonRisk returns the refusal of a query that, according to the current view, is
// poisoned or is suspected and could crash the last replica of a shard. It is called before the
// first sub-request is sent.
func (r *queryRun) refusePoisonRisk(best *snapshot) *problem.Details {
	v, err := r.s.View()
	switch {
	case err != nil:
		return refuseLease(err)
	case r.s.poisoned(v, r.q):
		return refusePoison(v, r.q)
	case r.anyShardAtRisk(v, best):
		return refuseSuspect(r.q)
	}
	return nil
}

// refuseLease returns the refusal of a host that holds no lease and may not send work to targets.
func refuseLease(err error) *problem.Details {
	return problem.Unavailable("lease", "this host may not give out work now: "+err.Error())
}

// refuseClaimed returns the refusal of a request whose key was claimed before and whose answer
// is not available.
func refuseClaimed(outcome control.Outcome, detail string) *problem.Details {
	d := &problem.Details{
		Type: "urn:wasabirelay:claimed", Title: "Idempotency key was used before", Status: http.StatusConflict,
		Executed: problem.Unknown, Field: HeaderIdempotencyKey, Detail: detail,
	}
	switch outcome {
	case control.OutcomeRan:
		d.Executed = problem.Ran
	case control.OutcomeNotRun:
		d.Executed = problem.None
	}
	return d
}

// refuseKeyConflict returns the refusal of a request whose key belongs to another request.
func refuseKeyConflict() *problem.Details {
	return &problem.Details{
		Type: "urn:wasabirelay:key", Title: "Idempotency key belongs to another request",
		Status: http.StatusUnprocessableEntity, Executed: problem.None, Field: HeaderIdempotencyKey,
		Detail: "the key was used with another service, route or query",
	}
}
