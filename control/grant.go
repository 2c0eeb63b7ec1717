package control

import (
	"fmt"
	"maps"
	"time"

	"wasabirelay/document"
)

const (
	// GrantMargin is how long after its end a grant still counts, so that the
	// clocks of leader and holder may drift apart by less than this in a term.
	GrantMargin = 500 * time.Millisecond
	// maxTerm bounds a grant: an allowance that a failed host holds is out of use
	// until the term ends.
	maxTerm = time.Hour
	// maxAmount keeps sums of amounts within an int on every platform.
	maxAmount = 1 << 24
)

// grant is the part of an allowance that one holder has.
type grant struct {
	Amount int `json:"amount"`
	// Limit is the size of the allowance that the grant was given under.
	Limit int       `json:"limit"`
	End   time.Time `json:"end"`
	// Index is the log index of the command that gave or renewed the grant.
	Index uint64 `json:"index"`
}

// acquire gives a grant or renews the holder's. The sum of the grants of a name
// stays within the limit of the command and the limits of all live grants, so a
// larger limit takes effect only when the grants given under the smaller one
// have ended or were renewed.
//
// A renewal never lowers the amount or the end: the holder may not receive the
// result and go on with the grant that it has.
func (s *State) acquire(a *AcquireGrant, r *Result) *Refusal {
	if refusal := checkGrant(a); refusal != nil {
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

func checkGrant(a *AcquireGrant) *Refusal {
	switch {
	case a.Name == "" || a.Holder == "":
		return &Refusal{Kind: Invalid, Detail: "a grant needs a name and a holder"}
	case a.Amount < 1 || a.Amount > maxAmount || a.Limit < 1 || a.Limit > maxAmount:
		return &Refusal{Kind: Invalid, Detail: fmt.Sprintf("amount and limit are from 1 to %d", maxAmount)}
	case a.Term <= 0 || a.Term > maxTerm:
		return &Refusal{Kind: Invalid, Detail: "the term is above 0 and at most " + document.Duration{Duration: maxTerm}.String()}
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
	s.cache.putGrants(name, live)
	if len(live) == 0 {
		s.grants.remove(name)
		return
	}
	s.grants.set(name, live)
	for _, g := range live {
		if s.nextEnd.IsZero() || g.End.Before(s.nextEnd) {
			s.nextEnd = g.End
		}
	}
}

// expireGrants removes the grants whose end lies more than the margin back.
// nextEnd is at most the earliest end, so that most commands need no pass.
func (s *State) expireGrants() {
	if s.nextEnd.IsZero() || !s.clock.After(s.nextEnd.Add(GrantMargin)) {
		return
	}
	s.nextEnd = time.Time{}
	for _, name := range s.grants.keys() {
		live, _ := s.grants.get(name)
		next := maps.Clone(live)
		maps.DeleteFunc(next, func(_ string, g grant) bool { return s.clock.After(g.End.Add(GrantMargin)) })
		if len(next) != len(live) {
			s.setGrants(name, next)
			continue
		}
		for _, g := range next {
			if s.nextEnd.IsZero() || g.End.Before(s.nextEnd) {
				s.nextEnd = g.End
			}
		}
	}
}
