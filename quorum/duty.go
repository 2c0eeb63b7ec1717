package quorum

import (
	"context"

	"wasabirelay/consensus"
	"wasabirelay/control"
)

// Leadership is a confirmed leadership of this replica.
type Leadership struct {
	Term uint64
	// Duty is the state of the duty, with the effects of all commands before the call.
	Duty control.Duty
}

// ConfirmLeadership confirms with a majority that this replica was the leader at some time after the
// call. Any other leader of a later term was elected after that time. The error is a
// *consensus.NotLeaderError or that of the context.
func (r *Replica) ConfirmLeadership(ctx context.Context, duty string) (Leadership, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := r.readRoutingState(ctx, ReadRequest{Forwarded: true}); err != nil {
		return Leadership{}, err
	}
	var l Leadership
	err := r.do(ctx, func() {
		if r.node != nil && r.role == consensus.Leader {
			l = Leadership{Term: r.term, Duty: r.state.Duties()[duty]}
		}
	})
	switch {
	case err != nil: // the control goroutine may still write l
		return Leadership{}, err
	case l.Term == 0:
		return Leadership{}, &consensus.NotLeaderError{}
	}
	return l, nil
}

// ProposeInTerm commits a command through this replica if it leads the given term. The errors are those of
// Propose.
func (r *Replica) ProposeInTerm(ctx context.Context, term uint64, c control.Command) (control.Result, error) {
	done := make(chan outcome, 1)
	posted := r.post(ctx, func() {
		if r.role != consensus.Leader || r.term != term {
			done <- outcome{err: &consensus.NotLeaderError{}}
			return
		}
		r.propose(&Proposal{Command: c}, done)
	})
	if !posted {
		return control.Result{}, &NotCommittedError{}
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return control.Result{}, &UnknownOutcomeError{ctx.Err()}
	}
}
