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

// readTimeout bounds a read. Callers of a control host time out after 1 s; the remaining
// time is for a second attempt at another leader.
const readTimeout = 800 * time.Millisecond

// readIDBase separates the IDs of reads from the IDs of lease rounds.
const readIDBase = 1 << 63

// reads holds the linearizable reads that wait for their read round to be confirmed.
type reads struct {
	lastID  uint64
	pending map[uint64]chan readOutcome
}

type readOutcome struct {
	response ReadResponse
	err      error
}

// ReadRequest asks for the current routing state.
type ReadRequest struct {
	Forwarded bool `json:"forwarded,omitempty"`
}

// ReadResponse is the response to ReadRequest.
type ReadResponse struct {
	control.RoutingState
	// Index is the log index that the state includes; 0 if the leader is of an earlier version,
	// which does not say it.
	Index uint64 `json:"index,omitempty"`
}

// Read returns the routing state with the effects of all commands that were accepted before
// the call. The error is a *consensus.NotLeaderError, that of the context or that of a call to
// the leader.
func (r *Replica) Read(ctx context.Context) (ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.readRoutingState(ctx, ReadRequest{})
}

func (r *Replica) readRoutingState(ctx context.Context, q ReadRequest) (ReadResponse, error) {
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
		return ReadResponse{}, err
	}
	select {
	case o := <-done:
		var notLeader *consensus.NotLeaderError
		if errors.As(o.err, &notLeader) && notLeader.Leader != "" && !q.Forwarded {
			var out ReadResponse
			_, err := forward(ctx, r, notLeader.Leader, MethodRead, ReadRequest{Forwarded: true}, &out)
			return out, err
		}
		return o.response, o.err
	case <-ctx.Done():
		return ReadResponse{}, errors.Wrap(ctx.Err(), "read the control state")
	}
}

// start starts the read round of a read.
func (s *reads) start(r *Replica, done chan readOutcome) {
	s.lastID++
	id := readIDBase + s.lastID
	s.pending[id] = done
	out, err := r.node.Read(r.Clock.Now(), id)
	if err != nil {
		delete(s.pending, id)
		done <- readOutcome{err: err}
		return
	}
	r.handle(out)
}

// confirmed completes the reads of confirmed rounds and fails those of aborted rounds.
func (s *reads) confirmed(r *Replica, reads []consensus.Read, aborted []uint64) {
	for _, read := range reads {
		if done, ok := s.pending[read.ID]; ok {
			delete(s.pending, read.ID)
			done <- readOutcome{response: ReadResponse{RoutingState: r.state.RoutingState(), Index: r.applied}}
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
	response, err := r.readRoutingState(ctx, q)
	if err != nil {
		return nil, toRemoteError(err)
	}
	return response, nil
}
