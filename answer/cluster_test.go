package answer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"wasabirelay/control"
	"wasabirelay/inventory"
	"wasabirelay/poison"
	"wasabirelay/problem"
	"wasabirelay/target"
)

const desk = "order-desk"

// behaviour determines how a fake target handles a sub-request.
type behaviour func(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError)

// cluster is a Service with a fake clock and with fake targets in place of Send.
type cluster struct {
	*Service
	clock    *clockwork.FakeClock
	registry *prometheus.Registry

	mu         sync.Mutex
	view       *control.View
	leaseLost  error
	sent       []*Subrequest
	sentTo     []string
	cancels    []string
	commands   []control.Command
	behaviours map[string]behaviour
	// arrived gets the name of the target for each sub-request that reaches one.
	arrived chan string
}

// newCluster returns a cluster with the given replicas, which are picked in the given order.
func newCluster(targets ...*control.Target) *cluster {
	c := &cluster{
		Service: &Service{Host: "h1"}, clock: clockwork.NewFakeClock(), behaviours: map[string]behaviour{},
		arrived: make(chan string, 1000),
	}
	c.view = &control.View{
		Inventory: &inventory.Document{Centres: map[string]inventory.Centre{}},
		Targets:   map[string][]*control.Target{desk: targets}, ShardCounts: map[string]map[uint64]int{},
	}
	c.Clock = c.clock
	c.registry = prometheus.NewRegistry()
	c.Registry = c.registry
	c.View = func() (*control.View, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.view, c.leaseLost
	}
	c.Send = c.send
	c.Cancel = func(_ context.Context, t *control.Target, _ *Subrequest) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancels = append(c.cancels, t.Name)
		return nil
	}
	c.Pick = func(_ time.Time, ch Choice) (*control.Target, bool) {
		for _, t := range ch.Replicas {
			if !ch.Exclude[t.Name] && ch.Allow(t) {
				return t, true
			}
		}
		return nil, false
	}
	c.Propose = func(_ context.Context, cmd control.Command) (control.Result, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.commands = append(c.commands, cmd)
		return control.Result{}, nil
	}
	c.Health = func(context.Context, *control.Target) error { return errors.New("connection refused") }
	c.RandomFloat = func() float64 { return 0.5 }
	return c
}

// changeView publishes a changed copy of the view.
func (c *cluster) changeView(f func(v *control.View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := *c.view
	f(&v)
	c.view = &v
}

func (c *cluster) send(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
	if err := sub.Check(); err != nil {
		return nil, &SendError{Outcome: Cancelled, Err: err}
	}
	c.mu.Lock()
	c.sent, c.sentTo = append(c.sent, sub), append(c.sentTo, t.Name)
	does := c.behaviours[t.Name]
	c.mu.Unlock()
	c.arrived <- t.Name
	if does == nil {
		return goodReply(t, sub), nil
	}
	return does(ctx, t, sub)
}

// sentTargets returns the names of the targets that got a sub-request, in order.
func (c *cluster) sentTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.sentTo)
}

// waitDrained waits for all background work.
func (c *cluster) waitDrained(t *testing.T) {
	t.Helper()
	if err := c.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// newTarget returns a warm target that holds one shard of snapshots with total shards.
func newTarget(name string, shard, total int, snapshots ...uint64) *control.Target {
	t := &control.Target{
		Name: name, Incarnation: "1", Service: desk, Version: "v1", Centre: "huonville", State: control.Warm,
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Shards: []int{shard},
	}
	for _, n := range snapshots {
		t.Snapshots = append(t.Snapshots, control.Snapshot{Number: n, Shards: total})
	}
	return t
}

func goodReply(t *control.Target, sub *Subrequest) *target.Reply {
	return &target.Reply{
		Request: sub.Request, Shard: sub.Shard, Snapshot: sub.Snapshot, End: true,
		Result: json.RawMessage(fmt.Sprintf(`{"target":%q,"snapshot":%d}`, t.Name, sub.Snapshot)),
	}
}

// failWith returns a behaviour that fails immediately with the given outcome.
func failWith(o Outcome, sent bool) behaviour {
	return func(context.Context, *control.Target, *Subrequest) (*target.Reply, *SendError) {
		return nil, &SendError{Outcome: o, Sent: sent, Err: errors.New(outcomeNames[o])}
	}
}

// afterSignal returns a behaviour that waits until open is closed and then behaves like next. It
// times out if the context ends first.
func afterSignal(open <-chan struct{}, next behaviour) behaviour {
	return func(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
		select {
		case <-open:
			return next(ctx, t, sub)
		case <-ctx.Done():
			return nil, &SendError{Outcome: TimedOut, Sent: true, Err: ctx.Err()}
		}
	}
}

func replyCorrectly(_ context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
	return goodReply(t, sub), nil
}

// query returns an idempotent query whose deadline is in one second.
func (c *cluster) query() *Query {
	q := &Query{
		Request: Request{Request: "r1", Query: json.RawMessage(`{"q":1}`), Idempotent: true},
		Service: desk, Deadline: c.clock.Now().Add(time.Second),
	}
	q.Fingerprint = poison.Fingerprint(desk, "", q.Query)
	return q
}

// nonIdempotentQuery returns a query that is not idempotent.
func (c *cluster) nonIdempotentQuery(key string) *Query {
	q := c.query()
	q.Idempotent, q.Key = false, key
	return q
}

// refused returns the refusal of a query, or fails the test.
func refused(t *testing.T, a *Answer, err error) *problem.Details {
	t.Helper()
	var d *problem.Details
	if !errors.As(err, &d) {
		t.Fatalf("want a refusal, got %+v, %v", a, err)
	}
	return d
}

// queryResult holds the return values of Answer.
type queryResult struct {
	answer *Answer
	err    error
}

// answerAsync starts a query on a new goroutine and returns a channel for its result.
func (c *cluster) answerAsync(ctx context.Context, q *Query) <-chan queryResult {
	done := make(chan queryResult, 1)
	go func() {
		a, err := c.Answer(ctx, q)
		done <- queryResult{a, err}
	}()
	return done
}

// waitForTimers waits until n timers of the fake clock are set.
func (c *cluster) waitForTimers(t *testing.T, n int) {
	t.Helper()
	is.New(t).NoErr(c.clock.BlockUntilContext(t.Context(), n))
}
