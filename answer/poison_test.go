package answer

import (
	"context"
	"encoding/json"
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
		v.Targets = map[string][]*control.Target{desk: {again, node("b", 0, 1, 9)}}
	})
	c.does["a"] = nil
	_, err = c.Answer(t.Context(), q)
	is.NoErr(err)
	c.drained(t)
	is.Equal(c.suspects(), map[string]int{q.Fingerprint + " a": 1})
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
	is.Equal(c.suspects(), map[string]int{one.Fingerprint + " a": 1, two.Fingerprint + " a": 1})
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
	c.clock.Advance(time.Minute)
	c.does["a"] = nil
	q.Deadline = c.clock.Now().Add(time.Second)
	_, err = c.Answer(t.Context(), q)
	is.NoErr(err) // the hold is over
}
