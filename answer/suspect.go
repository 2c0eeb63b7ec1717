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
	// maxSuspectsPerCommand is the maximum number of suspects in one command, which is also the
	// limit of the state machine.
	maxSuspectsPerCommand = 64
	// maxQueuedSuspects is the maximum number of suspects that wait to be proposed.
	maxQueuedSuspects = 4096
	// healthTimeout is the timeout of the health check after a reset. When a caller resends after
	// 100 ms, the suspicion must be in the view of the next host. If a target responds only
	// after the timeout, the next answer clears its suspects.
	healthTimeout = 100 * time.Millisecond
)

// reportQueue holds the suspects that wait to be proposed. Only one command is proposed at a
// time, so that a withdrawal can't be committed before the report that it withdraws. Suspects
// that arrive in the meantime share the next command.
type reportQueue struct {
	// mu is also held while package poison decides on suspects, so that they are queued in the
	// order of the decisions.
	mu      sync.Mutex
	queue   []control.SuspectRequest
	sending bool
}

// reportSuspects queues the suspects that decide returns. They are proposed in the background.
func (s *Service) reportSuspects(decide func() []control.SuspectRequest) {
	for _, suspect := range s.queueSuspects(decide) {
		if !suspect.Cleared {
			s.Log.Warn().Str("fingerprint", suspect.Fingerprint).Str("target", suspect.Target).
				Int("shard", suspect.Shard).Bool("early", suspect.Early).Msg("target died with this request in flight")
		}
	}
}

func (s *Service) queueSuspects(decide func() []control.SuspectRequest) []control.SuspectRequest {
	r := &s.reportQueue
	r.mu.Lock()
	defer r.mu.Unlock()
	suspects := decide()
	if len(suspects) == 0 {
		return nil
	}
	if len(r.queue)+len(suspects) > maxQueuedSuspects {
		s.Log.Warn().Int("suspects", len(suspects)).Msg("failed to report suspects: the queue is full")
		return suspects
	}
	r.queue = append(r.queue, suspects...)
	if !r.sending {
		r.sending = true
		s.work.Go(s.sendReports)
	}
	return suspects
}

// sendReports proposes the queued suspects in order.
func (s *Service) sendReports() {
	for batch := s.reportQueue.nextBatch(); len(batch) > 0; batch = s.reportQueue.nextBatch() {
		c := control.Command{Suspects: batch}
		if len(batch) == 1 {
			c = control.Command{Suspect: &batch[0]}
		}
		ctx, cancel := clockwork.WithTimeout(context.Background(), s.Clock, backgroundTimeout)
		if _, err := s.Propose(ctx, c); err != nil {
			s.Log.Warn().Err(err).Int("suspects", len(batch)).Msg("failed to report suspects")
		}
		cancel()
	}
}

// nextBatch removes and returns the suspects of the next command. If there are none, it marks
// the queue as not sending, and sendReports ends.
func (r *reportQueue) nextBatch() []control.SuspectRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.queue), maxSuspectsPerCommand)
	batch := r.queue[:n:n]
	r.queue = r.queue[n:]
	if n == 0 {
		r.queue, r.sending = nil, false
	}
	return batch
}

// scheduleDueReports schedules a report of the suspects that are not cleared within the grace
// period. Drain does not wait for it.
func (s *Service) scheduleDueReports() {
	if s.Poison.HasPending() {
		s.Clock.AfterFunc(poison.GracePeriod, func() {
			s.reportSuspects(func() []control.SuspectRequest { return s.Poison.DueReports(s.Clock.Now()) })
		})
	}
}

// checkHealth checks whether a target that reset a connection has died.
func (s *Service) checkHealth(t *control.Target, hold time.Duration) {
	s.goBackground(func(ctx context.Context) {
		ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, healthTimeout)
		defer cancel()
		alive := s.Health(ctx, t) == nil
		s.reportSuspects(func() []control.SuspectRequest {
			return s.Poison.HealthChecked(s.Clock.Now(), t.Name, t.Incarnation, alive, hold)
		})
		s.scheduleDueReports()
	})
}

// reportSuccess reports that the target has answered, which clears the request as a suspect.
func (f *flight) reportSuccess() {
	seen := false
	if v, err := f.s.View(); err == nil {
		_, seen = v.Poisoned[f.fingerprint]
		if shards, ok := v.Suspected[f.fingerprint]; ok && !seen {
			_, seen = shards[f.sub.Shard]
		}
	}
	f.s.reportSuspects(func() []control.SuspectRequest {
		return f.s.Poison.Succeeded(f.s.Clock.Now(), f.poisonFlight(), seen)
	})
}

// suspectedEarly reports whether a target died with the request in flight and the suspicion is
// neither confirmed nor cleared, on this host or in the view. A shard that has recently answered
// the request of this host does not count: such a request is sent often and is therefore in
// flight at most deaths.
func (s *Service) suspectedEarly(v *control.View, fingerprint string) bool {
	now := s.Clock.Now()
	for shard := range v.Suspected[fingerprint] {
		if !s.Poison.AnsweredRecently(now, fingerprint, shard) {
			return true
		}
	}
	return s.Poison.SuspectedEarly(now, fingerprint)
}

// shardAtRisk reports whether the request is suspected and the shard has at most one usable
// replica that is not running the request. That replica gets no hedge or retry while the request
// is suspected, and no first sub-request while it is suspected early. After that, first
// sub-requests are permitted, because only an answer can clear a longer suspicion.
func (r *queryRun) shardAtRisk(v *control.View, replicas []*control.Target, shard int, kind Kind) bool {
	early := r.s.suspectedEarly(v, r.q.Fingerprint)
	if !early && (kind == First || !r.s.Poison.Suspected(r.s.Clock.Now(), r.q.Fingerprint)) {
		return false
	}
	dead := map[control.Death]bool{}
	for _, d := range v.Suspected[r.q.Fingerprint][shard] {
		dead[d] = true
	}
	remaining := 0
	for _, t := range replicas {
		running := r.round != nil && r.round.isLiveAt(shard, t.Name)
		died := dead[control.Death{Target: t.Name, Incarnation: t.Incarnation}] || r.s.Poison.Died(t.Name, t.Incarnation)
		if !running && !died && !r.failed[t.Name] && (!r.s.behavesCold(t) || r.s.Granted(v, t)) {
			remaining++
		}
	}
	return remaining <= 1
}

// anyShardAtRisk reports whether the request is suspected early and would be sent to the last
// replica of a shard. The query is then refused before any shard gets it.
func (r *queryRun) anyShardAtRisk(v *control.View, best *snapshot) bool {
	if !r.s.suspectedEarly(v, r.q.Fingerprint) {
		return false
	}
	for shard, replicas := range best.shards {
		if len(replicas) > 0 && r.shardAtRisk(v, replicas, shard, First) {
			return true
		}
	}
	return false
}
