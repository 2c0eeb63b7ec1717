// Package poison detects requests that crash the targets that run them. It tracks the
// sub-requests in flight per target incarnation and derives suspects from the deaths of targets.
// It opens no sockets and reads no clock.
//
// A death may have another cause, and a request that is sent often is in flight at most deaths.
// A death is therefore confirmed only if a second target of the same shard dies with the request
// in flight, or if no target answers the request for that shard within GracePeriod. By then, the
// caller may have sent the request through other hosts. The death is therefore also reported
// early, unless a target has recently answered the request for that shard.
package poison

import (
	"encoding/binary"
	"encoding/hex"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabirelay/control"
)

// GracePeriod is how long after a death an answer for the same shard clears a suspect. It is the
// default deadline of a query: within it, a retry or the next copy of a harmless request is
// answered.
const GracePeriod = time.Second

const (
	// incarnationWindow is how long after a reset a new incarnation of the target confirms its
	// death. It exceeds the default time until a silent target is removed (6 s) plus one renewal
	// period (2 s), with a margin.
	incarnationWindow = 10 * time.Second
	// earlyReportTerm is how long an early report counts in the replicated state.
	earlyReportTerm = 5 * time.Second
	// withdrawalInterval is the least time between two withdrawals for the same shard request by
	// this host. It is many times longer than a command takes to reach the view.
	withdrawalInterval = 500 * time.Millisecond
	// maxEarlyReports limits the early reports of one death, because each of them is stored in
	// the log as part of a command. If more new requests were in flight, the others are not
	// suspected in the replicated state until the death is confirmed.
	maxEarlyReports = 64
	// maxSuspects limits the fingerprints and the shard requests that this host remembers.
	maxSuspects = 4096
)

// Fingerprint returns 16 hexadecimal digits that identify the content of a request: an xxhash of
// the service, the route and the query. The length before each field distinguishes ("ab", "c")
// from ("a", "bc").
func Fingerprint(service, route string, query []byte) string {
	h := xxhash.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(service), []byte(route), query} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Subrequest is a sub-request that has been sent to a target.
type Subrequest struct {
	Fingerprint string
	Service     string
	Target      string
	Incarnation string
	Shard       int
}

// Tracker tracks sub-requests in flight and deaths of targets. The zero value is ready for use.
// It is safe for concurrent use.
type Tracker struct {
	mu            sync.Mutex
	next          uint64
	inFlight      map[uint64]Subrequest
	byIncarnation map[targetIncarnation]map[uint64]struct{}
	resets        map[targetIncarnation]*reset
	// undecidedResets is the number of resets without a death.
	undecidedResets int
	pendingDeaths   map[shardRequest]*pendingReport
	suspects        map[string]*suspect
	answers         recentAnswers
	// earlyReports holds until when each early report of this host counts. A withdrawal removes
	// the report.
	earlyReports map[shardRequest]time.Time
	// withdrawnUntil holds the time before which a shard request is not withdrawn again.
	withdrawnUntil map[shardRequest]time.Time
}

// shardRequest is one request for one shard.
type shardRequest struct {
	fingerprint string
	shard       int
}

// pendingReport holds the deaths with a shard request in flight that are not yet confirmed.
type pendingReport struct {
	due    time.Time
	hold   time.Duration
	deaths []control.SuspectRequest
}

type targetIncarnation struct{ target, incarnation string }

// reset is a connection reset by a target incarnation, which may have died.
type reset struct {
	at       time.Time
	checking bool
	dead     bool
	// inFlight holds one sub-request for each shard request that was in flight.
	inFlight map[shardRequest]Subrequest
	// answered holds the shard requests that were answered while the health check ran.
	answered map[shardRequest]bool
}

// suspect holds the confirmed deaths of one fingerprint.
type suspect struct {
	until  time.Time
	deaths map[death]struct{}
}

// death is the death of a target with a request for the shard in flight. A target that holds
// several shards can die with requests for more than one of them.
type death struct {
	targetIncarnation
	shard int
}

// Begin records a sub-request that is about to be sent and returns its number.
func (t *Tracker) Begin(sub Subrequest) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight == nil {
		t.inFlight = map[uint64]Subrequest{}
		t.byIncarnation = map[targetIncarnation]map[uint64]struct{}{}
		t.resets = map[targetIncarnation]*reset{}
		t.pendingDeaths = map[shardRequest]*pendingReport{}
		t.suspects = map[string]*suspect{}
		t.earlyReports = map[shardRequest]time.Time{}
	}
	t.next++
	id := targetIncarnation{sub.Target, sub.Incarnation}
	if t.byIncarnation[id] == nil {
		t.byIncarnation[id] = map[uint64]struct{}{}
	}
	t.byIncarnation[id][t.next] = struct{}{}
	t.inFlight[t.next] = sub
	return t.next
}

// End removes a sub-request. After a connection reset, Reset must be called first.
func (t *Tracker) End(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub, ok := t.inFlight[number]
	if !ok {
		return
	}
	id := targetIncarnation{sub.Target, sub.Incarnation}
	delete(t.inFlight, number)
	delete(t.byIncarnation[id], number)
	if len(t.byIncarnation[id]) == 0 {
		delete(t.byIncarnation, id)
	}
}

// Reset records that the connection of a sub-request was reset after the request was sent. Every
// sub-request in flight to the same incarnation may have caused the reset. Reset reports whether
// the caller must check the health of the target and pass the result to HealthChecked.
func (t *Tracker) Reset(now time.Time, number uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub, ok := t.inFlight[number]
	if !ok {
		return false
	}
	id := targetIncarnation{sub.Target, sub.Incarnation}
	r := t.resets[id]
	if r == nil || (!r.dead && !r.checking && now.Sub(r.at) > incarnationWindow) {
		if r == nil {
			t.undecidedResets++
		}
		r = &reset{inFlight: map[shardRequest]Subrequest{}, answered: map[shardRequest]bool{}}
		t.resets[id] = r
	}
	if r.dead {
		return false
	}
	for n := range t.byIncarnation[id] {
		other := t.inFlight[n]
		r.inFlight[shardRequest{other.Fingerprint, other.Shard}] = other
	}
	first := !r.checking
	if first {
		clear(r.answered)
	}
	r.at, r.checking = now, true
	return first
}

// HealthChecked records whether the target answered its health check after a reset. If it did
// not, HealthChecked returns the suspects to report now, early or confirmed; others may be due
// after GracePeriod. hold is how long this host remembers a suspect.
func (t *Tracker) HealthChecked(now time.Time, target, incarnation string, alive bool, hold time.Duration) []control.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := targetIncarnation{target, incarnation}
	r := t.resets[id]
	if r == nil || r.dead {
		return nil
	}
	r.checking = false
	if alive {
		return nil
	}
	maps.DeleteFunc(r.inFlight, func(key shardRequest, _ Subrequest) bool { return r.answered[key] })
	return t.recordDeath(now, id, r, hold)
}

// Succeeded records that a target has answered the sub-request, which clears its fingerprint for
// the shard. seen is true if the view shows an early suspicion of the fingerprint for the shard.
// It returns the withdrawal of the early reports, if one is due.
func (t *Tracker) Succeeded(now time.Time, sub Subrequest, seen bool) []control.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := shardRequest{sub.Fingerprint, sub.Shard}
	t.answers.add(now, key)
	delete(t.pendingDeaths, key)
	if t.undecidedResets > 0 {
		for _, r := range t.resets {
			if _, ok := r.inFlight[key]; ok && r.checking {
				r.answered[key] = true
			}
		}
	}
	if s := t.suspects[sub.Fingerprint]; s != nil {
		maps.DeleteFunc(s.deaths, func(d death, _ struct{}) bool { return d.shard == sub.Shard })
		if len(s.deaths) == 0 {
			delete(t.suspects, sub.Fingerprint)
		}
	}
	_, reported := t.earlyReports[key]
	if !reported && (!seen || now.Before(t.withdrawnUntil[key])) {
		return nil
	}
	delete(t.earlyReports, key)
	t.recordWithdrawal(now, key)
	return []control.SuspectRequest{{Fingerprint: sub.Fingerprint, Service: sub.Service, Shard: sub.Shard, Cleared: true}}
}

// recordWithdrawal remembers a withdrawal, so that answers that arrive before the view shows it
// do not repeat it.
func (t *Tracker) recordWithdrawal(now time.Time, key shardRequest) {
	if t.withdrawnUntil == nil || len(t.withdrawnUntil) >= maxSuspects {
		t.withdrawnUntil = map[shardRequest]time.Time{}
	}
	t.withdrawnUntil[key] = now.Add(withdrawalInterval)
}

// AnsweredRecently reports whether a target has recently answered the request for the shard.
func (t *Tracker) AnsweredRecently(now time.Time, fingerprint string, shard int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers.has(now, shardRequest{fingerprint, shard})
}

// Died reports whether this host has observed the death of the incarnation, or is checking its
// health after a reset.
func (t *Tracker) Died(target, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.resets[targetIncarnation{target, incarnation}]
	return r != nil && (r.dead || r.checking)
}

// HasPending reports whether there are suspects whose GracePeriod has not ended.
func (t *Tracker) HasPending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pendingDeaths) > 0
}

// DueReports returns the suspects that were not cleared within GracePeriod.
func (t *Tracker) DueReports(now time.Time) []control.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []control.SuspectRequest
	for key, report := range t.pendingDeaths {
		if !now.Before(report.due) {
			out = append(out, t.confirm(now, key, report)...)
		}
	}
	return out
}

// ObserveIncarnations compares the live incarnations with the targets that reset a connection.
// If such a target has a new incarnation, the old one is dead, and ObserveIncarnations returns
// the suspects to report now. A target that is absent from the view has no new incarnation.
func (t *Tracker) ObserveIncarnations(now time.Time, current func(target string) (incarnation string, ok bool), hold time.Duration) []control.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []control.SuspectRequest
	for id, r := range t.resets {
		incarnation, ok := current(id.target)
		switch {
		case !r.dead && ok && incarnation != id.incarnation:
			out = append(out, t.recordDeath(now, id, r, hold)...)
		case !r.checking && now.Sub(r.at) > incarnationWindow:
			delete(t.resets, id)
			if !r.dead {
				t.undecidedResets--
			}
		}
	}
	return out
}

// Deaths returns the largest number of deaths of any one shard with the fingerprint in flight,
// counting those that this host has confirmed and that are not cleared.
func (t *Tracker) Deaths(now time.Time, fingerprint string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedDeaths(now, fingerprint)
}

func (t *Tracker) confirmedDeaths(now time.Time, fingerprint string) int {
	s := t.suspects[fingerprint]
	if s == nil || !now.Before(s.until) {
		return 0
	}
	most, shards := 0, map[int]int{}
	for d := range s.deaths {
		shards[d.shard]++
		most = max(most, shards[d.shard])
	}
	return most
}

// Suspected reports whether the fingerprint was in flight at a death that is not cleared. A
// reset whose health check is running counts as a death, because otherwise a retry would be sent
// before the check ends.
func (t *Tracker) Suspected(now time.Time, fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedDeaths(now, fingerprint) > 0 {
		return true
	}
	for key := range t.pendingDeaths {
		if key.fingerprint == fingerprint {
			return true
		}
	}
	for _, r := range t.resets {
		for key := range r.inFlight {
			if r.checking && key.fingerprint == fingerprint {
				return true
			}
		}
	}
	return false
}

// SuspectedEarly reports whether the fingerprint was in flight, for a shard that has not
// answered it recently, at a death that is neither confirmed nor cleared or at a reset whose
// health check is running.
func (t *Tracker) SuspectedEarly(now time.Time, fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.pendingDeaths {
		if key.fingerprint == fingerprint && !t.answers.has(now, key) {
			return true
		}
	}
	for _, r := range t.resets {
		if !r.checking {
			continue
		}
		for key := range r.inFlight {
			if key.fingerprint == fingerprint && !t.answers.has(now, key) {
				return true
			}
		}
	}
	return false
}

// recordDeath adds the death to the pending reports of the sub-requests that were in flight. It
// returns the early reports, and the confirmed reports of those that were in flight at a second
// death. A shard request that was answered recently is not reported before GracePeriod ends,
// because a request that is sent often is in flight at most deaths.
func (t *Tracker) recordDeath(now time.Time, id targetIncarnation, r *reset, hold time.Duration) []control.SuspectRequest {
	r.dead, r.checking, r.at = true, false, now
	t.undecidedResets--
	t.removeExpiredEarlyReports(now)
	var out []control.SuspectRequest
	early := 0
	for key, sub := range r.inFlight {
		report := t.pendingDeaths[key]
		if report == nil {
			if len(t.pendingDeaths) >= maxSuspects {
				continue // Many targets died at the same time, so a single request is an unlikely cause.
			}
			report = &pendingReport{due: now.Add(GracePeriod), hold: hold}
			t.pendingDeaths[key] = report
		}
		d := control.SuspectRequest{
			Fingerprint: sub.Fingerprint, Service: sub.Service, Target: id.target, Incarnation: id.incarnation, Shard: sub.Shard,
		}
		report.deaths = append(report.deaths, d)
		if t.answers.has(now, key) {
			continue
		}
		if s := t.suspects[key.fingerprint]; len(report.deaths) > 1 || (s != nil && now.Before(s.until)) {
			out = append(out, t.confirm(now, key, report)...)
		} else if early < maxEarlyReports && len(t.earlyReports) < maxSuspects {
			early++
			t.earlyReports[key] = now.Add(earlyReportTerm)
			d.Early = true
			out = append(out, d)
		}
	}
	r.inFlight, r.answered = nil, nil
	return out
}

// removeExpiredEarlyReports removes the early reports that no longer count.
func (t *Tracker) removeExpiredEarlyReports(now time.Time) {
	maps.DeleteFunc(t.earlyReports, func(_ shardRequest, until time.Time) bool { return !now.Before(until) })
}

// confirm removes the pending report of a shard request, counts its deaths as confirmed and
// returns them.
func (t *Tracker) confirm(now time.Time, key shardRequest, report *pendingReport) []control.SuspectRequest {
	delete(t.pendingDeaths, key)
	s := t.suspects[key.fingerprint]
	if s == nil || !now.Before(s.until) {
		t.evictSuspect(now)
		s = &suspect{deaths: map[death]struct{}{}}
		t.suspects[key.fingerprint] = s
	}
	s.until = now.Add(report.hold)
	for _, d := range report.deaths {
		s.deaths[death{targetIncarnation{d.Target, d.Incarnation}, key.shard}] = struct{}{}
	}
	return report.deaths
}

// evictSuspect removes expired suspects if the limit is reached. If none has expired, it removes
// the one that expires first.
func (t *Tracker) evictSuspect(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest string
	for fingerprint, s := range t.suspects {
		if !now.Before(s.until) {
			delete(t.suspects, fingerprint)
		} else if oldest == "" || s.until.Before(t.suspects[oldest].until) {
			oldest = fingerprint
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, oldest)
	}
}
