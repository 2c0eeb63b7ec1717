package control

import (
	"slices"
	"time"

	"wasabirelay/inventory"
)

const (
	// maxDeaths bounds the deaths that are kept per fingerprint.
	maxDeaths = 64
	// maxSuspects bounds the suspects of one command, which is kept in the log.
	maxSuspects = 64
	// earlyTerm is how long an early death counts. It covers the second after which
	// a host confirms a death, a lost report, and callers that resend for some time.
	earlyTerm = 5 * time.Second
)

// suspect is a request fingerprint that was in flight when targets died.
type suspect struct {
	Service string `json:"service"`
	// Deaths holds each incarnation that died once per shard, the oldest first. The
	// name of the field differs from the one that older snapshots used for a list of
	// another form.
	Deaths []death `json:"died,omitempty"`
	// Poisoned states that the request is refused until Until; otherwise the
	// deaths are forgotten then.
	Poisoned bool      `json:"poisoned,omitempty"`
	Until    time.Time `json:"until"`
}

// death is the death of an incarnation with a request for a shard in flight.
type death struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Shard       int    `json:"shard"`
	// Early is when the death stops counting unless it is confirmed; zero for a
	// confirmed death.
	Early time.Time `json:"early,omitzero"`
}

func (d *death) same(r *SuspectRequest) bool {
	return d.Target == r.Target && d.Incarnation == r.Incarnation && d.Shard == r.Shard
}

// suspectAll applies a batch of suspects. One that is invalid refuses the batch.
func (s *State) suspectAll(list []SuspectRequest) *Refusal {
	if len(list) > maxSuspects {
		return &Refusal{Kind: Invalid, Detail: "a command holds too many suspects"}
	}
	for i := range list {
		if refusal := list[i].check(); refusal != nil {
			return refusal
		}
	}
	for i := range list {
		s.suspect(&list[i])
	}
	return nil
}

func (r *SuspectRequest) check() *Refusal {
	switch {
	case r.Early && r.Cleared:
		return &Refusal{Kind: Invalid, Detail: "a death is either early or cleared"}
	case r.Fingerprint == "" || (!r.Cleared && (r.Target == "" || r.Incarnation == "")):
		return &Refusal{Kind: Invalid, Detail: "a suspect needs a fingerprint, a target and an incarnation"}
	}
	return nil
}

// suspect counts the death of a target incarnation against a fingerprint, or
// withdraws the early deaths of a shard. The rules at the time of the death apply;
// each further death extends the hold.
func (s *State) suspect(r *SuspectRequest) {
	old, known := s.suspects.get(r.Fingerprint)
	if r.Cleared {
		if known {
			s.dropEarly(r.Fingerprint, old, func(d death) bool { return d.Shard == r.Shard })
		}
		return
	}
	next := old
	next.Service = r.Service
	next.Deaths = slices.Clone(old.Deaths)
	i := slices.IndexFunc(next.Deaths, func(d death) bool { return d.same(r) })
	switch {
	case i >= 0 && (r.Early || next.Deaths[i].Early.IsZero()):
		return // It was reported before.
	case i >= 0:
		next.Deaths[i].Early = time.Time{}
	default:
		d := death{Target: r.Target, Incarnation: r.Incarnation, Shard: r.Shard}
		if r.Early {
			d.Early = s.clock.Add(earlyTerm)
		}
		next.Deaths = append(next.Deaths, d)
		next.Deaths = next.Deaths[max(0, len(next.Deaths)-maxDeaths):]
	}
	s.count(&next, r)
	s.setSuspect(r.Fingerprint, next)
}

// count decides whether a fingerprint with a further death is poisoned.
func (s *State) count(v *suspect, r *SuspectRequest) {
	deaths, hold := s.poisonRules()
	v.Poisoned = v.Poisoned || v.most() >= deaths
	until := s.clock.Add(hold)
	if r.Early && !v.Poisoned {
		until = s.clock.Add(earlyTerm)
	}
	if until.After(v.Until) {
		v.Until = until
	}
}

// most returns the largest number of deaths of one shard. Deaths of different
// shards are not added up: a query is in flight at all shards at once.
func (v *suspect) most() int {
	shards := map[int]int{}
	most := 0
	for _, d := range v.Deaths {
		shards[d.Shard]++
		most = max(most, shards[d.Shard])
	}
	return most
}

// dropEarly removes the early deaths that match. A fingerprint that was poisoned
// by them is released.
func (s *State) dropEarly(fingerprint string, old suspect, match func(d death) bool) {
	next := old
	next.Deaths = slices.DeleteFunc(slices.Clone(old.Deaths), func(d death) bool { return !d.Early.IsZero() && match(d) })
	if len(next.Deaths) == len(old.Deaths) {
		return
	}
	if len(next.Deaths) == 0 {
		s.removeSuspect(fingerprint)
		return
	}
	deaths, _ := s.poisonRules()
	next.Poisoned = old.Poisoned && next.most() >= deaths
	s.setSuspect(fingerprint, next)
}

func (s *State) setSuspect(fingerprint string, v suspect) {
	s.suspects.set(fingerprint, v)
	s.cache.poisoned, s.cache.suspected = nil, nil
	if next := v.next(); s.nextHold.IsZero() || next.Before(s.nextHold) {
		s.nextHold = next
	}
}

func (s *State) removeSuspect(fingerprint string) {
	s.suspects.remove(fingerprint)
	s.cache.poisoned, s.cache.suspected = nil, nil
}

// next is when something of the suspect ends. The early deaths of a poisoned
// fingerprint count until its hold ends.
func (v *suspect) next() time.Time {
	next := v.Until
	for _, d := range v.Deaths {
		if !v.Poisoned && !d.Early.IsZero() && d.Early.Before(next) {
			next = d.Early
		}
	}
	return next
}

func (s *State) poisonRules() (deaths int, hold time.Duration) {
	if s.document == nil {
		return inventory.DefaultDeaths, inventory.DefaultHold
	}
	p := s.document.Rules.Poison
	return p.Deaths, p.Hold.Duration
}

// expireSuspects removes the fingerprints whose time has ended, and the early
// deaths that were neither confirmed nor cleared. nextHold is at most the earliest
// end, so that most commands need no pass.
func (s *State) expireSuspects() {
	if s.nextHold.IsZero() || s.clock.Before(s.nextHold) {
		return
	}
	s.nextHold = time.Time{}
	for _, fingerprint := range s.suspects.keys() {
		v, _ := s.suspects.get(fingerprint)
		if !s.clock.Before(v.Until) {
			s.removeSuspect(fingerprint)
			continue
		}
		if !v.Poisoned {
			s.dropEarly(fingerprint, v, func(d death) bool { return !s.clock.Before(d.Early) })
		}
		if v, ok := s.suspects.get(fingerprint); ok {
			if next := v.next(); s.nextHold.IsZero() || next.Before(s.nextHold) {
				s.nextHold = next
			}
		}
	}
}
