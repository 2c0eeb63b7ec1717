package duty

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

const (
	modelLease     = 3 * time.Second
	modelTolerance = 300 * time.Millisecond
	modelWindow    = time.Second
	modelChaos     = 3 * time.Minute
	modelCalm      = time.Minute
)

// removal is what the model leaves out, to show that it notices.
type removal int

const (
	nothing removal = iota
	tokenCheck
	fixedContent
	leaseWait
)

// model is a model of control hosts that have a duty in turn, on one true clock: elections, proposals whose outcome is
// not known, hosts that are suspended or believe to lead for a while after they were deposed, versions that lose the state of
// the duty, and a provider that executes calls late, whether or not it checks tokens.
type model struct {
	*rand.Rand
	removed removal
	now     time.Duration
	state   control.State
	index   uint64
	leader  int
	term    uint64
	hosts   []*modelHost
	// limbo holds what the leader has proposed and not committed.
	limbo  []control.Command
	calls  []modelCall
	fenced bool

	fence      uint64
	sentTokens uint64
	holders    map[uint64]int
	accepted   map[uint64]string
	violations []string
}

type modelHost struct {
	Holder
	// believed is the term that the host believes to lead; it learns at knows that it does not.
	believed uint64
	knows    time.Duration
	busy     time.Duration
}

type modelCall struct {
	at      time.Duration
	token   uint64
	number  uint64
	content string
}

func newModel(seed uint64, removed removal) *model {
	m := &model{
		Rand: rand.New(rand.NewPCG(seed, seed)), removed: removed, holders: map[uint64]int{}, accepted: map[uint64]string{},
		fenced: seed%2 == 0, leader: -1,
	}
	for i := range 3 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		m.hosts = append(m.hosts, &modelHost{Holder: Holder{
			Name: "same", Address: address, Lease: modelLease, Tolerance: modelTolerance, Interval: 20 * time.Millisecond,
		}})
	}
	return m
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.Int64N(int64(d))) }

func (m *model) chance(p float64) bool { return m.now < modelChaos && m.Float64() < p }

func (m *model) violate(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%s: ", m.now)+fmt.Sprintf(format, args...))
}

func (m *model) apply(c control.Command) control.Result {
	m.index += 1 + uint64(m.IntN(2))
	return m.state.Apply(m.index, c)
}

// elect makes a host the leader. What the last leader proposed may still be committed.
func (m *model) elect() {
	if m.leader >= 0 {
		m.hosts[m.leader].knows = m.now + m.upTo(4*time.Second)
	}
	m.limbo = m.limbo[:m.IntN(len(m.limbo)+1)]
	m.commitLimbo()
	if m.chance(0.1) { // a snapshot of an earlier version lacks the duties
		text, _ := m.state.SharedSnapshot()
		if err := m.state.Restore(text); err != nil {
			panic(err)
		}
	}
	m.leader, m.term = m.IntN(len(m.hosts)), m.term+1
	h := m.hosts[m.leader]
	h.believed, h.knows = m.term, 1<<62
}

// commitLimbo commits what was proposed earlier, which is before all that follows in the log.
func (m *model) commitLimbo() {
	for _, c := range m.limbo {
		m.apply(c)
	}
	m.limbo = nil
}

func (m *model) run() []string {
	for ; m.now < modelChaos+modelCalm; m.now += 10 * time.Millisecond {
		if m.leader < 0 || m.chance(0.0012) {
			m.elect()
		}
		for i, h := range m.hosts {
			if m.now >= h.busy {
				m.step(i, h)
			}
		}
		m.execute()
	}
	return m.violations
}

func (m *model) step(i int, h *modelHost) {
	if m.now >= h.knows {
		h.believed = 0
	}
	seen, leads, term := m.now, h.believed != 0, h.believed
	if m.removed == leaseWait {
		seen -= modelLease
	}
	if m.removed == tokenCheck {
		leads, term = true, 1
	}
	h.Lead(seen, leads, term)
	action := h.Next(m.now)
	if m.chance(0.01) {
		h.busy = m.now + m.upTo(5*time.Second) // suspended
		return
	}
	switch action {
	case Confirm:
		m.confirm(i, h, term)
	case Claim:
		token, ok := m.propose(i, h, &control.DutyStep{Claim: h.NextClaim(uint64(m.now/modelWindow) + 2)})
		if !ok {
			token = 0
		}
		h.Claimed(m.now, token)
	case Call:
		m.call(i, h)
	case Finish:
		if _, ok := m.propose(i, h, &control.DutyStep{Finish: &control.FinishWork{Token: h.Token(), Number: h.Done()}}); ok {
			h.Finished()
		} else {
			h.Doubt()
		}
	case Fix:
		m.fix(i, h)
	case Wait:
	}
}

func (m *model) confirm(i int, h *modelHost, term uint64) {
	h.busy = m.now + m.upTo(100*time.Millisecond)
	if i != m.leader || h.believed != m.term || m.chance(0.1) {
		return
	}
	state := m.state.Duties()["usage"]
	if m.removed == tokenCheck && h.Token() != 0 {
		state.Token = h.Token()
	}
	h.Confirmed(m.now, term, state)
}

func (m *model) propose(i int, h *modelHost, step *control.DutyStep) (uint64, bool) {
	h.busy = m.now + m.upTo(50*time.Millisecond)
	if m.removed == tokenCheck {
		token := m.state.Duties()["usage"].Token
		switch {
		case step.Fix != nil:
			step.Fix.Token = token
		case step.Finish != nil:
			step.Finish.Token = token
		}
	}
	step.Duty = "usage"
	c := control.Command{Duty: step}
	switch {
	case i != m.leader || h.believed != m.term:
		return 0, false
	case m.chance(0.1):
		m.limbo = append(m.limbo, c)
		return 0, false
	}
	m.commitLimbo()
	result := m.apply(c)
	return result.Index, result.Refusal == nil && !m.chance(0.1)
}

// content returns the counts of a window, which differ each time they are collected.
func (m *model) content() json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"a":%d}`, m.Uint32()))
}

func (m *model) fix(i int, h *modelHost) {
	number := max(h.State().Next, uint64(max(0, m.now-m.upTo(20*time.Second))/modelWindow))
	if m.now < time.Duration(number+1)*modelWindow+3500*time.Millisecond {
		return
	}
	work := control.Work{Number: number, Content: m.content()}
	if _, ok := m.propose(i, h, &control.DutyStep{Fix: &control.FixWork{Token: h.Token(), Work: work}}); ok {
		h.Fixed(work)
	} else {
		h.Doubt()
	}
}

func (m *model) call(i int, h *modelHost) {
	work, until := h.First()
	c := modelCall{at: m.now, token: h.Token(), number: work.Number, content: string(work.Content)}
	if m.removed == fixedContent {
		c.content = string(m.content())
	}
	if m.chance(0.05) { // suspended between the check and the call
		c.at += m.upTo(modelTolerance)
	}
	if m.now >= until {
		m.violate("host %d calls after its lease", i)
	}
	if c.token < m.sentTokens {
		m.violate("host %d calls with token %d after %d was used", i, c.token, m.sentTokens)
	}
	m.sentTokens = max(m.sentTokens, c.token)
	if other, ok := m.holders[c.token]; ok && other != i {
		m.violate("hosts %d and %d use token %d", i, other, c.token)
	}
	m.holders[c.token] = i
	switch {
	case m.chance(0.3): // executed late, if at all, and never answered
		c.at += m.upTo(8 * time.Second)
		if m.chance(0.7) {
			m.calls = append(m.calls, c)
		}
		h.busy = m.now + 2*time.Second
		h.Called(m.now, h.busy, Failed)
	case m.now/(10*time.Second)%2 == 1 && m.chance(0.9): // the provider has no time
		h.Called(m.now, m.now, Failed)
	case m.fenced && c.token < m.fence:
		h.Called(m.now, m.now, Refused)
	default:
		m.calls = append(m.calls, c)
		h.Called(m.now, m.now, Done)
	}
}

// execute executes the calls that have reached the provider.
func (m *model) execute() {
	var left []modelCall
	for _, c := range m.calls {
		switch {
		case c.at > m.now:
			left = append(left, c)
		case m.fenced && c.token < m.fence:
		default:
			m.fence = max(m.fence, c.token)
			if old, ok := m.accepted[c.number]; ok && old != c.content {
				m.violate("window %d is reported as %s and as %s", c.number, old, c.content)
			}
			m.accepted[c.number] = c.content
		}
	}
	m.calls = left
}

// Guards against two reports for one window, a token of two hosts, an earlier holder that acts again with its old
// token, and a duty that nobody takes up again after faults.
func TestModel(t *testing.T) {
	for seed := range uint64(120) {
		m := newModel(seed, nothing)
		for _, v := range m.run() {
			t.Errorf("seed %d: %s", seed, v)
		}
		for n := uint64((modelChaos + 20*time.Second) / modelWindow); n < uint64((modelChaos+modelCalm-10*time.Second)/modelWindow); n++ {
			if m.accepted[n] == "" {
				t.Errorf("seed %d: window %d is not reported", seed, n)
			}
		}
	}
}

// Guards against a model that would not notice what it is for.
func TestModelNoticesWhatIsMissing(t *testing.T) {
	for _, removed := range []removal{tokenCheck, fixedContent, leaseWait} {
		failing := 0
		for seed := range uint64(40) {
			if len(newModel(seed, removed).run()) > 0 {
				failing++
			}
		}
		t.Logf("removal %d: %d of 40 seeds fail", removed, failing)
		if failing == 0 {
			t.Errorf("nothing fails without part %d", removed)
		}
	}
}

// Guards against a holder that repeats a call at once while the provider is in trouble, or that uses its token again after
// a refusal.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	h := Holder{Address: netip.MustParseAddrPort("10.0.0.1:1"), Lease: modelLease, Tolerance: modelTolerance}
	state := control.Duty{Token: 7, Address: h.Address, Work: []control.Work{{Number: 3}}, Next: 4}
	h.Lead(0, true, 1)
	is.Equal(h.Next(0), Confirm)
	h.Confirmed(0, 1, state)
	is.Equal(h.Next(0), Claim) // the last holder need not wait
	h.Claimed(0, 9)
	state.Token = 9
	h.Confirmed(0, 1, state)
	is.Equal(h.Next(0), Call)
	is.Equal(h.Next(2*time.Second), Confirm)
	now := time.Duration(0)
	for _, ms := range []float64{250, 375, 562.5, 843.75, 1265.625, 1898.4375, 2847.65625, 4271.484375, 5000, 5000} {
		wait := time.Duration(ms * float64(time.Millisecond))
		h.Confirmed(now, 1, state)
		is.Equal(h.Next(now), Call)
		h.Called(now, now, Failed)
		is.Equal(h.Next(now+wait-1), Fix) // windows are fixed meanwhile
		now += wait
	}
	h.Confirmed(now, 1, state)
	h.Called(now, now, Refused)
	is.Equal(h.Token(), uint64(0))
	h.Confirmed(now+modelLease-1, 1, state)
	is.Equal(h.Next(now+modelLease-1), Wait)
	is.Equal(h.Next(now+modelLease), Claim)
}
