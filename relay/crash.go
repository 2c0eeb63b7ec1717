package relay

import (
	"encoding/binary"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/route"
)

// deathCheckDelay is how long after a reset it is checked whether the target has died. By then, the resets
// of its idle connections have arrived.
const deathCheckDelay = 5 * time.Millisecond

// perAttemptHeaders lists the headers, besides those of the protocol, that differ between two sendings of
// the same request.
var perAttemptHeaders = []string{"Date", "Traceparent", "Tracestate", "X-Request-Id"}

// fingerprint returns a hash of all that a target receives of the request except what differs between two
// sendings. Two requests with the same fingerprint are the same to a target.
func (s *Service) fingerprint(j *job) uint64 {
	j.fingerprintOnce.Do(func() {
		header := endToEndHeaders(j.Header)
		for _, name := range append([]string{s.Headers.Request, s.Headers.Timeout, s.Headers.Target}, perAttemptHeaders...) {
			header.Del(name)
		}
		h := xxhash.New()
		add := func(field []byte) { // the length distinguishes ("ab", "c") from ("a", "bc")
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
			_, _ = h.Write(field)
		}
		add([]byte(j.Method))
		add([]byte(j.Host))
		add([]byte(j.RequestURI))
		_ = header.Write(h) // writes to a hash never fail
		add(j.body)
		j.fingerprintValue = h.Sum64()
	})
	return j.fingerprintValue
}

// refusedFor returns for how long the request is refused because targets of one of the services die when
// they run it; 0 if it may be sent.
func (s *Service) refusedFor(j *job, services ...string) time.Duration {
	if s.Crashes.Empty() {
		return 0
	}
	now, fingerprint, longest := s.Clock.Now(), s.fingerprint(j), time.Duration(0)
	for _, service := range services {
		longest = max(longest, s.Crashes.Refused(now, service, fingerprint))
	}
	return longest
}

// refuseCrashing returns the refusal of a request that is refused for a time, and counts it.
func (s *Service) refuseCrashing(j *job, wait time.Duration) *refusal {
	s.Metrics.crash(j.route.Name)
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "not run: targets die when they run this request", retry: wait, route: j.route.Name,
	}
}

// recordCrashEvidence records what an attempt shows about whether its request crashes targets.
func (s *Service) recordCrashEvidence(now time.Time, j *job, r *result) {
	switch {
	case r.outcome == route.Reset && r.ran:
		s.checkDeath(j, r.target)
	case s.Crashes.Empty():
	case r.outcome == route.Success, r.outcome == route.Failed && r.response != nil:
		s.Crashes.RecordAnswer(now, r.service, s.fingerprint(j))
	}
}

// deathChecks finds out whether targets that have reset a connection have died.
type deathChecks struct {
	mu sync.Mutex
	// suspects holds the requests that were in flight at each target that is being checked.
	suspects map[control.Death][]*job
}

// add adds a request that was in flight. It reports whether the caller must check the target.
func (c *deathChecks) add(id control.Death, j *job) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, running := c.suspects[id]
	if c.suspects == nil {
		c.suspects = map[control.Death][]*job{}
	}
	if !slices.Contains(list, j) {
		list = append(list, j)
	}
	c.suspects[id] = list
	return !running
}

// take ends the check of a target and returns the requests that were in flight.
func (c *deathChecks) take(id control.Death) []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.suspects[id]
	delete(c.suspects, id)
	return list
}

// checkDeath checks in the background whether a target that has reset the connection of an attempt has
// died, and records its death.
func (s *Service) checkDeath(j *job, t *control.Target) {
	id := control.Death{Target: t.Name, Incarnation: t.Incarnation}
	if !s.deaths.add(id, j) {
		return
	}
	go func() {
		s.Clock.Sleep(deathCheckDelay)
		alive := s.isAlive(t)
		list := s.deaths.take(id)
		if alive || s.Reach.Lost() { // without links, this host can't tell
			return
		}
		now := s.Clock.Now()
		for _, j := range list {
			fingerprint := s.fingerprint(j)
			s.Crashes.RecordDeath(now, t.Service, fingerprint, id)
			if omitted, ok := s.Events.Allow("died", degradedLines); ok {
				s.Log.Warn().Str("request", j.id).Str("route", j.route.Name).Str("path", pathOf(j.RequestURI)).
					Str("fingerprint", FormatFingerprint(fingerprint)).Str("target", t.Name).Str("born", t.Incarnation).
					Int("omitted", omitted).Msg("target died with this request in flight")
			}
		}
	}()
}

// isAlive reports whether the target accepts connections, or whether that can't be told. A target that
// closes a new connection because it has too many is alive.
func (s *Service) isAlive(t *control.Target) bool {
	if s.Pool.IsReachable(t) {
		return true
	}
	err := s.Pool.Probe(t)
	return !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET)
}

// FormatFingerprint returns the fingerprint of a request as it appears in logs.
func FormatFingerprint(fingerprint uint64) string {
	const base = 16
	return strconv.FormatUint(fingerprint, base)
}
