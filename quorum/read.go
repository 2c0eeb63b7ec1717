package quorum

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/consensus"
	"wasabirelay/control"
	"wasabirelay/peer"
)

// readTimeout bounds a read. The callers of a control host give up after a second,
// so that a second try at another leader needs the rest.
const readTimeout = 800 * time.Millisecond

// readBase separates the identifiers of reads from those of lease rounds.
const readBase = 1 << 63

// reads are the linearizable reads that wait for a confirmed round.
type reads struct {
	next    uint64
	pending map[uint64]chan readOutcome
}

type readOutcome struct {
	shared control.RoutingState
	err    error
}

// ReadRequest asks for the shared state as of now.
type ReadRequest struct {
	Forwarded bool `json:"forwarded,omitempty"`
}

// Read returns the state that all accepted commands are in. The error is a
// *consensus.NotLeaderError or that of the context.
func (r *Replica) Read(ctx context.Context) (control.RoutingState, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.readAt(ctx, ReadRequest{})
}

func (r *Replica) readAt(ctx context.Context, q ReadRequest) (control.RoutingState, error) {
	done := make(chan readOutcome, 1)
	err := r.do(ctx, func() {
		if r.node == nil {
			done <- readOutcome{err: &consensus.NotLeaderError{}}
			return
		}
		if r.role != consensus.Leader {
			done <- readOutcome{err: &consensus.NotLeaderError{Leader: r.node.Status().Leader}}
			return
		}
		r.reads.start(r, done)
	})
	if err != nil {
		return control.RoutingState{}, err
	}
	select {
	case o := <-done:
		var not *consensus.NotLeaderError
		if errors.As(o.err, &not) && not.Leader != "" && !q.Forwarded {
			var out control.RoutingState
			_, err := forward(ctx, r, not.Leader, MethodRead, ReadRequest{Forwarded: true}, &out)
			return out, err
		}
		return o.shared, o.err
	case <-ctx.Done():
		return control.RoutingState{}, errors.Wrap(ctx.Err(), "read the control state")
	}
}

func (s *reads) start(r *Replica, done chan readOutcome) {
	s.next++
	id := readBase + s.next
	s.pending[id] = done
	out, err := r.node.Read(r.Clock.Now(), id)
	if err != nil {
		delete(s.pending, id)
		done <- readOutcome{err: err}
		return
	}
	r.handle(out)
}

// confirmed answers the reads whose round is confirmed and fails aborted ones.
func (s *reads) confirmed(r *Replica, reads []consensus.Read, aborted []uint64) {
	for _, read := range reads {
		if done, ok := s.pending[read.ID]; ok {
			delete(s.pending, read.ID)
			done <- readOutcome{shared: r.state.RoutingState()}
		}
	}
	for _, id := range aborted {
		if done, ok := s.pending[id]; ok {
			delete(s.pending, id)
			done <- readOutcome{err: &consensus.NotLeaderError{}}
		}
	}
}

func (r *Replica) serveRead(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q ReadRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	shared, err := r.readAt(ctx, q)
	if err != nil {
		return nil, remote(err)
	}
	return shared, nil
}
