package quorum

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/consensus"
	"wasabirelay/control"
	"wasabirelay/peer"
)

// NotCommittedError reports that a proposal was replaced by another leader's entry. It
// did not take effect.
type NotCommittedError struct{ Index uint64 }

func (e *NotCommittedError) Error() string {
	return fmt.Sprintf("the proposal at index %d was not committed", e.Index)
}

// UnknownOutcomeError reports that a proposal may or may not take effect.
type UnknownOutcomeError struct{ Err error }

func (e *UnknownOutcomeError) Error() string {
	return "the outcome of the proposal is not known: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// waiter waits for the entry that a proposal became.
type waiter struct {
	term uint64
	done chan outcome
}

type outcome struct {
	result control.Result
	err    error
}

// Propose commits a command through this replica if it is the leader. The errors
// are *consensus.NotLeaderError and *NotCommittedError, after which the command has no
// effect, and *UnknownOutcomeError.
func (r *Replica) Propose(ctx context.Context, c control.Command) (control.Result, error) {
	done := make(chan outcome, 1)
	if !r.post(ctx, func() { r.propose(c, done) }) {
		return control.Result{}, &NotCommittedError{}
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return control.Result{}, &UnknownOutcomeError{ctx.Err()}
	}
}

func (r *Replica) propose(c control.Command, done chan outcome) {
	if r.node == nil {
		done <- outcome{err: &consensus.NotLeaderError{}}
		return
	}
	c.At = r.stamp()
	data, err := json.Marshal(c)
	if err != nil {
		done <- outcome{err: errors.Wrap(err, "encode command")}
		return
	}
	p, out, err := r.node.Propose(r.Clock.Now(), data)
	if err != nil {
		done <- outcome{err: err}
		return
	}
	r.waiters[p.Index] = waiter{p.Term, done}
	r.handle(out)
}

// stamp returns the time for a command. It never decreases.
func (r *Replica) stamp() time.Time {
	if now := r.Clock.Now().UTC(); now.After(r.at) {
		r.at = now
	}
	return r.at
}

// apply applies committed entries, answers their proposers and feeds the hosts.
func (r *Replica) apply(entries []consensus.Entry) {
	fed := make([]FeedEntry, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		r.applied = e.Index
		r.logged += len(e.Data)
		result, shared := r.applyOne(e)
		fed = append(fed, FeedEntry{Index: e.Index, Command: shared})
		r.answer(e, result)
	}
	r.feed.publish(fed)
	if len(entries) > 0 {
		r.changed()
	}
}

func (r *Replica) applyOne(e *consensus.Entry) (control.Result, *control.Command) {
	if e.Kind != consensus.Command {
		r.state.Advance(e.Index)
		return control.Result{}, nil
	}
	var c control.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		// Every replica skips the entry in the same way, so their states stay equal.
		r.Log.Error().Err(err).Uint64("index", e.Index).Msg("log entry can't be decoded")
		r.state.Advance(e.Index)
		return control.Result{Refusal: &control.Refusal{Kind: control.Invalid, Detail: err.Error()}}, nil
	}
	if c.At.After(r.at) {
		r.at = c.At
	}
	result := r.state.Apply(e.Index, c)
	if shared, ok := control.Feed(c); ok {
		return result, &shared
	}
	return result, nil
}

func (r *Replica) answer(e *consensus.Entry, result control.Result) {
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.done <- outcome{err: &NotCommittedError{e.Index}}
		return
	}
	w.done <- outcome{result: result}
}

// servePropose commits a command for another daemon. A replica that is not the
// leader forwards it once.
func (r *Replica) servePropose(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var p Proposal
	if err := peer.Decode(params, &p); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := r.Propose(ctx, p.Command)
	if err == nil {
		return result, nil
	}
	var not *consensus.NotLeaderError
	if errors.As(err, &not) && !p.Forwarded && not.Leader != "" {
		p.Forwarded = true
		var out control.Result
		return forward(ctx, r, not.Leader, MethodPropose, p, &out)
	}
	return nil, remote(err)
}

// forwardTimeout bounds the work on a request of another daemon.
const forwardTimeout = 5 * time.Second

// forward sends a request to the leader.
func forward[T any](ctx context.Context, r *Replica, leader, method string, params any, out *T) (any, error) {
	c, ok := r.Peers.Client(hostOf(leader))
	if !ok {
		return nil, &peer.RemoteError{Code: peer.CodeNotLeader, Message: "the leader " + leader + " has no address here"}
	}
	if err := c.Call(ctx, method, params, out); err != nil {
		return nil, remote(err)
	}
	return out, nil
}

// remote gives an error the code that tells the sender whether a retry is safe.
func remote(err error) error {
	var known *peer.RemoteError
	var not *consensus.NotLeaderError
	var transferring *consensus.TransferringError
	var lost *NotCommittedError
	var connect *peer.ConnectError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &not), errors.As(err, &lost), errors.As(err, &transferring), errors.As(err, &connect):
		return &peer.RemoteError{Code: peer.CodeNotLeader, Message: err.Error()}
	default:
		return &peer.RemoteError{Code: peer.CodeUnavailable, Message: err.Error()}
	}
}

// Commit commits a command through the leader, wherever it is. The errors are those
// of Propose and of a call to another daemon.
func (r *Replica) Commit(ctx context.Context, c control.Command) (control.Result, error) {
	result, err := r.Propose(ctx, c)
	var not *consensus.NotLeaderError
	if errors.As(err, &not) && not.Leader != "" {
		var out control.Result
		_, err := forward(ctx, r, not.Leader, MethodPropose, Proposal{Command: c, Forwarded: true}, &out)
		return out, err
	}
	return result, err
}
