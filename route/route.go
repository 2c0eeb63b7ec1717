// Package route selects the replica of a shard that gets a sub-request, and
// decides when a hedge is sent and whether the budget has room for it. All
// decisions use only what this host observed itself: load and health reports of
// targets may be late or wrong. The package holds no sockets, goroutines or
// clocks: times are passed in.
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
	// Shed is a refusal because the target has too much work.
	Shed
	// DrainingReply is a refusal because the target is leaving.
	DrainingReply
	// ColdReply is a refusal because the target is not warm.
	ColdReply
	// SnapshotGone is a refusal because the target lacks the snapshot.
	SnapshotGone
	// ConnectFailed means that no connection could be made.
	ConnectFailed
	// Reset means that the connection was lost after a byte was sent.
	Reset
	// BadReply is a reply that was cut short, crossed or malformed.
	BadReply
	// TimedOut means that no reply came within the deadline.
	TimedOut
	// Cancelled means that the reply was no longer needed.
	Cancelled
	// Failed is a reply that reports an error of the target.
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

// drainingHold is how long a target that refused with "draining" gets no work. It
// exceeds the 6 s within which a target that left is removed from the view.
const drainingHold = 10 * time.Second

// Choice is what Pick chooses from.
type Choice struct {
	Service string
	Shard   int
	// Replicas are the targets that have the shard in the wanted snapshot.
	Replicas []*control.Target
	// Exclude holds the names of targets that must not be chosen, such as those
	// that already have a sub-request for the shard.
	Exclude map[string]bool
	// Allow reports whether a target may get the sub-request; nil allows all. It
	// is called without any lock held and may call the methods of Table.
	Allow func(*control.Target) bool
	// Avoid reports whether the target is used only if all others are ejected or not
	// allowed; nil avoids none.
	Avoid func(*control.Target) bool
	// NoProbe keeps the sub-request away from ejected targets that are due for a
	// probe, for requests that can't be retried.
	NoProbe bool
}

// Table holds the observations of this host about targets. Exported fields are
// set before use. It is safe for concurrent use.
type Table struct {
	// Centre is the data centre of this host.
	Centre string
	// Rand makes the random choices; nil stands for a source with a random seed. It is
	// used under the lock of the table and must not be shared.
	Rand *rand.Rand
	// OnAssessment, if set, is called under the lock of the table when a target is ejected
	// or reinstated. It must not call the table.
	OnAssessment func(Assessment)

	mu       sync.Mutex
	targets  map[string]*record
	services map[string]*service
	counts   counts
}

// Assessment is a change of what this host believes about a target.
type Assessment struct {
	Target, Incarnation string
	// Ejected states that the target gets only probes, for Reason, the next one After.
	Ejected    bool
	Reason     string
	ProbeAfter time.Duration
	// Latency is the learned latency, Failures and Shed the shares of failed and
	// refused sub-requests.
	Latency        time.Duration
	Failures, Shed float64
}

// Pick returns the replica that gets the sub-request. It reports false if no
// replica is left that is neither excluded, disallowed nor draining. Ejected
// replicas are chosen only for a probe or if no other is left.
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
	t.judge(now, c.Replicas)
	var near, far, spare, out field
	for _, r := range usable {
		rec := t.record(r)
		switch {
		case now.Before(rec.drainingUntil):
		case rec.ejected:
			out.add(candidate{r, rec})
		case c.Avoid != nil && c.Avoid(r):
			spare.add(candidate{r, rec})
		case r.Centre == t.Centre:
			near.add(candidate{r, rec})
		default:
			far.add(candidate{r, rec})
		}
	}
	if !c.NoProbe {
		if probe, ok := t.probe(now, &out); ok {
			return probe, true
		}
	}
	return t.choose(now, &near, &far, &spare, &out)
}

// choose prefers the near replica unless a far one is clearly better, and takes
// avoided and ejected replicas only if there is no other, in this order.
func (t *Table) choose(now time.Time, near, far, spare, out *field) (*control.Target, bool) {
	best, ok := t.twoChoices(now, near)
	other, otherOK := t.twoChoices(now, far)
	switch {
	case ok && otherOK && best.cost > farFactor*other.cost:
		best = other
	case !ok && otherOK:
		best, ok = other, true
	case !ok && spare.n > 0:
		best, ok = t.twoChoices(now, spare)
	case !ok:
		best, ok = t.twoChoices(now, out)
	}
	if !ok {
		return nil, false
	}
	return best.target, true
}

// Start records that a sub-request is sent to the target.
func (t *Table) Start(_ time.Time, target *control.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(target).inFlight++
}

// Done records the end of a sub-request that was recorded by Start. The latency
// is the time since it was sent, also if no reply came.
func (t *Table) Done(now time.Time, target *control.Target, service string, latency time.Duration, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.record(target)
	s := t.service(service)
	lost := o == Cancelled && s.delay > 0 && latency > s.delay // against its hedge
	s.observe(now, latency, o)
	rec.observe(now, latency, o)
	t.judgeOutcome(now, rec, now.Add(-latency), o, lost)
	switch o {
	case DrainingReply:
		rec.drainingUntil = now.Add(drainingHold)
	case ColdReply:
		rec.suspect(now, true)
	case Shed:
		if !rec.overloaded(s) {
			rec.suspect(now, false)
		}
	}
	rec.inFlight = max(0, rec.inFlight-1)
}

// HedgeAfter returns the delay after which a sub-request is hedged: the learned
// quantile (0 to 1) of the latencies of the service. It reports false if too few
// samples exist, or if everything is slow, so that a hedge would only add load.
func (t *Table) HedgeAfter(_ time.Time, service string, quantile float64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).hedgeAfter(quantile)
}

// Budget returns the budget of hedges and retries of the service.
func (t *Table) Budget(service string) *Budget {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &t.service(service).budget
}

// SuspectCold reports whether the target behaves as if it were cold: it refused
// as cold, it sheds while its peers do not, or it is far slower than its peers. A
// slow target that is due for a probe is not reported, so that the probe needs no
// grant.
func (t *Table) SuspectCold(now time.Time, target *control.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.record(target)
	if now.Before(rec.coldUntil) && (rec.saidCold || !rec.overloaded(t.service(target.Service))) {
		return true
	}
	return rec.ejected && rec.reason == slow && now.Before(rec.due)
}

// Forget drops the state of targets whose names are not in live.
func (t *Table) Forget(live map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.targets {
		if !live[name] {
			delete(t.targets, name)
		}
	}
}

// record returns the state of the target's incarnation. A new incarnation starts
// afresh. The incarnation before, still named by a query that holds an older view,
// gets a record that is not kept, so that it can't reset the newer one.
func (t *Table) record(target *control.Target) *record {
	rec, ok := t.targets[target.Name]
	switch {
	case ok && rec.incarnation == target.Incarnation:
		return rec
	case ok && rec.previous == target.Incarnation && rec.replaced:
		return &record{}
	}
	fresh := &record{name: target.Name, incarnation: target.Incarnation}
	if ok {
		fresh.previous, fresh.replaced = rec.incarnation, true
	}
	if t.targets == nil {
		t.targets = map[string]*record{}
	}
	t.targets[target.Name] = fresh
	return fresh
}

func (t *Table) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{}
		if t.services == nil {
			t.services = map[string]*service{}
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
