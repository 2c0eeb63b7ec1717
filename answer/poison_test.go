package answer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/poison"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// suspects returns how often each confirmed suspect was reported, by "fingerprint target".
func (c *cluster) suspects() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, s := range c.reported() {
		if !s.Early && !s.Cleared {
			out[s.Fingerprint+" "+s.Target]++
		}
	}
	return out
}

// reported returns all reports in the order of the commands. The caller holds c.mu.
func (c *cluster) reported() []control.SuspectRequest {
	var out []control.SuspectRequest
	for _, cmd := range c.commands {
		if cmd.Suspect != nil {
			out = append(out, *cmd.Suspect)
		}
		out = append(out, cmd.Suspects...)
	}
	return out
}

// waitSuspects waits until the given suspects have been reported, each once.
func (c *cluster) waitSuspects(t *testing.T, want ...string) {
	t.Helper()
	for len(c.suspects()) < len(want) && t.Context().Err() == nil {
		runtime.Gosched()
	}
	for _, s := range want {
		is.New(t).Equal(c.suspects()[s], 1)
	}
}

// Guards against a request that crashes every replica of a shard: each death makes it a suspect,
// and it is never retried on the last replica.
func TestSuspectIsNotRetriedOnLastReplica(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9))
	for _, name := range []string{"a", "b", "c"} {
		c.behaviours[name] = failWith(Reset, true)
	}
	q := c.query()
	a, err := c.Answer(t.Context(), q)
	c.waitDrained(t)
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	is.Equal(c.sentTargets(), []string{"a", "b"}) // c is the last replica
	is.Equal(c.suspects(), map[string]int{q.Fingerprint + " a": 1, q.Fingerprint + " b": 1})
	a, err = c.Answer(t.Context(), q) // The fingerprint is not in the view yet.
	is.Equal(refused(t, a, err).Rule, "poison")
}

// Guards against suspecting requests of a target that only closed a connection: if the target
// responds to its health check, its requests are not suspects and are retried.
func TestResetOfLiveTarget(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9))
	c.behaviours["a"] = failWith(Reset, true)
	c.Health = func(context.Context, *control.Target) error { return nil }
	q := c.query()
	_, err := c.Answer(t.Context(), q)
	is.NoErr(err)
	c.waitDrained(t)
	is.Equal(len(c.suspects()), 0)
	// A new incarnation within the window shows that the target did die.
	c.changeView(func(v *control.View) {
		again := newTarget("a", 0, 1, 9)
		again.Incarnation = "2"
		v.Targets = map[string][]*control.Target{desk: {again}}
	})
	c.behaviours["a"] = failWith(Failed, true)
	_, _ = c.Answer(t.Context(), q)
	c.clock.Advance(poison.GracePeriod)
	c.waitSuspects(t, q.Fingerprint+" a")
}

// Guards against refusing a request that is in flight at deaths only because it is sent often:
// an answer for the same shard clears it.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9))
	checked := make(chan struct{})
	c.Health = func(context.Context, *control.Target) error { return errors.New("connection refused") }
	c.behaviours["a"] = failWith(Reset, true)
	c.behaviours["b"] = afterSignal(checked, replyCorrectly)
	done := c.answerAsync(t.Context(), c.query())
	<-c.arrived
	for !c.Poison.HasPending() {
		runtime.Gosched()
	}
	close(checked)
	is.NoErr((<-done).err)
	is.Equal(c.Poison.DueReports(c.clock.Now().Add(poison.GracePeriod)), nil)
}

// Guards against suspecting only the request whose connection was reset first: all requests in
// flight at a death are suspects. One of the queries is not idempotent.
func TestAllRequestsInFlightAreSuspects(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9))
	open := make(chan struct{})
	c.behaviours["a"] = afterSignal(open, failWith(Reset, true))
	one, two := c.query(), c.nonIdempotentQuery("k")
	two.Query = json.RawMessage(`{"q":2}`)
	two.Fingerprint = poison.Fingerprint(desk, "", two.Query)
	first, second := c.answerAsync(t.Context(), one), c.answerAsync(t.Context(), two)
	<-c.arrived
	<-c.arrived
	close(open)
	<-first
	o := <-second
	is.Equal(refused(t, o.answer, o.err).Executed, problem.Unknown)
	c.waitDrained(t)
	is.Equal(len(c.suspects()), 0) // no suspect is reported before the grace period ends
	c.clock.Advance(poison.GracePeriod)
	c.waitSuspects(t, one.Fingerprint+" a", two.Fingerprint+" a")
}

// Guards against a poison request that is resent: while its fingerprint is poisoned, the request
// is refused with the rule, and a running query with the fingerprint is not retried.
func TestPoisonedFingerprintIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9))
	q := c.query()
	poisonFingerprint := func() {
		c.changeView(func(v *control.View) {
			v.Poisoned = map[string]time.Time{q.Fingerprint: c.clock.Now().Add(time.Minute)}
		})
	}
	c.behaviours["a"] = func(ctx context.Context, n *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
		poisonFingerprint()
		return failWith(Failed, true)(ctx, n, sub)
	}
	a, err := c.Answer(t.Context(), q)
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	is.Equal(c.sentTargets(), []string{"a"})
	a, err = c.Answer(t.Context(), q)
	d := refused(t, a, err)
	is.Equal(d.Executed, problem.None)
	is.Equal(d.Rule, "poison")
	is.True(d.Detail != "")
	// A resend of a request that may have run must not be refused as not executed, so the claim
	// precedes the refusal.
	a, err = c.Answer(t.Context(), c.nonIdempotentQuery("k"))
	is.Equal(refused(t, a, err).Rule, "poison")
	c.waitDrained(t)
	is.Equal(c.proposedFinishes("k"), []control.Outcome{control.OutcomeNotRun})
	c.clock.Advance(time.Minute)
	c.behaviours["a"] = nil
	q.Deadline = c.clock.Now().Add(time.Second)
	_, err = c.Answer(t.Context(), q)
	is.NoErr(err) // the hold has ended
}

// Guards against losing all replicas of a shard when a caller sends a request to one host after
// another and each host sees only one death. A suspicion that another host reported protects the
// last replica before anything is sent.
func TestSuspicionOfAnotherHost(t *testing.T) {
	for _, tc := range []struct {
		name               string
		nonIdempotentQuery bool
		answered           bool
		deaths             []control.Death
		sentTargets        int
	}{
		{"two replicas are left", false, false, []control.Death{{Target: "a", Incarnation: "1"}}, 1},
		{"one replica is left", false, false, []control.Death{{Target: "a", Incarnation: "1"}, {Target: "b", Incarnation: "1"}}, 0},
		{"an older incarnation has died", false, false, []control.Death{{Target: "a", Incarnation: "0"}, {Target: "b", Incarnation: "0"}}, 1},
		{"not idempotent", true, false, []control.Death{{Target: "a", Incarnation: "1"}, {Target: "b", Incarnation: "1"}}, 0},
		{"answered recently", false, true, []control.Death{{Target: "a", Incarnation: "1"}, {Target: "b", Incarnation: "1"}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9))
			q := c.query()
			if tc.nonIdempotentQuery {
				q = c.nonIdempotentQuery("k")
			}
			before := 0
			if tc.answered {
				_, err := c.Answer(t.Context(), q)
				is.NoErr(err)
				before = 1
			}
			c.changeView(func(v *control.View) {
				v.Suspected = map[string]map[int][]control.Death{q.Fingerprint: {0: tc.deaths}}
			})
			a, err := c.Answer(t.Context(), q)
			c.waitDrained(t)
			is.Equal(len(c.sentTargets())-before, tc.sentTargets)
			if tc.sentTargets > 0 {
				is.NoErr(err)
				c.mu.Lock()
				defer c.mu.Unlock()
				is.Equal(c.reported(), []control.SuspectRequest{{Fingerprint: q.Fingerprint, Service: desk, Cleared: true}})
				return
			}
			d := refused(t, a, err)
			is.Equal(d.Executed, problem.None)
			is.Equal(d.Rule, "poison")
			if tc.nonIdempotentQuery {
				is.Equal(c.proposedFinishes("k"), []control.Outcome{control.OutcomeNotRun})
			}
		})
	}
}

// Guards against one command in the log per request in flight at a death, and against a
// withdrawal that is committed before the report that it withdraws.
func TestReportsShareCommands(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9))
	open, slow := make(chan struct{}), make(chan struct{})
	c.behaviours["a"] = afterSignal(open, failWith(Reset, true))
	propose := c.Propose
	c.Propose = func(ctx context.Context, cmd control.Command) (control.Result, error) {
		<-slow
		return propose(ctx, cmd)
	}
	var done []<-chan queryResult
	const queries = 10
	for i := range queries {
		q := c.query()
		q.Query = json.RawMessage(fmt.Sprintf(`{"q":%d}`, i))
		q.Fingerprint = poison.Fingerprint(desk, "", q.Query)
		done = append(done, c.answerAsync(t.Context(), q))
	}
	for range queries {
		<-c.arrived
	}
	close(open)
	for _, d := range done {
		is.NoErr((<-d).err)
	}
	close(slow)
	c.waitDrained(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	is.True(len(c.commands) <= 2)
	early := map[string]bool{}
	for _, r := range c.reported() {
		is.True(r.Early || (r.Cleared && early[r.Fingerprint]))
		early[r.Fingerprint] = true
	}
}

// heldLine is an output for logs that holds up the first line with a text until released.
type heldLine struct {
	text     string
	reached  chan struct{}
	released chan struct{}
	once     sync.Once
}

func (h *heldLine) Write(line []byte) (int, error) {
	if strings.Contains(string(line), h.text) {
		h.once.Do(func() {
			close(h.reached)
			<-h.released
		})
	}
	return len(line), nil
}

// Guards against a withdrawal that overtakes the report that it withdraws: the request would stay suspected on all
// hosts although a target has answered it.
func TestWithdrawalFollowsItsReport(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9), newTarget("b", 0, 1, 9), newTarget("c", 0, 1, 9))
	line := &heldLine{text: "target died", reached: make(chan struct{}), released: make(chan struct{})}
	c.Log = zerolog.New(line)
	c.behaviours["a"] = failWith(Reset, true)
	c.behaviours["b"] = afterSignal(line.reached, replyCorrectly)
	is.NoErr((<-c.answerAsync(t.Context(), c.query())).err)
	close(line.released)
	c.waitDrained(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	reported := c.reported()
	is.Equal(len(reported), 2)
	is.True(reported[0].Early)
	is.True(reported[1].Cleared)
}

// Guards against a resend that is refused as not executed because its fingerprint is poisoned or
// suspected, although the first request with the key may have been sent.
func TestResendOfSuspectIsNotRefusedAsNotExecuted(t *testing.T) {
	is := is.New(t)
	c := newCluster(newTarget("a", 0, 1, 9))
	q := c.nonIdempotentQuery("k")
	c.changeView(func(v *control.View) {
		v.Poisoned = map[string]time.Time{q.Fingerprint: c.clock.Now().Add(time.Minute)}
		v.Suspected = map[string]map[int][]control.Death{q.Fingerprint: {0: {{Target: "a", Incarnation: "1"}}}}
	})
	c.Propose = func(context.Context, control.Command) (control.Result, error) {
		return control.Result{Holder: "h1", Outcome: control.OutcomePending, Refusal: &control.Refusal{Kind: control.Taken}}, nil
	}
	a, err := c.Answer(t.Context(), q)
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	// The fingerprint becomes poisoned while the first request runs.
	c = newCluster(newTarget("a", 0, 1, 9))
	c.behaviours["a"] = func(ctx context.Context, n *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
		c.changeView(func(v *control.View) {
			v.Poisoned = map[string]time.Time{q.Fingerprint: c.clock.Now().Add(time.Minute)}
		})
		return failWith(Reset, true)(ctx, n, sub)
	}
	a, err = c.Answer(t.Context(), c.nonIdempotentQuery("k"))
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	c.waitDrained(t)
	is.Equal(c.proposedFinishes("k"), []control.Outcome{control.OutcomeUnknown})
}
