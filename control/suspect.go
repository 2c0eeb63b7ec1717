package control

import (
	"slices"
	"time"

	"wasabirelay/inventory"
)

// maxDeaths bounds the deaths that are kept per fingerprint.
const maxDeaths = 64

// suspect is a request fingerprint that was in flight when targets died.
type suspect struct {
	Service string `json:"service"`
	// Deaths holds the incarnations that died, each once.
	Deaths []string `json:"deaths"`
	// Poisoned states that the request is refused until Until; otherwise the
	// deaths are forgotten then.
	Poisoned bool      `json:"poisoned,omitempty"`
	Until    time.Time `json:"until"`
}

// suspect counts the death of a target incarnation against a fingerprint. The
// rules at the time of the death apply; each further death extends the hold.
func (s *State) suspect(r *SuspectRequest) *Refusal {
	if r.Fingerprint == "" || r.Target == "" || r.Incarnation == "" {
		return &Refusal{Kind: Invalid, Detail: "a suspect needs a fingerprint, a target and an incarnation"}
	}
	deaths, hold := s.poisonRules()
	old, _ := s.suspects.get(r.Fingerprint)
	death := r.Target + "/" + r.Incarnation
	if slices.Contains(old.Deaths, death) {
		return nil
	}
	next := suspect{Service: r.Service, Poisoned: old.Poisoned, Until: s.clock.Add(hold)}
	if old.Until.After(next.Until) {
		next.Until = old.Until
	}
	next.Deaths = append(slices.Clone(old.Deaths), death)
	next.Poisoned = next.Poisoned || len(next.Deaths) >= deaths
	next.Deaths = next.Deaths[max(0, len(next.Deaths)-maxDeaths):]
	s.setSuspect(r.Fingerprint, next)
	return nil
}

func (s *State) setSuspect(fingerprint string, v suspect) {
	s.suspects.set(fingerprint, v)
	s.cache.poisoned = nil
	if s.nextHold.IsZero() || v.Until.Before(s.nextHold) {
		s.nextHold = v.Until
	}
}

func (s *State) poisonRules() (deaths int, hold time.Duration) {
	if s.document == nil {
		return inventory.DefaultDeaths, inventory.DefaultHold
	}
	p := s.document.Rules.Poison
	return p.Deaths, p.Hold.Duration
}

// expireSuspects removes the fingerprints whose time has ended. nextHold is at
// most the earliest end, so that most commands need no pass.
func (s *State) expireSuspects() {
	if s.nextHold.IsZero() || s.clock.Before(s.nextHold) {
		return
	}
	s.nextHold = time.Time{}
	for _, fingerprint := range s.suspects.keys() {
		v, _ := s.suspects.get(fingerprint)
		if !s.clock.Before(v.Until) {
			s.suspects.remove(fingerprint)
			s.cache.poisoned = nil
		} else if s.nextHold.IsZero() || v.Until.Before(s.nextHold) {
			s.nextHold = v.Until
		}
	}
}
