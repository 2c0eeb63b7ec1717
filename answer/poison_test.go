package answer

import (
	"context"
	"encoding/json"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/poison"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// suspects returns the reported suspects as fingerprint and target.
func (c *cluster) suspects() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, cmd := range c.commands {
		if s := cmd.Suspect; s != nil {
			out[s.Fingerprint+" "+s.Target]++
		}
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
	c.clock.Advance(poison.Grace)
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
	for !c.Poison.Pending() {
		runtime.Gosched()
	}
	close(checked)
	is.NoErr((<-done).err)
	is.Equal(c.Poison.Due(c.clock.Now().Add(poison.Grace)), nil)
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
	c.clock.Advance(poison.Grace)
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
	is.Equal(c.finishes("k"), []control.Outcome{control.OutcomeNone})
	c.clock.Advance(time.Minute)
	c.does["a"] = nil
	q.Deadline = c.clock.Now().Add(time.Second)
	_, err = c.Answer(t.Context(), q)
	is.NoErr(err) // the hold is over
}
