package relay

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/rank"
	"wasabirelay/route"
)

// shortageLines bounds the log lines per second for requests that got no room at a target.
const shortageLines = 10

// terms returns what the request competes for room with.
func (j *job) terms() rank.Terms {
	return rank.Terms{Rank: j.rank, Objective: j.partialAfter, Deadline: j.deadline, Since: j.started, ID: j.id, Standing: j.standing}
}

// attemptTerms returns what the next attempt competes for room with.
func (f *fetch) attemptTerms() rank.Terms {
	t := f.j.terms()
	t.Spare, t.Hedge = len(f.j.route.Shards) > 0 && f.canOmitOne(), f.isAsked()
	return t
}

// isAsked reports whether a target has been asked whose reply is pending.
func (f *fetch) isAsked() bool {
	for _, a := range f.attempts {
		if !a.ended && a.state.Load() == committed {
			return true
		}
	}
	return false
}

// dropsHedge reports whether a hedge is left out because callers compete for room: no other target has a place that
// no first attempt waits for, or the caller often comes back before the time that it was told.
func (f *fetch) dropsHedge() bool {
	if !f.Contended {
		return false
	}
	dropped := f.j.standing == rank.Repeating || !f.hasFreeTarget()
	if dropped {
		f.Metrics.rankEvent(f.j.rank, rankHedgeDropped)
	}
	return dropped
}

// hasFreeTarget reports whether a target that has not been tried has room.
func (f *fetch) hasFreeTarget() bool {
	tried := f.triedTargets()
	for _, t := range f.j.view.Targets[f.service] {
		if !tried[t.Name] && !f.j.view.Out[t.Centre] && f.Pool.HasRoom(t) {
			return true
		}
	}
	return false
}

// admit returns a refusal if the sub-requests of this host for the shards wait longer than the request can, or nil.
func (s *Service) admit(j *job, shards []string) *refusal {
	if !s.Contended {
		return nil
	}
	now, terms := s.Clock.Now(), j.terms()
	waits, targets := make([]rank.ShardWait, 0, len(shards)), make([]*control.Target, 0, len(shards))
	for _, service := range shards {
		if t, w := s.leastWait(j, service, &terms); t != nil {
			waits, targets = append(waits, w), append(targets, t)
		}
	}
	wait, ok := rank.Gathering(now, &terms, waits, j.spare)
	if ok {
		return nil
	}
	for _, t := range targets {
		s.Pool.Refuse(t, &terms)
	}
	return s.delayReturn(j, &refusal{
		status: http.StatusServiceUnavailable, route: j.route.Name, retry: retryAfter,
		reason: fmt.Sprintf("not run: the shards have no room in time for rank %d; expected wait %s", j.rank, wait),
	}, wait)
}

// leastWait returns the target of the shard with the shortest wait, or nil if this host can ask none.
func (s *Service) leastWait(j *job, service string, terms *rank.Terms) (best *control.Target, least rank.ShardWait) {
	for _, t := range j.view.Targets[service] {
		if t.State != control.Warm || j.view.Out[t.Centre] || !s.Pool.HasShare(t) {
			continue
		}
		if w := s.Pool.Expect(t, terms); best == nil || w.Wait+w.Held < least.Wait+least.Held {
			best, least = t, w
		}
	}
	return best, least
}

// refusedWait returns the wait that the pool has refused a result for, or 0.
func refusedWait(r *result) time.Duration {
	var refused *limit.RefusedError
	if errors.As(r.err, &refused) {
		return refused.Wait
	}
	return 0
}

// delayReturn sets when the caller of a request that has not run may return, and remembers what it was told. wait is the
// expected wait for room, 0 if not known.
func (s *Service) delayReturn(j *job, refused *refusal, wait time.Duration) *refusal {
	if !s.Contended || refused.status != http.StatusServiceUnavailable {
		return refused
	}
	if wait == 0 {
		wait = refused.retry
	}
	now, terms := s.Clock.Now(), j.terms()
	refused.retry = s.returns.After(now, &terms, wait, j.deadline.Sub(now))
	s.returns.Refuse(now, refused.retry, s.callers(j)...)
	s.Metrics.rankEvent(j.rank, rankRefused)
	return refused
}

// callerStanding returns what is known about the caller of the request.
func (s *Service) callerStanding(j *job) rank.Standing {
	now := s.Clock.Now()
	if !s.Contended || !s.returns.Known(now) {
		return rank.Newcomer
	}
	standing := s.returns.Arrive(now, s.callers(j)...)
	switch standing {
	case rank.Returned:
		s.Metrics.rankEvent(j.rank, rankReturned)
	case rank.Repeating:
		s.Metrics.rankEvent(j.rank, rankRepeating)
	}
	return standing
}

// callers returns what identifies the caller of the request; nothing if another host has passed it on.
func (s *Service) callers(j *job) []rank.Caller {
	address, err := netip.ParseAddrPort(j.RemoteAddr)
	if err != nil {
		return nil
	}
	return []rank.Caller{{Address: address.Addr(), Port: address.Port()}, {Address: address.Addr(), Content: s.fingerprint(j)}}
}

// recordServed records that a request was answered.
func (s *Service) recordServed(j *job) {
	if s.Contended {
		s.returns.Served(s.Clock.Now())
		s.Metrics.rankEvent(j.rank, rankServed)
	}
}

// recordShortage logs that an attempt got no room at its target.
func (s *Service) recordShortage(j *job, r *result) {
	var refused *limit.RefusedError
	if !s.Contended || !errors.As(r.err, &refused) || refused.Reason != limit.TooLate && refused.Reason != limit.Displaced || r.outcome == route.Cancelled {
		return
	}
	if omitted, ok := s.Events.Allow("shortage", shortageLines); ok {
		s.Log.Info().Str("request", j.id).Str("route", j.route.Name).Int("rank", j.rank).Str("service", r.service).Str("target", r.target.Name).
			Str("reason", string(refused.Reason)).Dur("wait", refused.Wait).Int("omitted", omitted).Msg("no room at a target")
	}
}
