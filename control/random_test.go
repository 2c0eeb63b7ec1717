package control_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabirelay/control"
)

func pick[T any](t *rapid.T, label string, values ...T) T {
	return rapid.SampledFrom(values).Draw(t, label)
}

// randomCommand draws a command with few different names, so that commands affect the same
// objects.
func randomCommand(t *rapid.T) control.Command {
	name := pick(t, "name", "a", "b", "c")
	host := pick(t, "host", "h1", "h2")
	number := rapid.IntRange(0, 6).Draw(t, "number")
	switch pick(t, "kind", 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 8) {
	case 0, 1:
		rules := pick(t, "rules", ``, `"keep": "7s"`, `"keep": 7`, `"poison": {"deaths": 1, "hold": "1m"}`, `"poison": {"deaths": 1, "hold": "9h"}`,
			`"moves": {"order-desk": {"version": "v2", "by": "2026-12-04T18:00:00Z"}}`,
			`"moves": {"order-desk": {"version": "v2", "by": "2026-12-05T18:00:00+03:00"}}`)
		return change(uint64(number), fmt.Sprint("c", rapid.IntRange(0, 20).Draw(t, "change")), host, rules)
	case 2, 3:
		c := target(name, fmt.Sprint(number), pick(t, "state", control.Cold, control.Warm, control.Draining), []int{number % 2},
			control.Snapshot{Number: uint64(number / 3), Shards: pick(t, "shards", 1, 2)})
		c.Announce.Target.Service = pick(t, "service", "order-desk", "dye-log")
		return c
	case 4:
		return control.Command{Leave: &control.Leave{
			Target: name, Incarnation: fmt.Sprint(number), Reason: pick(t, "reason", control.Left, control.Expired, control.Crashed),
		}}
	case 5:
		return control.Command{Claim: &control.Claim{Key: name, Fingerprint: "f", Service: "order-desk", Host: host}}
	case 6:
		return control.Command{Finish: &control.Finish{Key: name, Host: host, Outcome: pick(t, "outcome", control.OutcomeRan, control.OutcomeNotRun)}}
	case 7:
		return control.Command{Grant: &control.AcquireGrant{Name: name, Limit: 4, Amount: 1 + number, Holder: host, Term: pick(t, "term", time.Second, time.Minute, time.Hour)}}
	case 8:
		return randomSuspects(t, name)
	default:
		return control.Command{Move: &control.StepMove{
			Service: "order-desk", Version: "v2", Step: "trial", Share: 0.5, Revert: number == 0,
			Operator: pick(t, "operator", "", "ann"), Change: pick(t, "change", "", "r1", "r2"),
		}}
	}
}

// randomSuspects draws reports of early or confirmed deaths and of cleared shards.
func randomSuspects(t *rapid.T, name string) control.Command {
	one := func() control.SuspectRequest {
		phase := rapid.IntRange(0, 3).Draw(t, "phase")
		return control.SuspectRequest{
			Fingerprint: name, Target: pick(t, "target", "t1", "t2", "t3"), Incarnation: pick(t, "incarnation", "a", "b"),
			Shard: rapid.IntRange(0, 1).Draw(t, "shard"), Early: phase < 2, Cleared: phase == 2,
		}
	}
	if rapid.Bool().Draw(t, "single") {
		r := one()
		return control.Command{Suspect: &r}
	}
	var c control.Command
	for range rapid.IntRange(1, 3).Draw(t, "suspects") {
		c.Suspects = append(c.Suspects, one())
	}
	return c
}

// stateHarness holds a replica, a second one that is repeatedly restored from snapshots, and an
// entry host that gets the feed.
type stateHarness struct {
	reference, restored, entryHost control.State
	index                          uint64
	now                            time.Duration
	versions                       map[uint64]string
	outcomes                       map[string]control.Result
	owners                         map[string]owner
}

type owner struct {
	host string
	at   time.Duration
}

func (h *stateHarness) apply(t *rapid.T) {
	c := randomCommand(t)
	step := pick(t, "time", 0, 0, time.Second, 4*time.Second, time.Minute, 11*time.Hour, -time.Hour)
	c.At = start.Add(h.now + step)
	h.now += max(0, step)
	h.index++
	r := h.reference.Apply(h.index, c)
	if other := h.restored.Apply(h.index, c); !reflect.DeepEqual(encode(t, r), encode(t, other)) {
		t.Fatalf("results differ after a restore: %+v and %+v", r, other)
	}
	if fed, ok := control.Feed(c); ok {
		h.entryHost.Apply(h.index, fed)
	} else {
		h.entryHost.Advance(h.index)
	}
	h.checkChange(t, c, r)
	h.checkClaim(t, c, r)
}

func encode(t *rapid.T, v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// checkChange checks that each version is assigned only once and that a change identity has only
// one outcome.
func (h *stateHarness) checkChange(t *rapid.T, c control.Command, r control.Result) {
	id := ""
	if c.Inventory != nil {
		id = c.Inventory.Change
	}
	v := h.reference.View()
	if text, ok := h.versions[v.Version]; ok && text != v.Accepted.Text || v.Version < uint64(len(h.versions)) {
		t.Fatalf("version %d changed or was reverted", v.Version)
	}
	if v.Version > 0 {
		h.versions[v.Version] = v.Accepted.Text
	}
	if first, ok := h.outcomes[id]; ok && kind(r) != control.Invalid && !reflect.DeepEqual(first, r) {
		t.Fatalf("change %s has two outcomes: %+v and %+v", id, first, r)
	} else if !ok && id != "" {
		h.outcomes[id] = r
		if r.Refusal == nil && (c.Inventory.Base != r.Version-1 || v.Accepted.Change != id) {
			t.Fatalf("change %s on version %d was accepted as version %d", id, c.Inventory.Base, r.Version)
		}
	}
}

// checkClaim checks that no key gets a second owner within 24 hours.
func (h *stateHarness) checkClaim(t *rapid.T, c control.Command, r control.Result) {
	if c.Claim == nil || r.Refusal != nil {
		return
	}
	old, ok := h.owners[c.Claim.Key]
	if ok && h.now < old.at+24*time.Hour {
		t.Fatalf("key %s has the owners %s and %s", c.Claim.Key, old.host, c.Claim.Host)
	}
	h.owners[c.Claim.Key] = owner{c.Claim.Host, h.now}
}

func restore(t *rapid.T, from func() ([]byte, error), to *control.State) {
	data, err := from()
	if err != nil {
		t.Fatal(err)
	}
	if err := to.Restore(data); err != nil {
		t.Fatal(err)
	}
}

// Guards against different states on replicas, restarted replicas and entry hosts, against
// versions that are reverted, changes with two outcomes, and keys with two owners.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &stateHarness{versions: map[uint64]string{}, outcomes: map[string]control.Result{}, owners: map[string]owner{}}
		t.Repeat(map[string]func(*rapid.T){
			"apply":         h.apply,
			"apply again":   h.apply,
			"apply more":    h.apply,
			"restore":       func(t *rapid.T) { restore(t, h.restored.Snapshot, &h.restored) },
			"replace host":  func(t *rapid.T) { restore(t, h.reference.SharedSnapshot, &h.entryHost) },
			"replace state": func(t *rapid.T) { restore(t, h.reference.Snapshot, &h.restored) },
			"": func(t *rapid.T) {
				if h.reference.Digest() != h.restored.Digest() || h.reference.Digest() != h.entryHost.Digest() {
					t.Fatalf("digests differ: %x, %x, %x", h.reference.Digest(), h.restored.Digest(), h.entryHost.Digest())
				}
				if h.index%4 != 0 {
					return // Views are slow to compare.
				}
				view := encode(t, h.reference.View())
				if view != encode(t, h.restored.View()) || view != encode(t, h.entryHost.View()) {
					t.Fatal("views differ")
				}
			},
		})
		a, b := h.reference, h.restored
		if string(mustEncode(t, a.Snapshot)) != string(mustEncode(t, b.Snapshot)) {
			t.Fatal("snapshots differ")
		}
	})
}

func mustEncode(t *rapid.T, f func() ([]byte, error)) []byte {
	data, err := f()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// holder holds grants and measures their terms by its own clock.
type holder struct {
	name        string
	rate        float64
	offset      time.Duration
	held        []heldGrant
	limit       int    // of the last committed grant
	index       uint64 // of the last grant
	ignoredUpTo int    // requests sent before the last release
}

type heldGrant struct {
	amount int
	until  time.Duration // on the holder's clock
}

func (h *holder) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now)*h.rate) + h.offset
}

// usedAmount returns the amount that the holder considers granted at the time.
func (h *holder) usedAmount(now time.Duration) int {
	amount := 0
	for _, g := range h.held {
		if h.clock(now) < g.until {
			amount = max(amount, g.amount)
		}
	}
	return amount
}

type request struct {
	holder  *holder
	number  int
	sent    time.Duration // on the holder's clock
	grant   *control.AcquireGrant
	release *control.ReleaseGrant
	result  control.Result
}

// grantHarness simulates a leader, three holders and the messages between them.
type grantHarness struct {
	state              control.State
	index              uint64
	now                time.Duration
	rate               float64 // of the leader's clock
	sent               int
	holders            []*holder
	toLeader, toHolder []request
}

func (g *grantHarness) send(m request) request {
	g.sent++
	m.number, m.sent = g.sent, m.holder.clock(g.now)
	return m
}

func (g *grantHarness) acquire(t *rapid.T) request {
	h := pick(t, "holder", g.holders...)
	return g.send(request{holder: h, grant: &control.AcquireGrant{
		Name: "cold", Limit: pick(t, "limit", 2, 2, 3), Amount: rapid.IntRange(1, 3).Draw(t, "amount"),
		Holder: h.name, Term: pick(t, "term", 10*time.Second, time.Second, time.Millisecond),
	}})
}

func (g *grantHarness) commit(m request) request {
	g.index++
	at := start.Add(time.Duration(float64(g.now) * g.rate))
	m.result = g.state.Apply(g.index, control.Command{At: at, Grant: m.grant, Release: m.release})
	if m.grant != nil && m.result.Refusal == nil {
		m.holder.limit = m.grant.Limit
	}
	return m
}

func (g *grantHarness) receive(m request) {
	h := m.holder
	if m.grant == nil || m.result.Refusal != nil || m.number <= h.ignoredUpTo {
		return
	}
	h.index = max(h.index, m.result.Index)
	h.held = append(h.held, heldGrant{m.result.Granted, m.sent + m.grant.Term})
}

func (g *grantHarness) release(t *rapid.T) {
	h := pick(t, "holder", g.holders...)
	if h.index == 0 {
		t.Skip() // The holder has no grant.
	}
	h.held, h.ignoredUpTo = nil, g.sent
	g.toLeader = append(g.toLeader, g.send(request{holder: h, release: &control.ReleaseGrant{Name: "cold", Holder: h.name, Index: h.index}}))
}

// waitForEnd advances the time to the last moment of a grant on the clock of its holder.
func (g *grantHarness) waitForEnd(t *rapid.T) {
	h := pick(t, "holder", g.holders...)
	if len(h.held) == 0 {
		t.Skip()
	}
	last := h.held[len(h.held)-1].until
	g.now = max(g.now, time.Duration(float64(last-h.offset)/h.rate)-time.Microsecond)
}

// check checks that the holders together use no more than the limit of each live grant.
func (g *grantHarness) check(t *rapid.T) {
	sum, limit := 0, 3
	for _, h := range g.holders {
		if amount := h.usedAmount(g.now); amount > 0 {
			sum, limit = sum+amount, min(limit, h.limit)
		}
	}
	if sum > limit {
		t.Fatalf("holders use %d of %d at %s", sum, limit, g.now)
	}
}

func takeMessage(t *rapid.T, list *[]request) request {
	if len(*list) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "message")
	m := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return m
}

// Guards against holders that together use more than the limit, each by its own clock, while
// messages are lost, delayed and reordered. Rates differ by up to 4% and terms last up to 10 s,
// so clocks drift apart by less than 500 ms in a term.
func TestGrantsByTheHoldersClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates, offsets := rapid.Float64Range(0.98, 1.02), rapid.Int64Range(-1e12, 1e12)
		g := &grantHarness{rate: rates.Draw(t, "leader")}
		for _, name := range []string{"h1", "h2", "h3"} {
			g.holders = append(g.holders, &holder{name: name, rate: rates.Draw(t, "rate"), offset: time.Duration(offsets.Draw(t, "offset"))})
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire":               func(t *rapid.T) { g.toLeader = append(g.toLeader, g.acquire(t)) },
			"acquire at once":       func(t *rapid.T) { g.receive(g.commit(g.acquire(t))) },
			"acquire at once again": func(t *rapid.T) { g.receive(g.commit(g.acquire(t))) },
			"release":               g.release,
			"commit":                func(t *rapid.T) { g.toHolder = append(g.toHolder, g.commit(takeMessage(t, &g.toLeader))) },
			"receive":               func(t *rapid.T) { g.receive(takeMessage(t, &g.toHolder)) },
			"lose":                  func(t *rapid.T) { takeMessage(t, &g.toHolder) },
			"wait":                  func(t *rapid.T) { g.now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "wait")) },
			"wait for end":          g.waitForEnd,
			"":                      g.check,
		})
	})
}

// Guards against a snapshot, read from disk or received from a peer, that crashes the process or
// leads to a state that cannot be saved again.
func FuzzRestore(f *testing.F) {
	var r replica
	r.do(0, change(0, "c1", "ann", `"moves": {"order-desk": {"version": "v2", "by": "2026-12-04T18:00:00Z"}}`))
	r.do(0, target("t1", "a", control.Warm, []int{0}, control.Snapshot{Number: 1, Shards: 2}))
	r.do(0, control.Command{Claim: &control.Claim{Key: "k", Host: "h1"}})
	r.do(0, control.Command{Grant: &control.AcquireGrant{Name: "g", Limit: 1, Amount: 1, Holder: "h1", Term: time.Second}})
	r.do(0, control.Command{Suspect: &control.SuspectRequest{Fingerprint: "f", Target: "t1", Incarnation: "a"}})
	r.do(0, control.Command{Suspects: []control.SuspectRequest{{Fingerprint: "g", Target: "t1", Incarnation: "a", Shard: 1, Early: true}}})
	seed, err := r.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var s replica
		if s.Restore(data) != nil {
			return
		}
		again, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		var other replica
		if err := other.Restore(again); err != nil || other.Digest() != s.Digest() {
			t.Fatalf("the state differs after a second restore: %v", err)
		}
		s.index = 1 << 32
		s.do(0, target("t1", "b", control.Warm, []int{0}, control.Snapshot{Number: 1, Shards: 2}))
		s.do(time.Hour, control.Command{Leave: &control.Leave{Target: "t1", Incarnation: "b"}})
		s.do(48*time.Hour, change(1, "c2", "ann", ""))
		s.View()
	})
}
