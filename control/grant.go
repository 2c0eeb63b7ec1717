package control

import (
	"fmt"
	"maps"
	"time"

	"wasabirelay/document"
)

const (
	// GrantMargin is how long a grant still counts after its end. The clocks of the leader
	// and the holder must drift apart by less than this during a term.
	GrantMargin = 500 * time.Millisecond
	// maxGrantTerm limits how long the grant of a failed host blocks its share of an
	// allowance.
	maxGrantTerm = time.Hour
	// maxGrantAmount prevents sums of amounts from overflowing an int on any platform.
	maxGrantAmount = 1 << 24
)

// grant is the share of an allowance that one holder has.
type grant struct {
	Amount int `json:"amount"`
	// Limit is the size of the allowance in the command that created or renewed the grant.
	Limit int       `json:"limit"`
	End   time.Time `json:"end"`
	// Index is the log index of that command.
	Index uint64 `json:"index"`
}

// acquire creates a grant or renews the one of the holder. The sum of the grants of an
// allowance stays within the limit of the command and the limits of all live grants, so a
// larger limit takes effect only after the grants with the smaller one have ended or were
// renewed.
//
// A renewal never reduces the amount or the end, because the result may be lost and the
// holder would continue to use its previous grant.
func (s *State) acquire(a *AcquireGrant, r *Result) *Refusal {
	if refusal := validateGrant(a); refusal != nil {
		return refusal
	}
	live, _ := s.grants.get(a.Name)
	old, renewal := live[a.Holder]
	limit, others := a.Limit, 0
	for holder, g := range live {
		if holder != a.Holder {
			limit = min(limit, g.Limit)
			others += g.Amount
		}
	}
	free := limit - others
	amount := max(old.Amount, min(a.Amount, free))
	if free <= 0 || amount > free {
		r.Granted = old.Amount
		return &Refusal{Kind: Taken, Detail: fmt.Sprintf("%s: %d of %d are granted", a.Name, others+old.Amount, limit)}
	}
	end := s.clock.Add(a.Term)
	if renewal && old.End.After(end) {
		end = old.End
	}
	next := maps.Clone(live)
	if next == nil {
		next = map[string]grant{}
	}
	next[a.Holder] = grant{Amount: amount, Limit: a.Limit, End: end, Index: s.index}
	s.setGrants(a.Name, next)
	r.Granted = amount
	return nil
}

func validateGrant(a *AcquireGrant) *Refusal {
	switch {
	case a.Name == "" || a.Holder == "":
		return &Refusal{Kind: Invalid, Detail: "a grant needs a name and a holder"}
	case a.Amount < 1 || a.Amount > maxGrantAmount || a.Limit < 1 || a.Limit > maxGrantAmount:
		return &Refusal{Kind: Invalid, Detail: fmt.Sprintf("amount and limit are from 1 to %d", maxGrantAmount)}
	case a.Term <= 0 || a.Term > maxGrantTerm:
		return &Refusal{Kind: Invalid, Detail: "the term is above 0 and at most " + document.Duration{Duration: maxGrantTerm}.String()}
	}
	return nil
}

func (s *State) release(g *ReleaseGrant) *Refusal {
	live, _ := s.grants.get(g.Name)
	old, ok := live[g.Holder]
	if !ok {
		return &Refusal{Kind: Absent, Detail: g.Holder + " has no grant of " + g.Name}
	}
	if g.Index != 0 && g.Index < old.Index {
		return &Refusal{Kind: Stale, Detail: "the grant has been renewed since"}
	}
	next := maps.Clone(live)
	delete(next, g.Holder)
	s.setGrants(g.Name, next)
	return nil
}

func (s *State) setGrants(name string, live map[string]grant) {
	s.cache.setGrants(name, live)
	if len(live) == 0 {
		s.grants.remove(name)
		return
	}
	s.grants.set(name, live)
	for _, g := range live {
		if s.nextGrantEnd.IsZero() || g.End.Before(s.nextGrantEnd) {
			s.nextGrantEnd = g.End
		}
	}
}

// expireGrants removes the grants that ended more than GrantMargin ago. nextGrantEnd is
// never later than the earliest end, so most commands need no pass over the grants.
func (s *State) expireGrants() {
	if s.nextGrantEnd.IsZero() || !s.clock.After(s.nextGrantEnd.Add(GrantMargin)) {
		return
	}
	s.nextGrantEnd = time.Time{}
	for _, name := range s.grants.keys() {
		live, _ := s.grants.get(name)
		next := maps.Clone(live)
		maps.DeleteFunc(next, func(_ string, g grant) bool { return s.clock.After(g.End.Add(GrantMargin)) })
		if len(next) != len(live) {
			s.setGrants(name, next)
			continue
		}
		for _, g := range next {
			if s.nextGrantEnd.IsZero() || g.End.Before(s.nextGrantEnd) {
				s.nextGrantEnd = g.End
			}
		}
	}
}
