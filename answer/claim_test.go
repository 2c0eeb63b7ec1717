package answer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// proposedFinishes returns the outcomes that were proposed for a key.
func (c *cluster) proposedFinishes(key string) []control.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []control.Outcome
	for _, cmd := range c.commands {
		if cmd.Finish != nil && cmd.Finish.Key == key {
			out = append(out, cmd.Finish.Outcome)
		}
	}
	return out
}

// Guards against a non-idempotent request that runs twice (promise 8): after a byte may have
// been sent, no retry, hedge or restarted round sends it again. Before that, the request is
// retried on another replica.
func TestNotIdempotentRunsAtMostOnce(t *testing.T) {
	for _, tc := range []struct {
		outcome Outcome
		sent    bool
		want    []string
		finish  control.Outcome
	}{
		{Reset, true, []string{"a"}, control.OutcomeUnknown},
		{BadReply, true, []string{"a"}, control.OutcomeUnknown},
		{Shed, true, []string{"a"}, control.OutcomeUnknown},
		{SnapshotGone, true, []string{"a"}, control.OutcomeUnknown},
		{ConnectFailed, false, []string{"a", "b"}, control.OutcomeRan},
	} {
		t.Run(outcomeNames[tc.outcome], func(t *testing.T) {
			is := is.New(t)
			c := newCluster(newTarget("a", 0, 1, 8, 9), newTarget("b", 0, 1, 8, 9))
			c.behaviours["a"] = failWith(tc.outcome, tc.sent)
			_, _ = c.Answer(t.Context(), c.nonIdempotentQuery("k"))
			c.waitDrained(t)
			is.Equal(c.sentTargets(), tc.want)
			is.Equal(c.proposedFinishes("k"), []control.Outcome{tc.finish})
		})
	}
	r, now := newRound(1, false), time.Now()
	r.started(r.start().dispatches[0].attempt, newTarget("a", 0, 1, 9), now)
	is.New(t).Equal(len(r.dueHedges(now.Add(time.Hour)).dispatches), 0) // no hedge
}

// takenResult returns the result of a claim whose key another claim holds.
func takenResult(holder string, o control.Outcome) control.Result {
	return control.Result{Holder: holder, Outcome: o, Refusal: &control.Refusal{Kind: control.Taken}}
}

// Guards against a claim result that lets a request run twice (promise 8) or reports the wrong
// execution state (promise 7).
func TestClaimResults(t *testing.T) {
	answer := &Answer{Request: "r1", Service: desk}
	for _, tc := range []struct {
		name     string
		result   control.Result
		err      error
		fetched  *Answer
		fetchErr error
		status   int
		executed problem.Executed
	}{
		{name: "response lost", err: errors.New("timeout"), status: 503, executed: problem.Unknown},
		{name: "refused before it was proposed", err: problem.Unavailable("survivor", ""), status: 503, executed: problem.None},
		{name: "different content", result: control.Result{Refusal: &control.Refusal{Kind: control.Conflict}}, status: 422, executed: problem.None},
		{name: "holder has the answer", result: takenResult("h2", control.OutcomeRan), fetched: answer, status: 200},
		{name: "holder no longer has the answer", result: takenResult("h2", control.OutcomeRan), status: 409, executed: problem.Ran},
		{name: "holder left, request finished", result: takenResult("h2", control.OutcomeRan), fetchErr: errors.New("no route"), status: 409, executed: problem.Ran},
		{name: "holder left, request pending", result: takenResult("h2", control.OutcomePending), fetchErr: errors.New("no route"), status: 409, executed: problem.Unknown},
		{name: "first request was not run", result: takenResult("h2", control.OutcomeNotRun), status: 409, executed: problem.None},
		{name: "this host restarted", result: takenResult("h1", control.OutcomePending), status: 409, executed: problem.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(newTarget("a", 0, 1, 9))
			c.Propose = func(context.Context, control.Command) (control.Result, error) { return tc.result, tc.err }
			c.Fetch = func(_ context.Context, host, key string) (*Answer, error) {
				is.Equal(host+key, "h2k")
				return tc.fetched, tc.fetchErr
			}
			a, err := c.Answer(t.Context(), c.nonIdempotentQuery("k"))
			is.Equal(len(c.sentTargets()), 0) // no request runs without the first claim
			if tc.status == http.StatusOK {
				is.NoErr(err)
				is.Equal(a, tc.fetched)
				return
			}
			d := refused(t, a, err)
			is.Equal(d.Status, tc.status)
			is.Equal(d.Executed, tc.executed)
		})
	}
}

// Guards against a sub-request that is sent before the claim is committed, and against a
// mismatch between the claim results of the state machine and their interpretation. The first
// host runs the request, and a resend through another host gets the first answer.
func TestClaimsOfTwoHosts(t *testing.T) {
	is := is.New(t)
	h1, h2 := newCluster(newTarget("a", 0, 1, 9)), newCluster(newTarget("a", 0, 1, 9))
	var log control.State
	index := uint64(0)
	h1.Propose = func(_ context.Context, cmd control.Command) (control.Result, error) {
		h1.mu.Lock()
		defer h1.mu.Unlock()
		if index++; index == 1 {
			is.Equal(len(h1.sentTo), 0) // no sub-request is sent before the claim
		}
		return log.Apply(index, cmd), nil
	}
	h2.Host, h2.Propose = "h2", h1.Propose
	h2.Fetch = func(ctx context.Context, _, key string) (*Answer, error) { return h1.StoredAnswer(ctx, key), nil }
	first, err := h1.Answer(t.Context(), h1.nonIdempotentQuery("k"))
	is.NoErr(err)
	second, err := h2.Answer(t.Context(), h2.nonIdempotentQuery("k"))
	is.NoErr(err)
	is.Equal(second, first)
	is.Equal(len(h1.sentTargets())+len(h2.sentTargets()), 1)
	other := h2.nonIdempotentQuery("k")
	other.Fingerprint = "other"
	a, err := h2.Answer(t.Context(), other)
	is.Equal(refused(t, a, err).Status, http.StatusUnprocessableEntity)
	h1.waitDrained(t)
	restarted := newCluster(newTarget("a", 0, 1, 9))
	restarted.Propose = h1.Propose
	a, err = restarted.Answer(t.Context(), restarted.nonIdempotentQuery("k"))
	is.Equal(refused(t, a, err).Executed, problem.Ran)
}

// Guards against a second execution (promise 8) when two faults coincide: the caller disconnects
// while a shard is slow, and resends while the first request is still running.
func TestResendWhileRunning(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9))
	open := make(chan struct{})
	c.behaviours["a"] = afterSignal(open, replyCorrectly)
	ctx, disconnect := context.WithCancel(t.Context())
	first := c.answerAsync(ctx, c.nonIdempotentQuery("k"))
	<-c.arrived
	disconnect()
	second := c.answerAsync(t.Context(), c.nonIdempotentQuery("k"))
	other := c.nonIdempotentQuery("k")
	other.Fingerprint = "other"
	third := c.answerAsync(t.Context(), other)
	c.waitForTimers(t, 4) // The deadlines of three queries and of the one sub-request.
	close(open)
	one, two, three := <-first, <-second, <-third
	is.NoErr(one.err)
	is.NoErr(two.err)
	is.Equal(two.answer, one.answer)
	is.Equal(refused(t, three.answer, three.err).Status, http.StatusUnprocessableEntity)
	is.Equal(c.sentTargets(), []string{"a"})
	is.Equal(c.StoredAnswer(t.Context(), "k"), one.answer)
	is.Equal(c.StoredAnswer(t.Context(), "unknown"), nil)
}

// Guards against work that begins after the caller's deadline because the claim took too long.
// Nothing is sent, and the claim gets the outcome none.
func TestClaimAfterDeadline(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9))
	record := c.Propose
	c.Propose = func(ctx context.Context, cmd control.Command) (control.Result, error) {
		if cmd.Claim != nil {
			c.clock.Advance(time.Second)
			<-ctx.Done()
		}
		return record(ctx, cmd)
	}
	a, err := c.Answer(t.Context(), c.nonIdempotentQuery("k"))
	is.Equal(refused(t, a, err).Executed, problem.None)
	c.waitDrained(t)
	is.Equal(len(c.sentTargets()), 0)
	is.Equal(c.proposedFinishes("k"), []control.Outcome{control.OutcomeNotRun})
}

// Guards against unbounded memory use: answers larger than 16 KiB are not stored, and the oldest
// of more than 1,024 answers is evicted.
func TestStoreIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9))
	c.behaviours["a"] = func(_ context.Context, n *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
		r := goodReply(n, sub)
		r.Result = json.RawMessage(`"` + strings.Repeat("x", maxAnswerBytes) + `"`)
		return r, nil
	}
	_, err := c.Answer(t.Context(), c.nonIdempotentQuery("large"))
	is.NoErr(err)
	is.Equal(c.StoredAnswer(t.Context(), "large"), nil)
	b := bounded[int, int]{limit: 3}
	for i := range 5 {
		b.put(i, i)
		b.put(i, i*10) // A second value for a key takes no additional entry.
	}
	is.Equal(b.entries, map[int]int{2: 20, 3: 30, 4: 40})
}
