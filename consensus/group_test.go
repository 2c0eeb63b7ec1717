package consensus_test

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	. "wasabirelay/consensus"
)

const (
	election  = 100 * time.Millisecond
	heartbeat = 20 * time.Millisecond
	step      = 5 * time.Millisecond

	// Snapshots are frequent and few older entries are retained, so that members
	// often need a snapshot.
	snapshotInterval = 40
	trailing         = 20
)

// member is a node with its simulated disk and its state machine, which is a hash of
// the applied entries.
type member struct {
	node       *Node
	disk       SavedState
	up, frozen bool
	applied    uint64
	hash       uint64
}

type packet struct {
	at time.Time
	m  Message
}

// group runs members over a simulated network and checks the guarantees of the
// package after every call.
type group struct {
	t         rapid.TB
	now       time.Time
	rand      *rand.Rand
	members   map[string]*member
	inTransit []packet
	cut       map[[2]string]bool // by sender and receiver
	faulty    bool               // drop, duplicate and delay messages; crash members
	observers []func(m Message)  // called with every message that is sent

	leaders   map[uint64]string // by term
	votes     map[string]string // by voter and term
	history   []uint64          // state hash by committed index
	reads     map[uint64]uint64 // index committed when the read began
	confirmed map[uint64]bool
	nextID    uint64
}

func newGroup(t rapid.TB, seed uint64, ids ...string) *group {
	g := &group{
		t: t, now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, 1)), history: []uint64{0},
		members: map[string]*member{}, cut: map[[2]string]bool{}, leaders: map[uint64]string{},
		votes: map[string]string{}, reads: map[uint64]uint64{}, confirmed: map[uint64]bool{},
	}
	for _, id := range ids {
		g.join(id, Bootstrap(ids))
	}
	return g
}

func (g *group) join(id string, saved SavedState) {
	g.members[id] = &member{disk: saved}
	g.start(id)
}

// start starts a member from its disk.
func (g *group) start(id string) {
	m := g.members[id]
	m.node = &Node{
		ID: id, Rand: rand.New(rand.NewPCG(g.rand.Uint64(), 2)), Election: election, Heartbeat: heartbeat,
		MaxBatch: 16, MaxInflight: 4, Trailing: trailing,
	}
	m.up, m.applied, m.hash = true, 0, 0
	if s := m.disk.Snapshot; s != nil {
		m.applied, m.hash = s.Index, binary.LittleEndian.Uint64(s.Data)
	}
	if err := m.node.Start(g.now, m.disk); err != nil {
		g.t.Fatalf("failed to start %s: %v", id, err)
	}
}

func (g *group) ids() []string { return slices.Sorted(maps.Keys(g.members)) }

// handle processes an output as the package requires of its caller, and checks it.
func (g *group) handle(id string, out Output) {
	m := g.members[id]
	if m.up = !g.chance(2000); !m.up {
		return // crashed before anything was saved
	}
	m.persist(out)
	if m.up = !g.chance(2000); !m.up {
		return // crashed before anything was sent
	}
	g.checkStatus(id)
	for _, msg := range out.Messages {
		g.checkMessage(id, msg)
		g.transmit(msg)
	}
	if s := out.Snapshot; s != nil {
		m.applied, m.hash = s.Index, binary.LittleEndian.Uint64(s.Data)
		g.checkHistory(id, s.Index, m.hash)
	}
	for _, e := range out.Committed {
		g.apply(id, e)
	}
	for _, r := range out.Reads {
		if r.Index < g.reads[r.ID] {
			g.t.Fatalf("%s confirmed read %d at %d, but %d was committed before it began", id, r.ID, r.Index, g.reads[r.ID])
		}
		g.confirmed[r.ID] = true
	}
	if s := m.node.Snapshot(); m.applied >= snapshotInterval && (s == nil || m.applied >= s.Index+snapshotInterval) {
		g.compact(id)
	}
}

func (m *member) persist(out Output) {
	if out.Hard != nil {
		m.disk.Hard = *out.Hard
	}
	if len(out.Entries) > 0 {
		replaced := func(e Entry) bool { return e.Index >= out.Entries[0].Index }
		m.disk.Entries = append(slices.DeleteFunc(slices.Clone(m.disk.Entries), replaced), out.Entries...)
	}
	if out.Snapshot != nil {
		m.disk.Snapshot, m.disk.Entries = out.Snapshot, nil
	}
}

func (g *group) compact(id string) {
	m := g.members[id]
	if err := m.node.Compact(m.applied, binary.LittleEndian.AppendUint64(nil, m.hash)); err != nil {
		g.t.Fatalf("%s: %v", id, err)
	}
	m.disk.Snapshot = m.node.Snapshot()
	m.disk.Entries = slices.DeleteFunc(slices.Clone(m.disk.Entries), func(e Entry) bool { return e.Index <= m.applied })
}

func (g *group) apply(id string, e Entry) {
	m := g.members[id]
	if e.Index != m.applied+1 {
		g.t.Fatalf("%s applied %d after %d", id, e.Index, m.applied)
	}
	m.applied = e.Index
	m.hash = xxhash.Sum64String(fmt.Sprintf("%d %d %d %s %x %v", m.hash, e.Index, e.Term, e.Kind, e.Data, e.Members))
	g.checkHistory(id, e.Index, m.hash)
}

// checkHistory fails if the members have committed different entries.
func (g *group) checkHistory(id string, index, hash uint64) {
	if index == uint64(len(g.history)) {
		g.history = append(g.history, hash)
	}
	if index > uint64(len(g.history)) || g.history[index] != hash {
		g.t.Fatalf("%s committed a different entry at index %d", id, index)
	}
}

// checkStatus fails if there are two leaders in one term, or if a configuration differs
// from the saved one.
func (g *group) checkStatus(id string) {
	s, saved := g.members[id].node.Status(), g.members[id].disk.Members()
	if s.Fault != "" || fmt.Sprint(s.Members) != fmt.Sprint(saved) {
		g.t.Fatalf("%s has members %v, but has saved %v; fault %q", id, s.Members, saved, s.Fault)
	}
	if s.Role != Leader {
		return
	}
	if other, ok := g.leaders[s.Term]; ok && other != id {
		g.t.Fatalf("%s and %s both lead term %d", id, other, s.Term)
	}
	g.leaders[s.Term] = id
}

// checkMessage fails on a vote or an acknowledgement that is not on disk, on a vote or
// a candidacy of a member that may not vote, and on two votes in one term.
func (g *group) checkMessage(id string, msg Message) {
	disk := g.members[id].disk
	last := uint64(len(disk.Entries))
	if disk.Snapshot != nil {
		last += disk.Snapshot.Index
	}
	campaigning, candidate := msg.Kind == Vote || msg.Kind == PreVote, id
	voting := !msg.Reject && (msg.Kind == AckVote || msg.Kind == AckPreVote)
	if voting {
		candidate = msg.To
	}
	switch {
	case campaigning && !disk.Members().Voter(id), voting && !disk.Members().CanVote(id):
		g.t.Fatalf("%s may not vote, but sends %+v", id, msg)
	case msg.Kind == AckAppend && !msg.Reject && msg.Index > last:
		g.t.Fatalf("%s acknowledges index %d, but has saved only %d", id, msg.Index, last)
	case msg.Kind == Vote || voting && msg.Kind == AckVote:
		vote := fmt.Sprint(id, " in term ", msg.Term)
		if other, ok := g.votes[vote]; ok && other != candidate || disk.Hard != (HardState{Term: msg.Term, Vote: candidate}) {
			g.t.Fatalf("%s votes for %s, voted for %q, and has saved %+v", vote, candidate, other, disk.Hard)
		}
		g.votes[vote] = candidate
	}
}

// chance returns true on average once in n calls while faults are enabled.
func (g *group) chance(n int) bool { return g.faulty && g.rand.IntN(n) == 0 }

// transmit sends a message over the simulated network, which may delay, duplicate or drop it.
func (g *group) transmit(m Message) {
	for _, observe := range g.observers {
		observe(m)
	}
	if g.cut[[2]string{m.From, m.To}] || g.chance(20) {
		return
	}
	for copies := 1; copies > 0; copies-- {
		delay := time.Millisecond
		if g.faulty {
			delay += time.Duration(g.rand.Int64N(int64(heartbeat)))
		}
		if g.chance(50) {
			delay += time.Duration(g.rand.Int64N(int64(3 * election)))
		}
		if g.chance(20) {
			copies++
		}
		g.inTransit = append(g.inTransit, packet{g.now.Add(delay), m})
	}
}

// run advances the time, delivers the packets that are due and ticks every running member.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(step)
		g.deliver()
		for _, id := range g.ids() {
			if node := g.members[id].node; g.running(id) && !g.now.Before(node.NextTick()) {
				g.handle(id, node.Tick(g.now))
			}
		}
	}
}

// deliver delivers the packets that are due. Packets for a frozen member wait until
// it resumes, as they would in its socket buffer.
func (g *group) deliver() {
	packets := g.inTransit
	g.inTransit = nil
	for _, p := range packets {
		m := g.members[p.m.To]
		switch {
		case m == nil || !m.up: // dropped
		case p.at.After(g.now) || m.frozen:
			g.inTransit = append(g.inTransit, p)
		default:
			g.handle(p.m.To, m.node.Step(g.now, p.m))
		}
	}
}

// leader returns the running leader with the largest term, or "".
func (g *group) leader() string {
	best, term := "", uint64(0)
	for _, id := range g.ids() {
		m := g.members[id]
		if s := m.node.Status(); g.running(id) && s.Role == Leader && s.Term > term {
			best, term = id, s.Term
		}
	}
	return best
}

// elect runs until there is a leader that has committed an entry of its term, and returns it.
func (g *group) elect() string {
	g.t.Helper()
	for range 200 {
		if id := g.leader(); id != "" && g.status(id).Ready {
			return id
		}
		g.run(step)
	}
	g.t.Fatalf("no leader has been elected")
	return ""
}

// running reports whether the member is neither crashed nor frozen.
func (g *group) running(id string) bool {
	m := g.members[id]
	return m.up && !m.frozen
}

func (g *group) status(id string) Status { return g.members[id].node.Status() }

func (g *group) propose(id string, count int) {
	for range count {
		if !g.running(id) {
			return
		}
		g.nextID++
		_, out, err := g.members[id].node.Propose(g.now, binary.LittleEndian.AppendUint64(nil, g.nextID))
		if err == nil {
			g.handle(id, out)
		}
	}
}

// read starts a read and returns its ID, or 0 if it is refused.
func (g *group) read(id string) uint64 {
	if !g.running(id) {
		return 0
	}
	g.nextID++
	out, err := g.members[id].node.Read(g.now, g.nextID)
	if err != nil {
		return 0
	}
	read := g.nextID
	g.reads[read] = uint64(len(g.history) - 1)
	g.handle(id, out)
	return read
}

func (g *group) change(id string, action Action, target string) error {
	if !g.running(id) {
		return nil
	}
	_, out, err := g.members[id].node.Change(g.now, MembershipChange{Action: action, ID: target})
	if err == nil {
		g.handle(id, out)
	}
	return err
}

// isolate cuts the links of a member in the given directions.
func (g *group) isolate(id string, inbound, outbound bool) {
	for _, other := range g.ids() {
		g.cut[[2]string{other, id}] = g.cut[[2]string{other, id}] || inbound
		g.cut[[2]string{id, other}] = g.cut[[2]string{id, other}] || outbound
	}
}

// others returns the members except id.
func (g *group) others(id string) []string {
	return slices.DeleteFunc(g.ids(), func(other string) bool { return other == id })
}

// count returns a counter of the matching messages that are sent from now on.
func (g *group) count(matches func(m Message) bool) *int {
	count := new(int)
	g.observers = append(g.observers, func(m Message) {
		if matches(m) {
			*count++
		}
	})
	return count
}
