package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wasabirelay/control"
	"wasabirelay/document"
	"wasabirelay/inventory"
	"wasabirelay/problem"
)

const (
	// maxBodyBytes bounds the size of an announcement.
	maxBodyBytes = 1 << 20
	// checkInterval is the interval at which the table checks for targets that missed
	// their renewals.
	checkInterval = 250 * time.Millisecond
	// maxProposals bounds the number of concurrent proposals of leaves.
	maxProposals = 8
	// proposeTimeout limits the proposal of one leave.
	proposeTimeout = 2 * time.Second
)

// Service is the HTTP interface to targets. Exported fields must be set before use.
type Service struct {
	// Host is the name of this host.
	Host string
	// Propose commits a command.
	Propose func(ctx context.Context, c control.Command) (control.Result, error)
	// View returns the current view.
	View func() *control.View
	// Addresses returns the caller addresses of the hosts that serve. If the function is
	// nil, every host counts as serving.
	Addresses func() []string
	Clock     clockwork.Clock
	Log       zerolog.Logger

	once    sync.Once
	calls   chan func(*Table, Input)
	stopped chan struct{}
}

func (s *Service) init() {
	s.once.Do(func() {
		s.calls, s.stopped = make(chan func(*Table, Input)), make(chan struct{})
	})
}

// Register adds the handlers to mux. Requests are served while Run runs.
func (s *Service) Register(mux *http.ServeMux) {
	s.init()
	mux.HandleFunc("POST /v1/targets", s.announce)
	mux.HandleFunc("DELETE /v1/targets/{target}", s.leave)
}

// Run runs the calls and periodic checks of the expiry table until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	defer close(s.stopped)
	table := &Table{Host: s.Host}
	ticker := s.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-s.calls:
			call(table, s.input())
		case <-ticker.Chan():
			if leaves := table.Expire(s.input()); len(leaves) > 0 {
				go s.expire(ctx, leaves)
			}
		}
	}
}

func (s *Service) input() Input {
	in := Input{Now: s.Clock.Now(), View: s.View()}
	if in.View.Inventory == nil {
		v := *in.View
		v.Inventory = &inventory.Document{}
		in.View = &v
	}
	if s.Addresses != nil {
		if in.Addresses = s.Addresses(); in.Addresses == nil {
			in.Addresses = []string{}
		}
	}
	return in
}

// expire proposes the leaves. If a proposal fails, the table returns its leave again later.
func (s *Service) expire(ctx context.Context, leaves []control.Leave) {
	var g errgroup.Group
	g.SetLimit(maxProposals)
	for _, l := range leaves {
		g.Go(func() error {
			proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
			defer cancel()
			result, err := s.Propose(proposeCtx, control.Command{Leave: &l})
			switch {
			case err != nil:
				s.Log.Warn().Err(err).Str("target", l.Target).Msg("failed to remove an expired target")
			case result.Refusal == nil:
				s.Log.Info().Str("target", l.Target).Str("incarnation", l.Incarnation).Msg("target expired")
			}
			return nil
		})
	}
	_ = g.Wait() // The functions return no errors.
}

// runOnTable runs f on the goroutine that owns the table, so that the table sees the clock
// and the views in a consistent order.
func (s *Service) runOnTable(ctx context.Context, f func(*Table, Input)) error {
	done := make(chan struct{})
	select {
	case s.calls <- func(t *Table, in Input) { f(t, in); close(done) }:
		<-done
		return nil
	case <-s.stopped:
		return errors.New("this host is stopping")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) announce(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		problem.BadField("body", err.Error()).Write(w)
		return
	}
	t, refusal := Decode(text)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	t.Home = s.Host
	var in Input
	d := Decline
	if err := s.runOnTable(r.Context(), func(table *Table, n Input) { in, d = n, table.Renew(n, t) }); err != nil {
		problem.Unavailable("stopping", err.Error()).Write(w)
		return
	}
	if d == Decline {
		problem.Unavailable("not-serving", "this host does not serve at the moment; renew through another host").Write(w)
		return
	}
	if d == Propose && !s.propose(w, r, t) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(AnnounceResponse{
		Renew: document.Duration{Duration: in.renew()}, Expire: document.Duration{Duration: in.expire()}, Addresses: in.Addresses,
	})
}

func (s *Service) propose(w http.ResponseWriter, r *http.Request, t *control.Target) bool {
	result, ok := s.commit(w, r, control.Command{Announce: &control.Announce{Target: *t}})
	if !ok {
		return false
	}
	for _, n := range result.Dropped {
		s.Log.Warn().Str("target", t.Name).Uint64("snapshot", n.Number).Int("shards", n.Shards).
			Msg("snapshot left out: other targets announce it with another number of shards")
	}
	if err := s.runOnTable(r.Context(), func(table *Table, in Input) { table.Accept(in, t, result) }); err != nil {
		problem.Unavailable("stopping", err.Error()).Write(w)
		return false
	}
	return true
}

func (s *Service) leave(w http.ResponseWriter, r *http.Request) {
	l := control.Leave{
		Target: r.PathValue("target"), Incarnation: r.URL.Query().Get("incarnation"), Reason: control.Left,
	}
	if l.Incarnation == "" {
		problem.BadField("incarnation", "the incarnation that leaves is needed").Write(w)
		return
	}
	if _, ok := s.commit(w, r, control.Command{Leave: &l}); ok {
		w.WriteHeader(http.StatusNoContent)
	}
}

// commit proposes the command and writes the error or refusal, if any, to w. It reports
// whether the command was accepted.
func (s *Service) commit(w http.ResponseWriter, r *http.Request, c control.Command) (control.Result, bool) {
	result, err := s.Propose(r.Context(), c)
	if err != nil {
		d := problem.Unavailable("no-quorum", err.Error())
		d.Executed = problem.Unknown // The command may be committed after the error.
		d.Write(w)
		return result, false
	}
	f := result.Refusal
	if f == nil {
		return result, true
	}
	(&problem.Details{
		Type: "urn:wasabirelay:" + string(f.Kind), Title: "Refused", Status: refusalStatus(f.Kind), Detail: f.Detail,
		Executed: problem.None,
	}).Write(w)
	return result, false
}

func refusalStatus(k control.RefusalKind) int {
	switch k {
	case control.Absent:
		return http.StatusNotFound
	case control.Invalid:
		return http.StatusBadRequest
	default:
		return http.StatusConflict
	}
}
