package answer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wasabirelay/control"
	"wasabirelay/problem"
)

// refuseCoverage returns the refusal of a query whose round covers fewer shards
// than the caller accepts.
func refuseCoverage(r *round, number uint64, executed problem.Executed) *problem.Details {
	c, _, _ := r.coverage()
	text, _ := json.Marshal(c) // A struct of integers can't fail.
	return &problem.Details{
		Type: "urn:wasabirelay:coverage", Title: "Coverage below what the caller accepts",
		Status: http.StatusServiceUnavailable, Executed: executed, Coverage: text, Retry: 1,
		Detail: fmt.Sprintf("%d of %d shards of snapshot %d answered", c.Answered, c.Total, number),
	}
}

// poisoned reports whether the view refuses the fingerprint of a query.
func poisoned(v *control.View, q *Query, now time.Time) bool {
	until, held := v.Poisoned[q.Fingerprint]
	return held && now.Before(until)
}

// refusePoison returns the refusal of a query whose fingerprint is held.
func refusePoison(v *control.View, q *Query) *problem.Details {
	return &problem.Details{
		Type: "urn:wasabirelay:poison", Title: "Request crashes targets", Status: http.StatusUnprocessableEntity,
		Executed: problem.None, Rule: "poison",
		Detail: fmt.Sprintf("fingerprint %s was in flight at the deaths of at least %d targets; refused until %s",
			q.Fingerprint, rules(v).Poison.Deaths, v.Poisoned[q.Fingerprint].UTC().Format("2006-01-02T15:04:05Z")),
	}
}

// refuseLease returns the refusal of a host that may not give out work.
func refuseLease(err error) *problem.Details {
	return problem.Unavailable("lease", "this host may not give out work now: "+err.Error())
}

// refuseResend returns the refusal of a request whose key was claimed before and
// whose answer is not available.
func refuseResend(outcome control.Outcome, detail string) *problem.Details {
	d := &problem.Details{
		Type: "urn:wasabirelay:claimed", Title: "Idempotency key was used before", Status: http.StatusConflict,
		Executed: problem.Unknown, Field: HeaderKey, Detail: detail,
	}
	switch outcome {
	case control.OutcomeRan:
		d.Executed = problem.Ran
	case control.OutcomeNone:
		d.Executed = problem.None
	}
	return d
}

// refuseOtherContent returns the refusal of a key that belongs to another request.
func refuseOtherContent() *problem.Details {
	return &problem.Details{
		Type: "urn:wasabirelay:key", Title: "Idempotency key belongs to another request",
		Status: http.StatusUnprocessableEntity, Executed: problem.None, Field: HeaderKey,
		Detail: "the key was used with another service, route or query",
	}
}
