package answer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"wasabirelay/control"
	"wasabirelay/poison"
)

const (
	// maxReports is the number of suspects in one command; the state machine accepts
	// as many.
	maxReports = 64
	// maxQueued bounds the suspects that wait to be proposed.
	maxQueued = 4096
	// healthTimeout bounds the health check after a reset. A caller that resends after
	// 100 ms must find the suspicion in the view of the next host. A target that lives
	// but answers later is cleared by the next answer.
	healthTimeout = 100 * time.Millisecond
)

// reports holds the suspects that wait to be proposed. One command is on its way at
// a time, so that a withdrawal is not committed before the report that it
// withdraws, and reports that meet share a command.
type reports struct {
	mu      sync.Mutex
	queue   []control.SuspectRequest
	sending bool
}

// report proposes suspects without making the caller wait.
func (s *Service) report(suspects []control.SuspectRequest) {
	if len(suspects) == 0 {
		return
	}
	for _, suspect := range suspects {
		if !suspect.Cleared {
			s.Log.Warn().Str("fingerprint", suspect.Fingerprint).Str("target", suspect.Target).
				Int("shard", suspect.Shard).Bool("early", suspect.Early).Msg("target died with this request in flight")
		}
	}
	r := &s.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue)+len(suspects) > maxQueued {
		s.Log.Warn().Int("suspects", len(suspects)).Msg("suspects not reported: too many wait")
		return
	}
	r.queue = append(r.queue, suspects...)
	if !r.sending {
		r.sending = true
		s.work.Go(s.sendReports)
	}
}

// sendReports proposes what waits, in order.
func (s *Service) sendReports() {
	for batch := s.reports.next(); len(batch) > 0; batch = s.reports.next() {
		c := control.Command{Suspects: batch}
		if len(batch) == 1 {
			c = control.Command{Suspect: &batch[0]}
		}
		ctx, cancel := clockwork.WithTimeout(context.Background(), s.Clock, background)
		if _, err := s.Propose(ctx, c); err != nil {
			s.Log.Warn().Err(err).Int("suspects", len(batch)).Msg("suspects not reported")
		}
		cancel()
	}
}

// next returns the suspects of the next command. None means that the sender ends.
func (r *reports) next() []control.SuspectRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.queue), maxReports)
	batch := r.queue[:n:n]
	r.queue = r.queue[n:]
	if n == 0 {
		r.queue, r.sending = nil, false
	}
	return batch
}

// reportDue reports the suspects that are not cleared within the grace period.
// Drain does not wait for it.
func (s *Service) reportDue() {
	if s.Poison.HasPending() {
		s.Clock.AfterFunc(poison.GracePeriod, func() { s.report(s.Poison.DueReports(s.Clock.Now())) })
	}
}

// checkHealth finds out whether a target that reset a connection has died.
func (s *Service) checkHealth(t *control.Target, hold time.Duration) {
	s.goBackground(func(ctx context.Context) {
		ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, healthTimeout)
		defer cancel()
		alive := s.Health(ctx, t) == nil
		s.report(s.Poison.HealthChecked(s.Clock.Now(), t.Name, t.Incarnation, alive, hold))
		s.reportDue()
	})
}

// succeeded passes on that a target has answered, which clears the request.
func (f *flight) succeeded() {
	seen := false
	if v, err := f.s.View(); err == nil {
		_, seen = v.Poisoned[f.fingerprint]
		if shards, ok := v.Suspected[f.fingerprint]; ok && !seen {
			_, seen = shards[f.sub.Shard]
		}
	}
	f.s.report(f.s.Poison.Succeeded(f.s.Clock.Now(), f.tracked(), seen))
}

// suspectedEarly reports whether a death with the request in flight is neither
// confirmed nor cleared, on this host or in the view. A shard that has answered the
// request to this host lately is not suspected: the request is sent often.
func (s *Service) suspectedEarly(v *control.View, fingerprint string) bool {
	now := s.Clock.Now()
	for shard := range v.Suspected[fingerprint] {
		if !s.Poison.AnsweredRecently(now, fingerprint, shard) {
			return true
		}
	}
	return s.Poison.SuspectedEarly(now, fingerprint)
}

// lastForSuspect reports whether the request has been seen at a death and the
// shard has at most one replica that is usable and does not run the request now.
// That replica is not put at risk: by a hedge or retry while the request is
// suspected, by a first sub-request while the suspicion is early. A suspicion that
// lasts longer must be cleared by an answer.
func (r *run) lastForSuspect(v *control.View, replicas []*control.Target, shard int, kind Kind) bool {
	early := r.s.suspectedEarly(v, r.q.Fingerprint)
	if !early && (kind == First || !r.s.Poison.Suspected(r.s.Clock.Now(), r.q.Fingerprint)) {
		return false
	}
	dead := map[control.Death]bool{}
	for _, d := range v.Suspected[r.q.Fingerprint][shard] {
		dead[d] = true
	}
	safe := 0
	for _, t := range replicas {
		running := r.round != nil && r.round.runs(shard, t.Name)
		gone := dead[control.Death{Target: t.Name, Incarnation: t.Incarnation}] || r.s.Poison.Died(t.Name, t.Incarnation)
		if !running && !gone && !r.failed[t.Name] && (!r.s.cold(t) || r.s.Granted(v, t)) {
			safe++
		}
	}
	return safe <= 1
}

// withheld reports whether the request is suspected and would be sent to the last
// replica of a shard. It is refused then as a whole, before another shard gets it.
func (r *run) withheld(v *control.View, best *snapshot) bool {
	if !r.s.suspectedEarly(v, r.q.Fingerprint) {
		return false
	}
	for shard, replicas := range best.shards {
		if len(replicas) > 0 && r.lastForSuspect(v, replicas, shard, First) {
			return true
		}
	}
	return false
}
