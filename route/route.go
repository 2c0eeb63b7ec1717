// Package route selects the replica of a shard that gets a sub-request, and decides when to
// send a hedge and whether the budget allows it. All decisions use only what this host has
// observed itself, because load and health reports of targets may be late or wrong. The
// package has no sockets, goroutines or clocks; the caller passes the time in.
package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"wasabirelay/control"
)

// Outcome is how a sub-request ended.
type Outcome int

// Values of Outcome.
const (
	// Success is a reply that was accepted.
	Success Outcome = iota
	// Shed is a refusal because the target is overloaded.
	Shed
	// DrainingReply is a refusal because the target is draining.
	DrainingReply
	// ColdReply is a refusal because the target is not warm.
	ColdReply
	// SnapshotGone is a refusal because the target lacks the snapshot.
	SnapshotGone
	// ConnectFailed means that no connection could be opened.
	ConnectFailed
	// Reset means that the connection was lost after a byte was sent.
	Reset
	// BadReply is a reply that was truncated, malformed or meant for another request.
	BadReply
	// TimedOut means that no reply came within the deadline.
	TimedOut
	// Cancelled means that the reply was no longer needed.
	Cancelled
	// Failed is a reply that reports an error on the target.
	Failed
)

// outcomeNames are the labels of the outcomes in logs and metrics.
var outcomeNames = [...]string{
	"success", "shed", "draining", "cold", "snapshot-gone", "connect-failed", "reset", "bad-reply", "timed-out", "cancelled",
	"failed",
}

// String returns the label of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// HasReply reports whether the target has replied, with whatever result.
func (o Outcome) HasReply() bool {
	switch o {
	case ConnectFailed, Reset, TimedOut, Cancelled:
		return false
	default:
		return true
	}
}

// drainingExclusion is how long a target gets no sub-requests after a reply with "draining".
// It exceeds the 6 s within which a target that left is removed from the view.
const drainingExclusion = 10 * time.Second

// Choice describes the sub-request that Pick selects a replica for.
type Choice struct {
	Service string
	Shard   int
	// Replicas are the targets that have the shard in the requested snapshot.
	Replicas []*control.Target
	// Exclude holds the names of targets that must not be selected, such as those that already
	// have a sub-request for the shard.
	Exclude map[string]bool
	// Allow reports whether a target may get the sub-request; nil allows all targets. It is
	// called without any lock held and may call the methods of Table.
	Allow func(*control.Target) bool
	// Avoid reports whether the target is used only if all others are ejected or not allowed;
	// nil avoids no target.
	Avoid func(*control.Target) bool
	// NoProbe keeps the sub-request away from ejected targets that are due for a probe. It is
	// set for requests that can't be retried.
	NoProbe bool
	// Work is what the sub-request is expected to cost. It and the following fields have an effect
	// only if Table.Contended is set.
	Work Work
	// Hosts is the number of hosts that send to the replicas; 0 stands for 1.
	Hosts float64
	// Urgent is set for a sub-request that replaces a slow one: another data centre is no reason
	// against a target.
	Urgent bool
	// Within is the time in which the sub-request must be done; 0 if it is unlimited. No replica is
	// selected if none is expected to be done by then, as long as the estimate of the work is fresh.
	Within time.Duration
}

// Table holds what this host has observed about targets and services. Exported fields are set
// before use. It is safe for concurrent use.
type Table struct {
	// Centre is the data centre of this host.
	Centre string
	// Rand is the source of random choices; nil stands for a source with a random seed. It is
	// used under the lock of the table and must not be shared.
	Rand *rand.Rand
	// OnAssessment, if set, is called under the lock of the table when a target is ejected or
	// reinstated. It must not call methods of the table.
	OnAssessment func(Assessment)
	// Contended is true if callers compete for room at targets. Pick then selects by the learned cost
	// of the sub-request and by the work that each replica still has to do.
	Contended bool

	mu       sync.Mutex
	targets  map[string]*targetState
	services map[string]*serviceState
	counters counters
	// placed is nil unless Contended is set.
	placed *placement
}

// Assessment reports that this host has ejected or reinstated a target.
type Assessment struct {
	Target, Incarnation string
	// Ejected is true if the target gets only probes, because of Reason. The next probe is due
	// after ProbeAfter.
	Ejected    bool
	Reason     string
	ProbeAfter time.Duration
	// Latency is the estimated latency. Failures and Shed are the shares of failed and of
	// refused sub-requests.
	Latency        time.Duration
	Failures, Shed float64
}

// Pick returns the replica that gets the sub-request. It reports false if every replica is
// excluded, not allowed or draining. An ejected replica is selected only for a probe, or if
// there is no other.
func (t *Table) Pick(now time.Time, c Choice) (*control.Target, bool) {
	var buffer [8]*control.Target
	usable := buffer[:0]
	for _, r := range c.Replicas {
		if r.State != control.Draining && !c.Exclude[r.Name] && (c.Allow == nil || c.Allow(r)) {
			usable = append(usable, r)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.assess(now, c.Replicas)
	var local, remote, avoided, ejected candidates
	for _, r := range usable {
		state := t.state(r)
		switch {
		case now.Before(state.drainingUntil):
		case state.ejected:
			ejected.add(candidate{r, state})
		case c.Avoid != nil && c.Avoid(r):
			avoided.add(candidate{r, state})
		case r.Centre == t.Centre:
			local.add(candidate{r, state})
		default:
			remote.add(candidate{r, state})
		}
	}
	if !c.NoProbe {
		if probe, ok := t.pickProbe(now, &ejected); ok {
			return probe, true
		}
	}
	if t.Contended {
		return t.place(now, &c, &local, &remote, &avoided, &ejected)
	}
	return t.choose(now, &local, &remote, &avoided, &ejected)
}

// choose prefers a replica in the same data centre unless a remote one costs less than half as
// much. It selects avoided and ejected replicas, in this order, only if there is no other.
func (t *Table) choose(now time.Time, local, remote, avoided, ejected *candidates) (*control.Target, bool) {
	best, ok := t.twoChoices(now, local)
	other, otherOK := t.twoChoices(now, remote)
	switch {
	case ok && otherOK && best.cost > remoteFactor*other.cost:
		best = other
	case !ok && otherOK:
		best, ok = other, true
	case !ok && avoided.n > 0:
		best, ok = t.twoChoices(now, avoided)
	case !ok:
		best, ok = t.twoChoices(now, ejected)
	}
	if !ok {
		return nil, false
	}
	return best.target, true
}

// Start records that a sub-request was sent to the target.
func (t *Table) Start(_ time.Time, target *control.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(target).inFlight++
}

// Done records the end of a sub-request that Start recorded. The latency is the time since it
// was sent, even if no reply came.
func (t *Table) Done(now time.Time, target *control.Target, service string, latency time.Duration, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done(now, target, service, latency, o)
}

func (t *Table) done(now time.Time, target *control.Target, service string, latency time.Duration, o Outcome) {
	state := t.state(target)
	s := t.service(service)
	lostToHedge := o == Cancelled && s.delay > 0 && latency > s.delay // its hedge was faster
	s.observe(now, latency, o)
	state.observe(now, latency, o)
	t.assessOutcome(now, state, now.Add(-latency), o, lostToHedge)
	switch o {
	case DrainingReply:
		state.drainingUntil = now.Add(drainingExclusion)
	case ColdReply:
		state.suspectCold(now, true)
	case Shed:
		if !state.peersOverloaded(s) {
			state.suspectCold(now, false)
		}
	}
	state.inFlight = max(0, state.inFlight-1)
}

// HedgeAfter returns the delay after which a sub-request is hedged: the learned quantile (0 to
// 1) of the latencies of the service. It reports false if there are too few samples, or if the
// whole service is slow, in which case hedges would only add load.
func (t *Table) HedgeAfter(_ time.Time, service string, quantile float64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).hedgeAfter(quantile)
}

// Budget returns the budget for hedges and retries of the service.
func (t *Table) Budget(service string) *Budget {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &t.service(service).budget
}

// SuspectCold reports whether the target behaves as if it were cold: it refused a sub-request
// as cold, it sheds while its peers do not, or it is far slower than its peers. It reports
// false for a slow target that is due for a probe, so that the probe needs no grant.
func (t *Table) SuspectCold(now time.Time, target *control.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(target)
	if now.Before(state.coldUntil) && (state.reportedCold || !state.peersOverloaded(t.service(target.Service))) {
		return true
	}
	return state.ejected && state.reason == reasonLatency && now.Before(state.nextProbe)
}

// ClearSuspicion ends the suspicion that warm replicas of a shard are cold if it applies to all of
// them and none of them has reported it: then nothing tells a cold target from a slow or
// overloaded shard, and the shard would have no replica. It ends for the replicas that are not
// ejected or, if there are none, for the fastest of those ejected for their latency. It reports
// whether a replica has become usable.
func (t *Table) ClearSuspicion(now time.Time, replicas []*control.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared := false
	var fastest *targetState
	for _, r := range replicas {
		state := t.state(r)
		suspected := now.Before(state.coldUntil)
		switch {
		case r.State != control.Warm || now.Before(state.drainingUntil) || suspected && state.reportedCold:
		case !state.ejected:
			cleared = cleared || suspected
			state.coldUntil = now
		case state.reason == reasonLatency && (fastest == nil || state.latency < fastest.latency):
			fastest = state
		}
	}
	if cleared || fastest == nil {
		return cleared
	}
	fastest.coldUntil = now
	t.reinstate(now, fastest, time.Duration(fastest.latency))
	return true
}

// Forget removes the state of targets whose names are not in live.
func (t *Table) Forget(live map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.targets {
		if !live[name] {
			delete(t.targets, name)
		}
	}
}

// state returns the state of the target's incarnation. A new incarnation starts with empty
// state. A query with an older view may still name the previous incarnation: it gets a
// temporary state, so that it can't reset that of the new incarnation.
func (t *Table) state(target *control.Target) *targetState {
	state, ok := t.targets[target.Name]
	switch {
	case ok && state.incarnation == target.Incarnation:
		return state
	case ok && state.previous == target.Incarnation && state.replaced:
		return &targetState{}
	}
	fresh := &targetState{name: target.Name, incarnation: target.Incarnation}
	if ok {
		fresh.previous, fresh.replaced = state.incarnation, true
	}
	if t.targets == nil {
		t.targets = map[string]*targetState{}
	}
	t.targets[target.Name] = fresh
	return fresh
}

func (t *Table) service(name string) *serviceState {
	s, ok := t.services[name]
	if !ok {
		s = &serviceState{}
		if t.services == nil {
			t.services = map[string]*serviceState{}
		}
		t.services[name] = s
	}
	return s
}

func (t *Table) intN(n int) int {
	return t.random().IntN(n)
}

func (t *Table) random() *rand.Rand {
	if t.Rand == nil {
		t.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return t.Rand
}
