package control

import (
	"slices"
	"time"

	"wasabirelay/inventory"
)

const (
	// maxDeaths limits the stored deaths of one fingerprint.
	maxDeaths = 64
	// maxSuspectsPerCommand limits the suspects of one command, because it is stored in the log.
	maxSuspectsPerCommand = 64
	// earlyTerm is how long an early death counts. It covers the 1 s after which a host
	// confirms a death, a lost report, and the time during which callers resend a request.
	earlyTerm = 5 * time.Second
)

// suspect is a request fingerprint that was in flight when targets died.
type suspect struct {
	Service string `json:"service"`
	// Deaths holds each incarnation that died once per shard, oldest first. Older snapshots
	// have a list of another form, so the key is not "deaths".
	Deaths []death `json:"died,omitempty"`
	// Poisoned is true if the request is refused until Until. Otherwise the deaths are
	// removed at Until.
	Poisoned bool      `json:"poisoned,omitempty"`
	Until    time.Time `json:"until"`
}

// death is the death of an incarnation with a request for a shard in flight.
type death struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Shard       int    `json:"shard"`
	// EarlyUntil is when an early death stops counting unless it is confirmed. It is zero for
	// a confirmed death.
	EarlyUntil time.Time `json:"early,omitzero"`
}

func (d *death) matches(r *SuspectRequest) bool {
	return d.Target == r.Target && d.Incarnation == r.Incarnation && d.Shard == r.Shard
}

// applySuspects applies a batch of suspects. It refuses the batch if one of them is invalid.
func (s *State) applySuspects(list []SuspectRequest) *Refusal {
	if len(list) > maxSuspectsPerCommand {
		return &Refusal{Kind: Invalid, Detail: "a command holds too many suspects"}
	}
	for i := range list {
		if refusal := list[i].validate(); refusal != nil {
			return refusal
		}
	}
	for i := range list {
		s.applySuspect(&list[i])
	}
	return nil
}

func (r *SuspectRequest) validate() *Refusal {
	switch {
	case r.Early && r.Cleared:
		return &Refusal{Kind: Invalid, Detail: "a death is either early or cleared"}
	case r.Fingerprint == "" || (!r.Cleared && (r.Target == "" || r.Incarnation == "")):
		return &Refusal{Kind: Invalid, Detail: "a suspect needs a fingerprint, a target and an incarnation"}
	}
	return nil
}

// applySuspect adds the death of a target incarnation to a fingerprint, or withdraws the
// early deaths of a shard. The rules at the time of the death apply; each further death
// extends the hold.
func (s *State) applySuspect(r *SuspectRequest) {
	old, known := s.suspects.get(r.Fingerprint)
	if r.Cleared {
		if known {
			s.removeEarlyDeaths(r.Fingerprint, old, func(d death) bool { return d.Shard == r.Shard })
		}
		return
	}
	next := old
	next.Service = r.Service
	next.Deaths = slices.Clone(old.Deaths)
	i := slices.IndexFunc(next.Deaths, func(d death) bool { return d.matches(r) })
	switch {
	case i >= 0 && (r.Early || next.Deaths[i].EarlyUntil.IsZero()):
		return // The death is already recorded.
	case i >= 0:
		next.Deaths[i].EarlyUntil = time.Time{}
	default:
		d := death{Target: r.Target, Incarnation: r.Incarnation, Shard: r.Shard}
		if r.Early {
			d.EarlyUntil = s.clock.Add(earlyTerm)
		}
		next.Deaths = append(next.Deaths, d)
		next.Deaths = next.Deaths[max(0, len(next.Deaths)-maxDeaths):]
	}
	s.updatePoisoned(&next, r)
	s.setSuspect(r.Fingerprint, next)
}

// updatePoisoned decides whether a further death makes the fingerprint poisoned, and extends
// its term.
func (s *State) updatePoisoned(v *suspect, r *SuspectRequest) {
	deaths, hold := s.poisonRules()
	v.Poisoned = v.Poisoned || v.maxDeathsPerShard() >= deaths
	until := s.clock.Add(hold)
	if r.Early && !v.Poisoned {
		until = s.clock.Add(earlyTerm)
	}
	if until.After(v.Until) {
		v.Until = until
	}
}

// maxDeathsPerShard returns the largest number of deaths of any one shard. Deaths of
// different shards are not added up, because a query is in flight at all shards at once.
func (v *suspect) maxDeathsPerShard() int {
	shards := map[int]int{}
	most := 0
	for _, d := range v.Deaths {
		shards[d.Shard]++
		most = max(most, shards[d.Shard])
	}
	return most
}

// removeEarlyDeaths removes the early deaths that match. A fingerprint that is poisoned only
// because of them is no longer refused.
func (s *State) removeEarlyDeaths(fingerprint string, old suspect, match func(d death) bool) {
	next := old
	next.Deaths = slices.DeleteFunc(slices.Clone(old.Deaths), func(d death) bool { return !d.EarlyUntil.IsZero() && match(d) })
	if len(next.Deaths) == len(old.Deaths) {
		return
	}
	if len(next.Deaths) == 0 {
		s.removeSuspect(fingerprint)
		return
	}
	deaths, _ := s.poisonRules()
	next.Poisoned = old.Poisoned && next.maxDeathsPerShard() >= deaths
	s.setSuspect(fingerprint, next)
}

func (s *State) setSuspect(fingerprint string, v suspect) {
	s.suspects.set(fingerprint, v)
	s.cache.poisoned, s.cache.suspected = nil, nil
	if next := v.nextEnd(); s.nextSuspectEnd.IsZero() || next.Before(s.nextSuspectEnd) {
		s.nextSuspectEnd = next
	}
}

func (s *State) removeSuspect(fingerprint string) {
	s.suspects.remove(fingerprint)
	s.cache.poisoned, s.cache.suspected = nil, nil
}

// nextEnd returns when the suspect or one of its early deaths ends. The early deaths of a
// poisoned fingerprint count until its hold ends.
func (v *suspect) nextEnd() time.Time {
	next := v.Until
	for _, d := range v.Deaths {
		if !v.Poisoned && !d.EarlyUntil.IsZero() && d.EarlyUntil.Before(next) {
			next = d.EarlyUntil
		}
	}
	return next
}

func (s *State) poisonRules() (deaths int, hold time.Duration) {
	if s.document == nil {
		return inventory.DefaultCrashThreshold, inventory.DefaultHoldDuration
	}
	p := s.document.Rules.Poison
	return p.CrashThreshold, p.HoldDuration.Duration
}

// expireSuspects removes the fingerprints whose term has ended, and the early deaths that
// were neither confirmed nor cleared in time. nextSuspectEnd is never later than the earliest
// end, so most commands need no pass over the suspects.
func (s *State) expireSuspects() {
	if s.nextSuspectEnd.IsZero() || s.clock.Before(s.nextSuspectEnd) {
		return
	}
	s.nextSuspectEnd = time.Time{}
	for _, fingerprint := range s.suspects.keys() {
		v, _ := s.suspects.get(fingerprint)
		if !s.clock.Before(v.Until) {
			s.removeSuspect(fingerprint)
			continue
		}
		if !v.Poisoned {
			s.removeEarlyDeaths(fingerprint, v, func(d death) bool { return !s.clock.Before(d.EarlyUntil) })
		}
		if v, ok := s.suspects.get(fingerprint); ok {
			if next := v.nextEnd(); s.nextSuspectEnd.IsZero() || next.Before(s.nextSuspectEnd) {
				s.nextSuspectEnd = next
			}
		}
	}
}
