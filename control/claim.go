package control

import "time"

// claimTerm is how long a claim is stored, measured by the times of commands.
const claimTerm = 24 * time.Hour

// claim is a reserved idempotency key.
type claim struct {
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	Host        string    `json:"host"`
	Outcome     Outcome   `json:"outcome"`
	At          time.Time `json:"at"`
}

// claim reserves a key. A claim is never removed before its term ends, even if its
// outcome is that the request was not run: otherwise a late duplicate of that outcome
// could release the key while a second owner runs the request.
func (s *State) claim(c *Claim, r *Result) *Refusal {
	if c.Key == "" || c.Host == "" {
		return &Refusal{Kind: Invalid, Detail: "a claim needs a key and a host"}
	}
	first, ok := s.claims[c.Key]
	if !ok {
		if s.claims == nil {
			s.claims = map[string]claim{}
		}
		first = claim{Fingerprint: c.Fingerprint, Service: c.Service, Host: c.Host, Outcome: OutcomePending, At: s.claimClock}
		s.claims[c.Key] = first
		s.claimOrder = append(s.claimOrder, c.Key)
	}
	r.Holder, r.Outcome = first.Host, first.Outcome
	switch {
	case !ok:
		return nil
	case first.Fingerprint != c.Fingerprint || first.Service != c.Service:
		return &Refusal{Kind: Conflict, Detail: "the key was used for another request"}
	default:
		return &Refusal{Kind: Taken, Detail: "the key is claimed by host " + first.Host}
	}
}

// finish records the outcome of a claim. An outcome can't be changed.
func (s *State) finish(f *Finish, r *Result) *Refusal {
	if f.Outcome != OutcomeRan && f.Outcome != OutcomeNotRun && f.Outcome != OutcomeUnknown {
		return &Refusal{Kind: Invalid, Detail: "an outcome is ran, none or unknown"}
	}
	c, ok := s.claims[f.Key]
	if !ok {
		return &Refusal{Kind: Absent, Detail: "the key is not claimed"}
	}
	r.Holder, r.Outcome = c.Host, c.Outcome
	if c.Host != f.Host {
		return &Refusal{Kind: Taken, Detail: "the key is claimed by host " + c.Host}
	}
	if c.Outcome != OutcomePending && c.Outcome != f.Outcome {
		return &Refusal{Kind: Stale, Detail: "the request has the outcome " + string(c.Outcome)}
	}
	c.Outcome = f.Outcome
	r.Outcome = f.Outcome
	s.claims[f.Key] = c
	return nil
}

// expireClaims removes the claims whose term has ended. claimOrder is sorted by time,
// because the clock never goes backwards.
func (s *State) expireClaims() {
	for len(s.claimOrder) > 0 {
		key := s.claimOrder[0]
		if s.claimClock.Before(s.claims[key].At.Add(claimTerm)) {
			return
		}
		delete(s.claims, key)
		s.claimOrder = s.claimOrder[1:]
	}
}
