package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	agreementStep = 10 * time.Millisecond
	// faultTime is how long faults are played, settleTime how long the hosts may need after them.
	faultTime  = 10 * time.Second
	settleTime = 20 * time.Second
)

// faults are the faults of an agreementModel.
type faults struct {
	// loss is the probability of the loss of a message, kill that of a kill in a step, and wipe that of the loss of the disk
	// with a kill.
	loss, kill, wipe float64
	// forgetful plants a fault: a host that has lost its disk takes part again.
	forgetful bool
	// hasty plants a fault: all proposals go without promises.
	hasty bool
}

// modelSeed is a seed with a simulated disk.
type modelSeed struct {
	address         netip.AddrPort
	position        int
	up              bool
	back            time.Duration
	disk            *agreement // nil without a part in the agreement
	incarnation     int
	started, nextAt time.Duration
	proposal        *proposal
	deadline        time.Duration
	seen            ballot
	// group holds the bootstrap members of the group that the host is in. It is durable.
	group []string
	// first is true if the next start is the first one.
	first bool
}

func (s *modelSeed) id() string { return fmt.Sprintf("s%d/%d", s.position, s.incarnation) }

// agreementPacket is a request on its way to a seed, or its response on its way back.
type agreementPacket struct {
	at       time.Duration
	from, to int
	request  AgreeRequest
	response *AgreeResponse
}

// agreementModel plays seeds that agree on bootstrap members, with the decisions of this package, on a network that loses,
// delays and repeats messages.
type agreementModel struct {
	faults
	rand    *rand.Rand
	now     time.Duration
	seeds   []*modelSeed
	list    []netip.AddrPort
	transit []agreementPacket
	// chosen are the lists of members that were chosen.
	chosen [][]string
	wiped  int
}

func newAgreementModel(seed uint64, count int, f faults) *agreementModel {
	m := &agreementModel{faults: f, rand: rand.New(rand.NewPCG(seed, 50))}
	for i := range count {
		m.list = append(m.list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1))
	}
	for i, address := range m.list {
		m.seeds = append(m.seeds, &modelSeed{address: address, position: i, first: true, back: time.Duration(m.rand.IntN(30)) * agreementStep})
	}
	return m
}

func (m *agreementModel) start(s *modelSeed) {
	s.up, s.started, s.nextAt, s.proposal, s.seen = true, m.now, m.now, nil, 0
	if s.disk == nil && s.group == nil && (s.first || m.forgetful) {
		s.disk = &agreement{Seeds: m.list}
	}
	s.first = false
}

func (m *agreementModel) kill(s *modelSeed) {
	s.up, s.back = false, m.now+time.Duration(5+m.rand.IntN(200))*agreementStep
	// The hosts that are wiped leave a majority.
	if m.wiped < len(m.seeds)-majority(len(m.seeds)) && m.rand.Float64() < m.wipe {
		m.wiped++
		s.disk, s.group, s.incarnation = nil, nil, s.incarnation+1
	}
}

// answer is what Replica.answerAgree does.
func (m *agreementModel) answer(s *modelSeed, q *AgreeRequest) *AgreeResponse {
	switch {
	case s.group != nil:
		return &AgreeResponse{Member: true}
	case s.disk == nil:
		return &AgreeResponse{}
	}
	next, response := s.disk.answer(q)
	s.disk = &next
	return response
}

func (m *agreementModel) send(p agreementPacket) {
	for range 1 + m.rand.IntN(2) { // some arrive twice
		if m.rand.Float64() < m.loss {
			continue
		}
		p.at = m.now + time.Duration(1+m.rand.IntN(10))*agreementStep
		if m.loss > 0 && m.rand.IntN(20) == 0 {
			p.at += time.Duration(m.rand.IntN(300)) * agreementStep
		}
		m.transit = append(m.transit, p)
	}
}

// ask sends the request of a proposal to all seeds, first to its own.
func (m *agreementModel) ask(s *modelSeed) {
	for s.proposal.state == proposed {
		q := s.proposal.request
		s.proposal.handle(s.address, &q, m.answer(s, &q))
		if m.rand.Float64() < m.killRate() {
			m.kill(s)
			return
		}
		if !s.proposal.isPending(&q) {
			continue
		}
		for _, other := range m.seeds {
			if other != s {
				m.send(agreementPacket{from: s.position, to: other.position, request: q})
			}
		}
		s.deadline = m.now + agreeTimeout
		return
	}
	m.finish(s)
}

// killRate is the probability of a kill at a step of a proposal, where it does most harm.
func (m *agreementModel) killRate() float64 { return 20 * m.faults.kill }

func (m *agreementModel) finish(s *modelSeed) {
	p := s.proposal
	s.proposal, s.seen = nil, max(s.seen, p.seen)
	s.nextAt = m.now + time.Duration(m.rand.Int64N(int64(proposeBackoff)))
	if p.state != chosen {
		return
	}
	m.chosen = append(m.chosen, p.request.Members)
	if m.rand.Float64() < m.killRate() {
		m.kill(s)
		return
	}
	if slices.Contains(p.request.Members, s.id()) {
		s.group = p.request.Members
	}
}

// poll is what Replica.findGroup does. It sees hosts that are up, unless the poll is lost.
func (m *agreementModel) poll(s *modelSeed) {
	others, bySeed := map[string]Hello{}, map[netip.AddrPort]Hello{}
	for _, o := range m.seeds {
		if o == s || !o.up || m.rand.Float64() < m.loss {
			continue
		}
		h := Hello{ID: o.id(), Agreement: TakesPart, Members: o.group, BootstrapMembers: o.group, Agreed: o.disk.hasAccepted(o.group)}
		others[fmt.Sprint("s", o.position)], bySeed[o.address] = h, h
	}
	d := decideMembership(s.id(), s.disk, len(m.seeds), bySeed, others)
	switch {
	case d.adopt != nil:
		if d.agreed || m.answer(s, &AgreeRequest{Seeds: m.list, Ballot: firstBallot, Members: d.adopt}).Granted {
			s.group = d.adopt
		}
		return
	case d.join != "":
		s.group = others[d.join].BootstrapMembers
		if s.disk != nil {
			ended := *s.disk
			ended.Ended = true
			s.disk = &ended
		}
		return
	case !s.disk.isOpen():
		return
	}
	age := m.now - s.started
	view := bootstrapView{position: s.position, seeds: len(m.seeds), responding: len(bySeed) + 1, age: age, quiet: age}
	if !view.mayPropose() {
		return
	}
	members := []string{s.id()}
	for _, h := range others {
		members = append(members, h.ID)
	}
	slices.Sort(members)
	s.proposal = newProposal(s.disk, s.seen, s.position, members)
	if m.hasty {
		s.proposal.request.Members = members
	}
	m.ask(s)
}

func (m *agreementModel) step(calm bool) {
	m.now += agreementStep
	var due []agreementPacket
	m.transit = slices.DeleteFunc(m.transit, func(p agreementPacket) bool {
		if p.at <= m.now {
			due = append(due, p)
		}
		return p.at <= m.now
	})
	m.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		to := m.seeds[p.to]
		switch {
		case !to.up:
		case p.response == nil:
			p.response = m.answer(to, &p.request)
			p.from, p.to = p.to, p.from
			m.send(p)
		case to.proposal != nil && to.proposal.isPending(&p.request):
			if to.proposal.handle(m.list[p.from], &p.request, p.response); !to.proposal.isPending(&p.request) {
				m.ask(to)
			}
		}
	}
	for _, s := range m.seeds {
		switch {
		case !s.up:
			if m.now >= s.back {
				m.start(s)
			}
		case !calm && m.rand.Float64() < m.faults.kill:
			m.kill(s)
		case s.proposal != nil && m.now >= s.deadline:
			s.proposal.state = abandoned
			m.finish(s)
		case s.proposal == nil && s.group == nil && m.now >= s.nextAt:
			s.nextAt = m.now + pollInterval
			m.poll(s)
		}
	}
}

// play plays faults and the time after them. It returns what was broken, or "".
func (m *agreementModel) play() string {
	for m.now < faultTime {
		m.step(false)
	}
	m.loss, m.faults.kill, m.wipe = 0, 0, 0
	for m.now < faultTime+settleTime {
		m.step(true)
	}
	groups := slices.Clone(m.chosen)
	for _, s := range m.seeds {
		if s.group == nil {
			return fmt.Sprintf("s%d is in no group %s after the last fault", s.position, settleTime)
		}
		groups = append(groups, s.group)
	}
	for _, g := range groups {
		if !slices.Equal(g, groups[0]) {
			return fmt.Sprintf("two groups: %s and %s", groups[0], g)
		}
	}
	return ""
}

// playAll plays many seeds and returns the number of those that broke something.
func playAll(t *testing.T, runs int, f faults) (broken int) {
	t.Helper()
	for seed := range uint64(runs) {
		for _, count := range []int{1, 2, 3, 5} {
			m := newAgreementModel(seed, count, f)
			if what := m.play(); what != "" {
				if broken++; broken == 1 {
					t.Logf("seed %d, %d seeds: %s", seed, count, what)
				}
			}
		}
	}
	return broken
}

// Guards against two groups, and against none once a majority of the seeds stays up: messages are lost, late and repeated,
// hosts are killed at any step, and some lose their disks.
func TestAgreement(t *testing.T) {
	for _, f := range []faults{{}, {loss: 0.2}, {loss: 0.1, kill: 0.005}, {loss: 0.1, kill: 0.01, wipe: 0.1}, {kill: 0.02, wipe: 0.3}} {
		if broken := playAll(t, 300, f); broken > 0 {
			t.Errorf("%+v: %d plays broken", f, broken)
		}
	}
}

// Guards against a model that finds nothing.
func TestAgreementModel(t *testing.T) {
	is := is.New(t)
	is.True(playAll(t, 300, faults{loss: 0.1, kill: 0.01, wipe: 0.3, forgetful: true}) > 0)
	is.True(playAll(t, 300, faults{loss: 0.2, kill: 0.01, hasty: true}) > 0)
}

// Guards against members that are proposed by a host that is no seed, without a majority, or beside a first seed that does so
// itself, and against a start that waits for a seed for good.
func TestMayPropose(t *testing.T) {
	for _, tt := range []struct {
		name string
		view bootstrapView
		want bool
	}{
		{"the first seed, all respond", bootstrapView{position: 0, seeds: 3, responding: 3, age: 2 * time.Second, quiet: bootstrapDelay}, true},
		{"a host was just discovered", bootstrapView{position: 0, seeds: 3, responding: 3, age: time.Minute, quiet: bootstrapDelay - 1}, false},
		{"a seed is silent at first", bootstrapView{position: 0, seeds: 3, responding: 2, age: 2 * time.Second, quiet: 2 * time.Second}, false},
		{"a seed stays silent", bootstrapView{position: 0, seeds: 3, responding: 2, age: missingSeedDelay, quiet: 2 * time.Second}, true},
		{"no majority responds", bootstrapView{position: 0, seeds: 3, responding: 1, age: time.Hour, quiet: time.Hour}, false},
		{"one of two responds", bootstrapView{position: 0, seeds: 2, responding: 1, age: time.Hour, quiet: time.Hour}, false},
		{"not a seed", bootstrapView{position: -1, seeds: 3, responding: 3, age: time.Hour, quiet: time.Hour}, false},
		{"the second seed leaves it to the first", bootstrapView{position: 1, seeds: 3, responding: 3, age: missingSeedDelay, quiet: 2 * time.Second}, false},
		{"the first seed has not proposed", bootstrapView{position: 1, seeds: 3, responding: 2, age: missingSeedDelay + positionDelay, quiet: 2 * time.Second}, true},
		{"the first seed is of an earlier version", bootstrapView{position: 1, seeds: 3, responding: 3, firstIsOlder: true, age: 9 * time.Second, quiet: 8 * time.Second}, false},
		{"the first seed is of an earlier version and bootstraps nothing", bootstrapView{position: 1, seeds: 3, responding: 3, firstIsOlder: true, age: olderSeedDelay + positionDelay, quiet: 8 * time.Second}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.view.mayPropose(), tt.want)
		})
	}
}

// Guards against a group of an earlier version, which nobody has agreed on, beside one that the seeds agree on.
func TestDecideMembership(t *testing.T) {
	group, otherGroup := []string{"a/1", "b/1", "c/1"}, []string{"b/1", "c/1", "d/1"}
	seed := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1) }
	in := func(id string, members []string, agreed bool) Hello {
		return Hello{ID: id, Members: members, BootstrapMembers: members, Agreed: agreed}
	}
	bound := &agreement{Accepted: 2, Members: otherGroup}
	for _, tt := range []struct {
		name    string
		own     *agreement
		seeds   map[netip.AddrPort]Hello
		outside map[string]Hello
		want    groupDecision
	}{
		{"no group", &agreement{}, map[netip.AddrPort]Hello{seed(1): {ID: "a/1"}}, nil, groupDecision{}},
		{"agreed", nil, map[netip.AddrPort]Hello{seed(1): in("a/1", group, true)}, nil, groupDecision{adopt: group, agreed: true}},
		{"agreed without this host", nil, map[netip.AddrPort]Hello{seed(1): in("a/1", []string{"a/1"}, true)}, nil, groupDecision{join: "a"}},
		{"accepted here", &agreement{Accepted: 2, Members: group}, map[netip.AddrPort]Hello{seed(1): in("a/1", group, false)}, nil, groupDecision{adopt: group, agreed: true}},
		{"of an earlier version, this host may accept it", &agreement{}, map[netip.AddrPort]Hello{seed(1): in("a/1", group, false)}, nil, groupDecision{adopt: group}},
		{"of an earlier version, this host is bound to another one", bound, map[netip.AddrPort]Hello{seed(1): in("a/1", group, false)}, nil, groupDecision{adopt: group}},
		{"of an earlier version, no part in the agreement", nil, map[netip.AddrPort]Hello{seed(1): in("a/1", group, false)}, nil, groupDecision{}},
		{"of an earlier version, a majority is in it", nil, map[netip.AddrPort]Hello{seed(1): in("a/1", group, false), seed(2): in("b/1", group, false)}, nil, groupDecision{adopt: group, agreed: true}},
		{"of an earlier version, hosts that are no seeds are in it", nil, nil, map[string]Hello{"b": in("b/1", group, false), "d": in("d/1", group, false)}, groupDecision{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			others := maps.Clone(tt.outside)
			if others == nil {
				others = map[string]Hello{}
			}
			for _, h := range tt.seeds {
				others[hostOf(h.ID)] = h
			}
			got := decideMembership("c/1", tt.own, 3, tt.seeds, others)
			is := is.New(t)
			is.Equal(got, tt.want)
		})
	}
}

// Guards against a host that adopts a group which nobody has agreed on although it has accepted other members.
func TestBoundHostRefusesFirstBallot(t *testing.T) {
	is := is.New(t)
	bound := agreement{Promised: 2, Accepted: 2, Members: []string{"b/1"}}
	_, response := bound.answer(&AgreeRequest{Ballot: firstBallot, Members: []string{"a/1"}})
	is.True(!response.Granted)
	is.Equal(response.Members, bound.Members)
}
