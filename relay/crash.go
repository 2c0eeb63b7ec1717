package relay

import (
	"encoding/binary"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
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
		header := s.Headers.endToEnd(j.Header)
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
	case s.Crashes.Empty() && s.deaths.running.Load() == 0:
	case r.outcome == route.Success, r.outcome == route.Failed && r.response != nil:
		fingerprint := s.fingerprint(j)
		s.deaths.clear(r.service, func(suspect *job) bool { return s.fingerprint(suspect) == fingerprint })
		s.Crashes.RecordAnswer(now, r.service, fingerprint)
	}
}

// deathChecks finds out whether targets that have reset a connection have died.
type deathChecks struct {
	mu sync.Mutex
	// checks holds the checks that are running.
	checks map[control.Death]*deathCheck
	// running is the number of checks. It is read without the lock.
	running atomic.Int64
}

// deathCheck is the check of one target.
type deathCheck struct {
	service string
	// suspects holds the requests that were in flight and that no target has answered since.
	suspects []*job
}

// add adds a request that was in flight. It reports whether the caller must check the target.
func (c *deathChecks) add(id control.Death, service string, j *job) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check, running := c.checks[id]
	if !running {
		if c.checks == nil {
			c.checks = map[control.Death]*deathCheck{}
		}
		check = &deathCheck{service: service}
		c.checks[id] = check
		c.running.Add(1)
	}
	if !slices.Contains(check.suspects, j) {
		check.suspects = append(check.suspects, j)
	}
	return !running
}

// clear removes the requests of a service that a target has answered. Their deaths are not recorded: an answer that
// comes before would not clear them.
func (c *deathChecks) clear(service string, answered func(*job) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, check := range c.checks {
		if check.service == service {
			check.suspects = slices.DeleteFunc(check.suspects, answered)
		}
	}
}

// end ends the check of a target and passes the requests that were in flight to record, so that no answer comes
// between the two.
func (c *deathChecks) end(id control.Death, record func([]*job)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.checks[id].suspects)
	delete(c.checks, id)
	c.running.Add(-1)
}

// checkDeath checks in the background whether a target that has reset the connection of an attempt has
// died, and records its death.
func (s *Service) checkDeath(j *job, t *control.Target) {
	id := control.Death{Target: t.Name, Incarnation: t.Incarnation}
	if !s.deaths.add(id, t.Service, j) {
		return
	}
	go func() {
		s.Clock.Sleep(deathCheckDelay)
		alive := s.isAlive(t)
		var died []*job
		s.deaths.end(id, func(suspects []*job) {
			if alive || s.Reach.Lost() { // without links, this host can't tell
				return
			}
			died = suspects
			for _, j := range died {
				s.Crashes.RecordDeath(s.Clock.Now(), t.Service, s.fingerprint(j), id)
			}
		})
		for _, j := range died {
			if omitted, ok := s.Events.Allow("died", degradedLines); ok {
				s.Log.Warn().Str("request", j.id).Str("route", j.route.Name).Str("path", pathOf(j.RequestURI)).
					Str("fingerprint", FormatFingerprint(s.fingerprint(j))).Str("target", t.Name).Str("born", t.Incarnation).
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
