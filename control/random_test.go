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

// randomCommand draws a command over few names, so that commands meet.
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

// randomSuspects draws a report of deaths, seen early or confirmed, and of shards
// that are cleared.
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

// world holds a replica, a second one that is restored from snapshots at any
// time, and an entry host that gets the feed.
type world struct {
	plain, restored, host control.State
	index                 uint64
	now                   time.Duration
	versions              map[uint64]string
	outcomes              map[string]control.Result
	owners                map[string]owner
}

type owner struct {
	host string
	at   time.Duration
}

func (w *world) apply(t *rapid.T) {
	c := randomCommand(t)
	step := pick(t, "time", 0, 0, time.Second, 4*time.Second, time.Minute, 11*time.Hour, -time.Hour)
	c.At = start.Add(w.now + step)
	w.now += max(0, step)
	w.index++
	r := w.plain.Apply(w.index, c)
	if other := w.restored.Apply(w.index, c); !reflect.DeepEqual(normal(t, r), normal(t, other)) {
		t.Fatalf("results differ after a restore: %+v and %+v", r, other)
	}
	if fed, ok := control.Feed(c); ok {
		w.host.Apply(w.index, fed)
	} else {
		w.host.Advance(w.index)
	}
	w.checkChange(t, c, r)
	w.checkClaim(t, c, r)
}

func normal(t *rapid.T, v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// checkChange checks that a version is given once and that a change identity has
// one outcome.
func (w *world) checkChange(t *rapid.T, c control.Command, r control.Result) {
	id := ""
	if c.Inventory != nil {
		id = c.Inventory.Change
	}
	v := w.plain.View()
	if text, ok := w.versions[v.Version]; ok && text != v.Accepted.Text || v.Version < uint64(len(w.versions)) {
		t.Fatalf("version %d changed or was taken back", v.Version)
	}
	if v.Version > 0 {
		w.versions[v.Version] = v.Accepted.Text
	}
	if first, ok := w.outcomes[id]; ok && kind(r) != control.Invalid && !reflect.DeepEqual(first, r) {
		t.Fatalf("change %s has two outcomes: %+v and %+v", id, first, r)
	} else if !ok && id != "" {
		w.outcomes[id] = r
		if r.Refusal == nil && (c.Inventory.Base != r.Version-1 || v.Accepted.Change != id) {
			t.Fatalf("change %s on version %d was accepted as version %d", id, c.Inventory.Base, r.Version)
		}
	}
}

// checkClaim checks that no key gets a second owner within 24 hours.
func (w *world) checkClaim(t *rapid.T, c control.Command, r control.Result) {
	if c.Claim == nil || r.Refusal != nil {
		return
	}
	old, ok := w.owners[c.Claim.Key]
	if ok && w.now < old.at+24*time.Hour {
		t.Fatalf("key %s has the owners %s and %s", c.Claim.Key, old.host, c.Claim.Host)
	}
	w.owners[c.Claim.Key] = owner{c.Claim.Host, w.now}
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

// Guards against replicas, restarted replicas and entry hosts that hold different
// states, versions that are taken back, changes with two outcomes, and keys with
// two owners.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{versions: map[uint64]string{}, outcomes: map[string]control.Result{}, owners: map[string]owner{}}
		t.Repeat(map[string]func(*rapid.T){
			"apply":         w.apply,
			"apply again":   w.apply,
			"apply more":    w.apply,
			"restore":       func(t *rapid.T) { restore(t, w.restored.Snapshot, &w.restored) },
			"replace host":  func(t *rapid.T) { restore(t, w.plain.SharedSnapshot, &w.host) },
			"replace state": func(t *rapid.T) { restore(t, w.plain.Snapshot, &w.restored) },
			"": func(t *rapid.T) {
				if w.plain.Digest() != w.restored.Digest() || w.plain.Digest() != w.host.Digest() {
					t.Fatalf("digests differ: %x, %x, %x", w.plain.Digest(), w.restored.Digest(), w.host.Digest())
				}
				if w.index%4 != 0 {
					return // Views are slow to compare.
				}
				view := normal(t, w.plain.View())
				if view != normal(t, w.restored.View()) || view != normal(t, w.host.View()) {
					t.Fatal("views differ")
				}
			},
		})
		a, b := w.plain, w.restored
		if string(must(t, a.Snapshot)) != string(must(t, b.Snapshot)) {
			t.Fatal("snapshots differ")
		}
	})
}

func must(t *rapid.T, f func() ([]byte, error)) []byte {
	data, err := f()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// holder uses grants by its own clock.
type holder struct {
	name    string
	rate    float64
	offset  time.Duration
	held    []held
	limit   int    // that the last committed grant was given under
	index   uint64 // of the last grant
	ignored int    // requests sent before the last release
}

type held struct {
	amount int
	until  time.Duration // on the holder's clock
}

func (h *holder) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now)*h.rate) + h.offset
}

// uses returns what the holder uses now.
func (h *holder) uses(now time.Duration) int {
	amount := 0
	for _, g := range h.held {
		if h.clock(now) < g.until {
			amount = max(amount, g.amount)
		}
	}
	return amount
}

type request struct {
	holder *holder
	number int
	sent   time.Duration // on the holder's clock
	grant  *control.AcquireGrant
	free   *control.ReleaseGrant
	result control.Result
}

// grants is a leader with three holders and the messages between them.
type grants struct {
	state              control.State
	index              uint64
	now                time.Duration
	rate               float64 // of the leader's clock
	sent               int
	holders            []*holder
	toLeader, toHolder []request
}

func (g *grants) send(m request) request {
	g.sent++
	m.number, m.sent = g.sent, m.holder.clock(g.now)
	return m
}

func (g *grants) acquire(t *rapid.T) request {
	h := pick(t, "holder", g.holders...)
	return g.send(request{holder: h, grant: &control.AcquireGrant{
		Name: "cold", Limit: pick(t, "limit", 2, 2, 3), Amount: rapid.IntRange(1, 3).Draw(t, "amount"),
		Holder: h.name, Term: pick(t, "term", 10*time.Second, time.Second, time.Millisecond),
	}})
}

func (g *grants) commit(m request) request {
	g.index++
	at := start.Add(time.Duration(float64(g.now) * g.rate))
	m.result = g.state.Apply(g.index, control.Command{At: at, Grant: m.grant, Release: m.free})
	if m.grant != nil && m.result.Refusal == nil {
		m.holder.limit = m.grant.Limit
	}
	return m
}

func (g *grants) receive(m request) {
	h := m.holder
	if m.grant == nil || m.result.Refusal != nil || m.number <= h.ignored {
		return
	}
	h.index = max(h.index, m.result.Index)
	h.held = append(h.held, held{m.result.Granted, m.sent + m.grant.Term})
}

func (g *grants) release(t *rapid.T) {
	h := pick(t, "holder", g.holders...)
	if h.index == 0 {
		t.Skip() // It has no grant.
	}
	h.held, h.ignored = nil, g.sent
	g.toLeader = append(g.toLeader, g.send(request{holder: h, free: &control.ReleaseGrant{Name: "cold", Holder: h.name, Index: h.index}}))
}

// waitForEnd goes to the last moment of a grant on its holder's clock.
func (g *grants) waitForEnd(t *rapid.T) {
	h := pick(t, "holder", g.holders...)
	if len(h.held) == 0 {
		t.Skip()
	}
	last := h.held[len(h.held)-1].until
	g.now = max(g.now, time.Duration(float64(last-h.offset)/h.rate)-time.Microsecond)
}

// check checks that the holders use no more than the limit of any live grant.
func (g *grants) check(t *rapid.T) {
	sum, limit := 0, 3
	for _, h := range g.holders {
		if amount := h.uses(g.now); amount > 0 {
			sum, limit = sum+amount, min(limit, h.limit)
		}
	}
	if sum > limit {
		t.Fatalf("%d are used of %d at %s", sum, limit, g.now)
	}
}

func take(t *rapid.T, list *[]request) request {
	if len(*list) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "message")
	m := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return m
}

// Guards against holders that together use more than the limit by their own
// clocks, with lost, late and reordered messages. Rates differ by up to 4% and
// terms last up to 10 s, so clocks drift apart by less than 500 ms in a term.
func TestGrantsByTheHoldersClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates, offsets := rapid.Float64Range(0.98, 1.02), rapid.Int64Range(-1e12, 1e12)
		g := &grants{rate: rates.Draw(t, "leader")}
		for _, name := range []string{"h1", "h2", "h3"} {
			g.holders = append(g.holders, &holder{name: name, rate: rates.Draw(t, "rate"), offset: time.Duration(offsets.Draw(t, "offset"))})
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire":  func(t *rapid.T) { g.toLeader = append(g.toLeader, g.acquire(t)) },
			"at once":  func(t *rapid.T) { g.receive(g.commit(g.acquire(t))) },
			"and more": func(t *rapid.T) { g.receive(g.commit(g.acquire(t))) },
			"release":  g.release,
			"commit":   func(t *rapid.T) { g.toHolder = append(g.toHolder, g.commit(take(t, &g.toLeader))) },
			"receive":  func(t *rapid.T) { g.receive(take(t, &g.toHolder)) },
			"lose":     func(t *rapid.T) { take(t, &g.toHolder) },
			"wait":     func(t *rapid.T) { g.now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "wait")) },
			"to end":   g.waitForEnd,
			"":         g.check,
		})
	})
}

// A snapshot comes from the disk or from a peer. Guards against one that stops
// the process or gives a state that can't be saved again.
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
