package searcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"wasabirelay/control"
	"wasabirelay/problem"
	"wasabirelay/target"
)

const (
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 1 << 20
	// crashExitCode is the exit code of a searcher that was crashed by a query.
	crashExitCode = 3
)

// subRequest is a decoded sub-request.
type subRequest struct {
	identity
	snapshot uint64
	deadline time.Time // zero if there is none
	query    []byte
	cancel   context.CancelFunc
}

// Health is the response to GET /health.
type Health struct {
	State   control.TargetState `json:"state"`
	Served  int                 `json:"served"`
	Running int                 `json:"running"`
	Waiting int                 `json:"waiting"`
}

func (s *Searcher) postQuery(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequest, r.Header.Get(target.HeaderRequest))
	sub, bad := s.decode(w, r)
	if bad != nil {
		bad.Write(w)
		return
	}
	if reason := s.admit(sub); reason != "" {
		s.refuse(w, reason, "not run: "+reason)
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	s.track(sub, cancel)
	if reason := s.acquireSlot(ctx, r.Context().Done(), sub); reason != "" {
		s.release(sub, false)
		s.refuse(w, reason, "not run: "+reason)
		return
	}
	s.run(ctx, w, sub)
}

func (s *Searcher) decode(w http.ResponseWriter, r *http.Request) (*subRequest, *problem.Details) {
	sub := &subRequest{identity: identity{request: r.Header.Get(target.HeaderRequest)}}
	if sub.request == "" {
		return nil, problem.BadField(target.HeaderRequest, "the identity of the request is needed")
	}
	var err error
	if sub.shard, err = strconv.Atoi(r.Header.Get(target.HeaderShard)); err != nil {
		return nil, problem.BadField(target.HeaderShard, "a whole number is needed")
	}
	if sub.snapshot, err = strconv.ParseUint(r.Header.Get(target.HeaderSnapshot), 10, 64); err != nil {
		return nil, problem.BadField(target.HeaderSnapshot, "a whole number is needed")
	}
	if text := r.Header.Get(target.HeaderTimeout); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return nil, problem.BadField(target.HeaderTimeout, "a number of milliseconds is needed")
		}
		sub.deadline = s.Clock.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if sub.query, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		return nil, problem.BadField("body", err.Error())
	}
	return sub, nil
}

// admit counts a sub-request and returns the reason for refusing it, or "" if it is admitted.
func (s *Searcher) admit(sub *subRequest) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.counts.recordReceived(now)
	s.updateWarmup()
	switch {
	case s.current.State == control.Draining:
		return target.ReasonDraining
	case !s.holds(sub):
		return target.ReasonSnapshot
	case s.cold && s.admitted >= s.Target.ColdLimit:
		return target.ReasonCold
	case s.expired(sub), s.QueueLimit > 0 && s.waiting >= s.QueueLimit && len(s.slots) == cap(s.slots):
		return target.ReasonShed
	}
	s.admitted++
	if s.cold {
		s.counts.MaxColdAdmitted = max(s.counts.MaxColdAdmitted, s.admitted)
	}
	return ""
}

// holds reports whether the searcher has the shard in the snapshot. The caller
// must hold mu.
func (s *Searcher) holds(sub *subRequest) bool {
	has := slices.ContainsFunc(s.current.Snapshots, func(n control.Snapshot) bool { return n.Number == sub.snapshot })
	return has && slices.Contains(s.current.Shards, sub.shard)
}

func (s *Searcher) expired(sub *subRequest) bool {
	return !sub.deadline.IsZero() && !s.Clock.Now().Before(sub.deadline)
}

// track registers the sub-request for POST /cancel. If several have the same
// identity, only the last can be cancelled.
func (s *Searcher) track(sub *subRequest, cancel context.CancelFunc) {
	s.mu.Lock()
	sub.cancel = cancel
	s.active[sub.identity] = sub
	s.mu.Unlock()
}

// acquireSlot waits for a slot and returns the reason for not running the sub-request, or "".
// It stops waiting if the caller disconnects; a run that has started continues.
func (s *Searcher) acquireSlot(ctx context.Context, callerGone <-chan struct{}, sub *subRequest) string {
	if s.slots == nil {
		return ""
	}
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	var deadline <-chan time.Time
	if !sub.deadline.IsZero() {
		deadline = s.Clock.After(sub.deadline.Sub(s.Clock.Now()))
	}
	select {
	case s.slots <- struct{}{}:
	case <-deadline:
		return target.ReasonShed
	case <-ctx.Done():
		return target.ReasonShed
	case <-callerGone:
		return target.ReasonShed
	}
	if s.expired(sub) || ctx.Err() != nil {
		<-s.slots
		return target.ReasonShed
	}
	return ""
}

// release ends the admission of a sub-request.
func (s *Searcher) release(sub *subRequest, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
	if s.active[sub.identity] == sub {
		delete(s.active, sub.identity)
	}
	if served {
		s.counts.Served++
		s.servedCold++
		s.updateWarmup()
	}
}

func (s *Searcher) run(ctx context.Context, w http.ResponseWriter, sub *subRequest) {
	s.mu.Lock()
	s.counts.recordRun(sub.identity)
	s.counts.Running++
	f := s.faults
	work, fail := s.ServiceTime.Sample(s.Rand), s.Rand.Float64() < f.FailShare
	s.mu.Unlock()
	if f.Crash != "" && strings.Contains(string(sub.query), f.Crash) {
		s.Log.Error().Str("request", sub.request).Msg("a query contains the crash text; ending the process")
		s.Exit(crashExitCode)
	}
	if f.SlowFactor > 0 {
		work = time.Duration(float64(work) * f.SlowFactor)
	}
	finished := s.simulateWork(ctx, work)
	s.mu.Lock()
	s.counts.Running--
	if !finished {
		s.counts.Cancelled++
	}
	s.mu.Unlock()
	if s.slots != nil {
		<-s.slots
	}
	s.release(sub, finished && !fail)
	switch {
	case !finished:
		http.Error(w, "cancelled while it ran", http.StatusConflict)
	case fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		s.reply(w, sub, f)
	}
}

// simulateWork waits for the service time and reports whether the work was finished.
func (s *Searcher) simulateWork(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-s.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// reply sends the reply and applies the injected faults to it.
func (s *Searcher) reply(w http.ResponseWriter, sub *subRequest, f Faults) {
	if f.ReplyDelay.Duration > 0 {
		s.Clock.Sleep(f.ReplyDelay.Duration)
	}
	result, _ := json.Marshal(map[string]any{"target": s.Target.Name, "bytes": len(sub.query), "snapshot": sub.snapshot}) // Can't fail.
	reply := target.Reply{Request: sub.request, Shard: sub.shard, Snapshot: sub.snapshot, Result: result, End: true}
	s.mu.Lock()
	correct := reply
	if s.Rand.Float64() < f.WrongIdentityShare {
		reply.Request, reply.Shard, reply.Snapshot = s.previous.Request, s.previous.Shard, s.previous.Snapshot
		if reply.Request == "" || reply.Request == sub.request {
			reply.Request = "crossed-" + sub.request
		}
	}
	s.previous = correct
	truncate, duplicate := s.Rand.Float64() < f.TruncateShare, s.Rand.Float64() < f.DuplicateShare
	s.mu.Unlock()
	text, _ := json.Marshal(reply) // Can't fail: Result is valid JSON.
	switch {
	case truncate:
		s.sendTruncated(w, text)
	case duplicate:
		s.sendDuplicate(w, text)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	}
}

// sendTruncated sends half of the body and closes the connection.
func (s *Searcher) sendTruncated(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendDuplicate sends the complete response twice on the connection.
func (s *Searcher) sendDuplicate(w http.ResponseWriter, text []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	_, _ = io.WriteString(conn, response+response)
}

func (s *Searcher) postCancel(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		problem.BadField("body", err.Error()).Write(w)
		return
	}
	var c target.Cancel
	if bad := target.DecodeStrict("cancel", text, &c); bad != nil {
		bad.Write(w)
		return
	}
	s.mu.Lock()
	if sub := s.active[identity{c.Request, c.Shard}]; sub != nil {
		sub.cancel()
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Searcher) getHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.Clock.Now()
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) >= s.faults.HealthLag.Duration {
		s.reportedAt = now
		s.healthReport = Health{
			State: s.current.State, Served: s.counts.Served, Running: s.counts.Running, Waiting: s.waiting,
		}
	}
	report := s.healthReport
	if s.faults.Health != "" {
		report.State = s.faults.Health
	}
	s.mu.Unlock()
	writeJSON(w, report)
}
