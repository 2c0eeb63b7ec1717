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

// NotCommittedError reports that a proposal did not take effect: an entry of another leader
// replaced it, or the context was done before it was proposed.
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

// waiter waits for the log entry of a proposal to be applied.
type waiter struct {
	term uint64
	done chan outcome
}

type outcome struct {
	result control.Result
	err    error
}

// Propose commits a command through this replica if it is the leader. After a
// *consensus.NotLeaderError or a *NotCommittedError the command has no effect; after an
// *UnknownOutcomeError it may have an effect.
func (r *Replica) Propose(ctx context.Context, c control.Command) (control.Result, error) {
	return r.proposeAfter(ctx, Proposal{Command: c})
}

// proposeAfter is Propose for a command that may depend on a base. An *OvertakenError is returned if
// it does and is outdated; the command has no effect then.
func (r *Replica) proposeAfter(ctx context.Context, p Proposal) (control.Result, error) {
	done := make(chan outcome, 1)
	if !r.post(ctx, func() { r.propose(&p, done) }) {
		return control.Result{}, &NotCommittedError{}
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return control.Result{}, &UnknownOutcomeError{ctx.Err()}
	}
}

func (r *Replica) propose(proposal *Proposal, done chan outcome) {
	if r.node == nil {
		done <- outcome{err: &consensus.NotLeaderError{}}
		return
	}
	if err := r.checkBase(proposal); err != nil {
		done <- outcome{err: err}
		return
	}
	c := proposal.Command
	c.At = r.nextTimestamp()
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
	r.fence.record(p.Index, &c)
	r.handle(out)
}

// nextTimestamp returns the timestamp of a new command. Timestamps never decrease.
func (r *Replica) nextTimestamp() time.Time {
	if now := r.Clock.Now().UTC(); now.After(r.lastTimestamp) {
		r.lastTimestamp = now
	}
	return r.lastTimestamp
}

// apply applies committed entries, notifies their proposers and publishes them to the feed.
func (r *Replica) apply(entries []consensus.Entry) {
	feedEntries := make([]FeedEntry, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		r.applied = e.Index
		r.logBytes += len(e.Data)
		result, shared := r.applyOne(e)
		feedEntries = append(feedEntries, FeedEntry{Index: e.Index, Command: shared})
		r.notifyProposer(e, result)
	}
	r.feed.publish(feedEntries)
	if len(entries) > 0 {
		r.notifyChanged()
	}
}

// applyOne applies one entry. It also returns the command for entry hosts, or nil if they
// do not need it.
func (r *Replica) applyOne(e *consensus.Entry) (control.Result, *control.Command) {
	if e.Kind != consensus.Command {
		r.state.Advance(e.Index)
		return control.Result{}, nil
	}
	var c control.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		// All replicas skip this entry, so their states stay equal.
		r.Log.Error().Err(err).Uint64("index", e.Index).Msg("failed to decode a log entry; skipping it")
		r.state.Advance(e.Index)
		return control.Result{Refusal: &control.Refusal{Kind: control.Invalid, Detail: err.Error()}}, nil
	}
	if c.At.After(r.lastTimestamp) {
		r.lastTimestamp = c.At
	}
	result := r.state.Apply(e.Index, c)
	r.fence.record(e.Index, &c)
	if shared, ok := control.Feed(c); ok {
		return result, &shared
	}
	return result, nil
}

func (r *Replica) notifyProposer(e *consensus.Entry, result control.Result) {
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

// servePropose commits a command for another host. A replica that is not the leader
// forwards the command to the leader, unless it has already been forwarded.
func (r *Replica) servePropose(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var p Proposal
	if err := peer.Decode(params, &p); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := r.proposeAfter(ctx, p)
	if err == nil {
		return result, nil
	}
	var notLeader *consensus.NotLeaderError
	if errors.As(err, &notLeader) && !p.Forwarded && notLeader.Leader != "" {
		p.Forwarded = true
		var out control.Result
		return forward(ctx, r, notLeader.Leader, MethodPropose, p, &out)
	}
	return nil, toRemoteError(err)
}

// forwardTimeout bounds the processing of a request from another host.
const forwardTimeout = 5 * time.Second

// forward sends a request to the leader and returns its reply in out.
func forward[T any](ctx context.Context, r *Replica, leader, method string, params any, out *T) (any, error) {
	c, ok := r.Peers.Client(hostOf(leader))
	if !ok {
		return nil, &peer.RemoteError{Code: peer.CodeNotLeader, Message: "the leader " + leader + " has no address here"}
	}
	if err := c.Call(ctx, method, params, out); err != nil {
		return nil, toRemoteError(err)
	}
	return out, nil
}

// toRemoteError adds a code to an error. The code tells the sender whether a retry is safe.
func toRemoteError(err error) error {
	var remote *peer.RemoteError
	var notLeader *consensus.NotLeaderError
	var transferring *consensus.TransferringError
	var notCommitted *NotCommittedError
	var connect *peer.ConnectError
	var overtaken *OvertakenError
	switch {
	case errors.As(err, &remote):
		return remote
	case errors.As(err, &notLeader), errors.As(err, &notCommitted), errors.As(err, &transferring), errors.As(err, &connect), errors.As(err, &overtaken):
		return &peer.RemoteError{Code: peer.CodeNotLeader, Message: err.Error()}
	default:
		return &peer.RemoteError{Code: peer.CodeUnavailable, Message: err.Error()}
	}
}

// Commit commits a command through the leader, which may be another replica. The errors
// are those of Propose and of a call to another host.
func (r *Replica) Commit(ctx context.Context, c control.Command) (control.Result, error) {
	return r.commit(ctx, Proposal{Command: c})
}

// CommitAfter is Commit for an order without a version. It has no effect, and the call fails, if an
// order on the same subject has entered the log after the base, which is a ReadResponse.Index.
func (r *Replica) CommitAfter(ctx context.Context, c control.Command, base uint64) (control.Result, error) {
	return r.commit(ctx, Proposal{Command: c, Base: &base})
}

func (r *Replica) commit(ctx context.Context, p Proposal) (control.Result, error) {
	result, err := r.proposeAfter(ctx, p)
	var notLeader *consensus.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" {
		p.Forwarded = true
		var out control.Result
		_, err := forward(ctx, r, notLeader.Leader, MethodPropose, p, &out)
		return out, err
	}
	return result, err
}
