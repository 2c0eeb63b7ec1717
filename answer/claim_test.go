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

// finishes returns the outcomes that were proposed for a key.
func (c *cluster) finishes(key string) []control.Outcome {
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

// Guards against promise 8: after a byte may have left, neither a retry nor a
// hedge nor a restart runs the request again; before, another replica is asked.
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
		t.Run(outcomes[tc.outcome], func(t *testing.T) {
			is := is.New(t)
			c := newCluster(node("a", 0, 1, 8, 9), node("b", 0, 1, 8, 9))
			c.does["a"] = fails(tc.outcome, tc.sent)
			_, _ = c.Answer(t.Context(), c.once("k"))
			c.drained(t)
			is.Equal(c.to(), tc.want)
			is.Equal(c.finishes("k"), []control.Outcome{tc.finish})
		})
	}
	r, now := newRound(1, false), time.Now()
	r.placed(r.start().asks[0].attempt, node("a", 0, 1, 9), now)
	is.New(t).Equal(len(r.tick(now.Add(time.Hour)).asks), 0) // a hedge
}

// taken is the result of a claim that is not the first.
func taken(holder string, o control.Outcome) control.Result {
	return control.Result{Holder: holder, Outcome: o, Refusal: &control.Refusal{Kind: control.Taken}}
}

// Guards against promises 7 and 8 for each result of a claim.
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
		{name: "other content", result: control.Result{Refusal: &control.Refusal{Kind: control.Conflict}}, status: 422, executed: problem.None},
		{name: "holder has the answer", result: taken("h2", control.OutcomeRan), fetched: answer, status: 200},
		{name: "holder has lost the answer", result: taken("h2", control.OutcomeRan), status: 409, executed: problem.Ran},
		{name: "holder is gone, finished", result: taken("h2", control.OutcomeRan), fetchErr: errors.New("no route"), status: 409, executed: problem.Ran},
		{name: "holder is gone, pending", result: taken("h2", control.OutcomePending), fetchErr: errors.New("no route"), status: 409, executed: problem.Unknown},
		{name: "first was not run", result: taken("h2", control.OutcomeNotRun), status: 409, executed: problem.None},
		{name: "this host restarted", result: taken("h1", control.OutcomePending), status: 409, executed: problem.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(node("a", 0, 1, 9))
			c.Propose = func(context.Context, control.Command) (control.Result, error) { return tc.result, tc.err }
			c.Fetch = func(_ context.Context, host, key string) (*Answer, error) {
				is.Equal(host+key, "h2k")
				return tc.fetched, tc.fetchErr
			}
			a, err := c.Answer(t.Context(), c.once("k"))
			is.Equal(len(c.to()), 0) // a request without the first claim ran
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

// Guards against a byte that leaves before the claim is committed, and against a
// claim that is read differently than the state machine means it: the first host
// runs the request, and a resend through another host gets the first answer.
func TestClaimsOfTwoHosts(t *testing.T) {
	is := is.New(t)
	h1, h2 := newCluster(node("a", 0, 1, 9)), newCluster(node("a", 0, 1, 9))
	var log control.State
	index := uint64(0)
	h1.Propose = func(_ context.Context, cmd control.Command) (control.Result, error) {
		h1.mu.Lock()
		defer h1.mu.Unlock()
		if index++; index == 1 {
			is.Equal(len(h1.sentTo), 0) // a sub-request was sent before the claim
		}
		return log.Apply(index, cmd), nil
	}
	h2.Host, h2.Propose = "h2", h1.Propose
	h2.Fetch = func(ctx context.Context, _, key string) (*Answer, error) { return h1.StoredAnswer(ctx, key), nil }
	first, err := h1.Answer(t.Context(), h1.once("k"))
	is.NoErr(err)
	second, err := h2.Answer(t.Context(), h2.once("k"))
	is.NoErr(err)
	is.Equal(second, first)
	is.Equal(len(h1.to())+len(h2.to()), 1)
	other := h2.once("k")
	other.Fingerprint = "other"
	a, err := h2.Answer(t.Context(), other)
	is.Equal(refused(t, a, err).Status, http.StatusUnprocessableEntity)
	h1.drained(t)
	restarted := newCluster(node("a", 0, 1, 9))
	restarted.Propose = h1.Propose
	a, err = restarted.Answer(t.Context(), restarted.once("k"))
	is.Equal(refused(t, a, err).Executed, problem.Ran)
}

// Guards against promise 8 under two faults at once: the caller hangs up while a
// shard is slow, and resends while the first request still runs.
func TestResendWhileRunning(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9))
	open := make(chan struct{})
	c.does["a"] = after(open, replies)
	ctx, hangUp := context.WithCancel(t.Context())
	first := c.ask(ctx, c.once("k"))
	<-c.arrived
	hangUp()
	second := c.ask(t.Context(), c.once("k"))
	other := c.once("k")
	other.Fingerprint = "other"
	third := c.ask(t.Context(), other)
	c.waiters(t, 4) // The deadlines of three queries and of the one sub-request.
	close(open)
	one, two, three := <-first, <-second, <-third
	is.NoErr(one.err)
	is.NoErr(two.err)
	is.Equal(two.answer, one.answer)
	is.Equal(refused(t, three.answer, three.err).Status, http.StatusUnprocessableEntity)
	is.Equal(c.to(), []string{"a"})
	is.Equal(c.StoredAnswer(t.Context(), "k"), one.answer)
	is.Equal(c.StoredAnswer(t.Context(), "unknown"), nil)
}

// Guards against work that begins after the caller's deadline, because the claim
// took too long: nothing is sent, and the claim says so.
func TestClaimAfterDeadline(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9))
	record := c.Propose
	c.Propose = func(ctx context.Context, cmd control.Command) (control.Result, error) {
		if cmd.Claim != nil {
			c.clock.Advance(time.Second)
			<-ctx.Done()
		}
		return record(ctx, cmd)
	}
	a, err := c.Answer(t.Context(), c.once("k"))
	is.Equal(refused(t, a, err).Executed, problem.None)
	c.drained(t)
	is.Equal(len(c.to()), 0)
	is.Equal(c.finishes("k"), []control.Outcome{control.OutcomeNotRun})
}

// Guards against unbounded memory: answers above 16 KiB are not kept, and the
// oldest of more than 1,024 is evicted.
func TestStoreIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9))
	c.does["a"] = func(_ context.Context, n *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
		r := good(n, sub)
		r.Result = json.RawMessage(`"` + strings.Repeat("x", maxAnswer) + `"`)
		return r, nil
	}
	_, err := c.Answer(t.Context(), c.once("large"))
	is.NoErr(err)
	is.Equal(c.StoredAnswer(t.Context(), "large"), nil)
	b := bounded[int, int]{limit: 3}
	for i := range 5 {
		b.put(i, i)
		b.put(i, i*10) // A second value for a key takes no room.
	}
	is.Equal(b.entries, map[int]int{2: 20, 3: 30, 4: 40})
}
