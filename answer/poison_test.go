package answer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/poison"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// suspects returns the confirmed suspects as fingerprint and target.
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

// reported returns all reports in the order of the commands. The cluster is locked.
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

// waitSuspects waits until exactly these suspects were reported.
func (c *cluster) waitSuspects(t *testing.T, want ...string) {
	t.Helper()
	for len(c.suspects()) < len(want) && t.Context().Err() == nil {
		runtime.Gosched()
	}
	for _, s := range want {
		is.New(t).Equal(c.suspects()[s], 1)
	}
}

// Guards against a request that crashes every target: each death makes it a
// suspect, and the last replica of the shard is never put at risk by a retry.
func TestSuspectSparesTheLastReplica(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9), node("b", 0, 1, 9), node("c", 0, 1, 9))
	for _, name := range []string{"a", "b", "c"} {
		c.does[name] = fails(Reset, true)
	}
	q := c.query()
	a, err := c.Answer(t.Context(), q)
	c.drained(t)
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	is.Equal(c.to(), []string{"a", "b"}) // c is the last one
	is.Equal(c.suspects(), map[string]int{q.Fingerprint + " a": 1, q.Fingerprint + " b": 1})
	a, err = c.Answer(t.Context(), q) // The view does not hold the fingerprint yet.
	is.Equal(refused(t, a, err).Rule, "poison")
}

// Guards against retries that die with a target that only closed a connection:
// a target that answers its health check makes no suspect.
func TestResetOfLivingTarget(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9), node("b", 0, 1, 9), node("c", 0, 1, 9))
	c.does["a"] = fails(Reset, true)
	c.Health = func(context.Context, *control.Target) error { return nil }
	q := c.query()
	_, err := c.Answer(t.Context(), q)
	is.NoErr(err)
	c.drained(t)
	is.Equal(len(c.suspects()), 0)
	// A new incarnation within the window shows that it died after all.
	c.change(func(v *control.View) {
		again := node("a", 0, 1, 9)
		again.Incarnation = "2"
		v.Targets = map[string][]*control.Target{desk: {again}}
	})
	c.does["a"] = fails(Failed, true)
	_, _ = c.Answer(t.Context(), q)
	c.clock.Advance(poison.GracePeriod)
	c.waitSuspects(t, q.Fingerprint+" a")
}

// Guards against refusing a request that is in flight at deaths only because it
// is sent often: an answer for the same shard clears it.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9), node("b", 0, 1, 9), node("c", 0, 1, 9))
	checked := make(chan struct{})
	c.Health = func(context.Context, *control.Target) error { return errors.New("connection refused") }
	c.does["a"] = fails(Reset, true)
	c.does["b"] = after(checked, replies)
	done := c.ask(t.Context(), c.query())
	<-c.arrived
	for !c.Poison.HasPending() {
		runtime.Gosched()
	}
	close(checked)
	is.NoErr((<-done).err)
	is.Equal(c.Poison.DueReports(c.clock.Now().Add(poison.GracePeriod)), nil)
}

// Guards against blaming the one request that was noticed: all requests in flight
// at a death are suspects. Two faults at once: a target dies while a query that
// is not idempotent runs on it.
func TestAllRequestsInFlightAreSuspects(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9))
	open := make(chan struct{})
	c.does["a"] = after(open, fails(Reset, true))
	one, two := c.query(), c.once("k")
	two.Query = json.RawMessage(`{"q":2}`)
	two.Fingerprint = poison.Fingerprint(desk, "", two.Query)
	first, second := c.ask(t.Context(), one), c.ask(t.Context(), two)
	<-c.arrived
	<-c.arrived
	close(open)
	<-first
	o := <-second
	is.Equal(refused(t, o.answer, o.err).Executed, problem.Unknown)
	c.drained(t)
	is.Equal(len(c.suspects()), 0) // reported without the time to be cleared
	c.clock.Advance(poison.GracePeriod)
	c.waitSuspects(t, one.Fingerprint+" a", two.Fingerprint+" a")
}

// Guards against a poison request that is resent: while its fingerprint is held
// it is refused with the rule, and a query that is on its way is not retried.
func TestHeldFingerprintIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9), node("b", 0, 1, 9), node("c", 0, 1, 9))
	q := c.query()
	hold := func() {
		c.change(func(v *control.View) {
			v.Poisoned = map[string]time.Time{q.Fingerprint: c.clock.Now().Add(time.Minute)}
		})
	}
	c.does["a"] = func(ctx context.Context, n *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
		hold()
		return fails(Failed, true)(ctx, n, sub)
	}
	a, err := c.Answer(t.Context(), q)
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	is.Equal(c.to(), []string{"a"})
	a, err = c.Answer(t.Context(), q)
	d := refused(t, a, err)
	is.Equal(d.Executed, problem.None)
	is.Equal(d.Rule, "poison")
	is.True(d.Detail != "")
	// A resend of a request that may have run must not be refused as not run, so
	// the claim comes before the refusal.
	a, err = c.Answer(t.Context(), c.once("k"))
	is.Equal(refused(t, a, err).Rule, "poison")
	c.drained(t)
	is.Equal(c.finishes("k"), []control.Outcome{control.OutcomeNotRun})
	c.clock.Advance(time.Minute)
	c.does["a"] = nil
	q.Deadline = c.clock.Now().Add(time.Second)
	_, err = c.Answer(t.Context(), q)
	is.NoErr(err) // the hold is over
}

// Guards against a caller that sends a request to one host after another: each
// host sees one death, and the last replica of a shard is lost. The suspicion of
// another host spares it, before anything is sent.
func TestSuspicionOfAnotherHost(t *testing.T) {
	for _, tc := range []struct {
		name     string
		once     bool
		answered bool
		deaths   []control.Death
		to       int
	}{
		{"two replicas are left", false, false, []control.Death{{Target: "a", Incarnation: "1"}}, 1},
		{"one replica is left", false, false, []control.Death{{Target: "a", Incarnation: "1"}, {Target: "b", Incarnation: "1"}}, 0},
		{"an older incarnation has died", false, false, []control.Death{{Target: "a", Incarnation: "0"}, {Target: "b", Incarnation: "0"}}, 1},
		{"not idempotent", true, false, []control.Death{{Target: "a", Incarnation: "1"}, {Target: "b", Incarnation: "1"}}, 0},
		{"answered lately", false, true, []control.Death{{Target: "a", Incarnation: "1"}, {Target: "b", Incarnation: "1"}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(node("a", 0, 1, 9), node("b", 0, 1, 9), node("c", 0, 1, 9))
			q := c.query()
			if tc.once {
				q = c.once("k")
			}
			before := 0
			if tc.answered {
				_, err := c.Answer(t.Context(), q)
				is.NoErr(err)
				before = 1
			}
			c.change(func(v *control.View) {
				v.Suspected = map[string]map[int][]control.Death{q.Fingerprint: {0: tc.deaths}}
			})
			a, err := c.Answer(t.Context(), q)
			c.drained(t)
			is.Equal(len(c.to())-before, tc.to)
			if tc.to > 0 {
				is.NoErr(err)
				c.mu.Lock()
				defer c.mu.Unlock()
				is.Equal(c.reported(), []control.SuspectRequest{{Fingerprint: q.Fingerprint, Service: desk, Cleared: true}})
				return
			}
			d := refused(t, a, err)
			is.Equal(d.Executed, problem.None)
			is.Equal(d.Rule, "poison")
			if tc.once {
				is.Equal(c.finishes("k"), []control.Outcome{control.OutcomeNotRun})
			}
		})
	}
}

// Guards against a log that grows by a command per request in flight at a death,
// and against a withdrawal that is committed before the report.
func TestReportsShareCommands(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9), node("b", 0, 1, 9), node("c", 0, 1, 9))
	open, slow := make(chan struct{}), make(chan struct{})
	c.does["a"] = after(open, fails(Reset, true))
	propose := c.Propose
	c.Propose = func(ctx context.Context, cmd control.Command) (control.Result, error) {
		<-slow
		return propose(ctx, cmd)
	}
	var done []<-chan outcome
	const queries = 10
	for i := range queries {
		q := c.query()
		q.Query = json.RawMessage(fmt.Sprintf(`{"q":%d}`, i))
		q.Fingerprint = poison.Fingerprint(desk, "", q.Query)
		done = append(done, c.ask(t.Context(), q))
	}
	for range queries {
		<-c.arrived
	}
	close(open)
	for _, d := range done {
		is.NoErr((<-d).err)
	}
	close(slow)
	c.drained(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	is.True(len(c.commands) <= 2)
	early := map[string]bool{}
	for _, r := range c.reported() {
		is.True(r.Early || (r.Cleared && early[r.Fingerprint]))
		early[r.Fingerprint] = true
	}
}

// Guards against a resend that is refused as not run while its fingerprint is held
// or suspected, although the first request with the key may have been sent.
func TestResendOfSuspectIsNotRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	c := newCluster(node("a", 0, 1, 9))
	q := c.once("k")
	c.change(func(v *control.View) {
		v.Poisoned = map[string]time.Time{q.Fingerprint: c.clock.Now().Add(time.Minute)}
		v.Suspected = map[string]map[int][]control.Death{q.Fingerprint: {0: {{Target: "a", Incarnation: "1"}}}}
	})
	c.Propose = func(context.Context, control.Command) (control.Result, error) {
		return control.Result{Holder: "h1", Outcome: control.OutcomePending, Refusal: &control.Refusal{Kind: control.Taken}}, nil
	}
	a, err := c.Answer(t.Context(), q)
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	// The fingerprint is held while the first request runs.
	c = newCluster(node("a", 0, 1, 9))
	c.does["a"] = func(ctx context.Context, n *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
		c.change(func(v *control.View) {
			v.Poisoned = map[string]time.Time{q.Fingerprint: c.clock.Now().Add(time.Minute)}
		})
		return fails(Reset, true)(ctx, n, sub)
	}
	a, err = c.Answer(t.Context(), c.once("k"))
	is.Equal(refused(t, a, err).Executed, problem.Unknown)
	c.drained(t)
	is.Equal(c.finishes("k"), []control.Outcome{control.OutcomeUnknown})
}
