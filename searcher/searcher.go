// Package searcher is a stand-in for a target: a searcher that announces itself
// and answers sub-requests for its shards.
package searcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/client"
	"wasabirelay/control"
	"wasabirelay/target"
)

// maxBody bounds the body of a sub-request in bytes.
const maxBody = 1 << 20

// Searcher is a stand-in searcher. Exported fields are set before Run.
type Searcher struct {
	// Target is what the searcher announces.
	Target control.Target
	// Service time of one sub-request.
	Time   time.Duration
	Client *client.Client
	Clock  clockwork.Clock
	Log    zerolog.Logger

	served atomic.Int64
}

// Run announces the searcher and renews until ctx ends, then leaves.
func (s *Searcher) Run(ctx context.Context) error {
	for {
		wait := time.Second
		reply, err := s.Client.Announce(ctx, &s.Target)
		if err != nil {
			s.Log.Warn().Err(err).Msg("announce failed")
		} else {
			wait = reply.Renew.Duration
		}
		select {
		case <-ctx.Done():
			leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			return s.Client.Leave(leave, s.Target.Name, s.Target.Incarnation)
		case <-s.Clock.After(wait):
		}
	}
}

// Handler serves sub-requests.
func (s *Searcher) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /query", s.query)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"state": s.Target.State, "served": s.served.Load()})
	})
	return mux
}

func (s *Searcher) query(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	shard, err := strconv.Atoi(r.Header.Get(target.HeaderShard))
	if err != nil {
		http.Error(w, target.HeaderShard+" is not a number", http.StatusBadRequest)
		return
	}
	number, err := strconv.ParseUint(r.Header.Get(target.HeaderSnapshot), 10, 64)
	if err != nil {
		http.Error(w, target.HeaderSnapshot+" is not a number", http.StatusBadRequest)
		return
	}
	if s.Time > 0 {
		s.Clock.Sleep(s.Time)
	}
	s.served.Add(1)
	result, _ := json.Marshal(map[string]any{"target": s.Target.Name, "bytes": len(body)})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(target.Reply{
		Request: r.Header.Get(target.HeaderRequest), Shard: shard, Snapshot: number, Result: result, End: true,
	})
}
