package consensus_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	. "wasabirelay/consensus"
)

const (
	election  = 100 * time.Millisecond
	heartbeat = 20 * time.Millisecond
	step      = 5 * time.Millisecond
)

// failer is a *testing.T or a *rapid.T.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// member is a node with its disk and its state machine, which is a hash of the
// applied entries.
type member struct {
	node       *Node
	disk       Saved
	up, frozen bool
	applied    uint64
	hash       uint64
}

type packet struct {
	at time.Time
	m  Message
}

// group runs members over a simulated network and checks the promises of the
// package after every call.
type group struct {
	t       failer
	now     time.Time
	rand    *rand.Rand
	members map[string]*member
	wire    []packet
	cut     map[[2]string]bool // from, to
	faulty  bool               // drop, duplicate, delay, crash
	sent    map[Kind]int

	leaders map[uint64]string            // by term
	votes   map[uint64]map[string]string // by term and voter
	history []uint64                     // state hash by committed index
	reads   map[uint64]uint64            // index committed when the read began
	done    map[uint64]bool
	nextID  uint64
}

func newGroup(t failer, seed uint64, ids ...string) *group {
	g := &group{
		t: t, now: time.Unix(0, 0), rand: rand.New(rand.NewPCG(seed, 1)), history: []uint64{0},
		members: map[string]*member{}, cut: map[[2]string]bool{}, sent: map[Kind]int{}, leaders: map[uint64]string{},
		votes: map[uint64]map[string]string{}, reads: map[uint64]uint64{}, done: map[uint64]bool{},
	}
	for _, id := range ids {
		g.join(id, Found(ids))
	}
	return g
}

func (g *group) join(id string, saved Saved) {
	g.members[id] = &member{disk: saved}
	g.start(id)
}

// start starts a member from its disk.
func (g *group) start(id string) {
	m := g.members[id]
	m.node = &Node{
		ID: id, Rand: rand.New(rand.NewPCG(g.rand.Uint64(), 2)), Election: election, Heartbeat: heartbeat,
		MaxBatch: 8, MaxInflight: 4,
	}
	m.up, m.applied, m.hash = true, 0, 0
	if s := m.disk.Snapshot; s != nil {
		m.applied, m.hash = s.Index, binary.LittleEndian.Uint64(s.Data)
	}
	saved := m.disk
	saved.Entries = slices.Clone(saved.Entries)
	if err := m.node.Start(g.now, saved); err != nil {
		g.t.Fatalf("%s does not restart: %v", id, err)
	}
}

func (g *group) ids() []string {
	ids := make([]string, 0, len(g.members))
	for id := range g.members {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// handle does what the package asks of its caller, and checks the output.
func (g *group) handle(id string, out Output) {
	m := g.members[id]
	crash := -1
	if g.faulty && g.rand.IntN(1000) == 0 {
		crash = g.rand.IntN(2)
	}
	if crash == 0 {
		m.up = false
		return
	}
	m.persist(out)
	if crash == 1 {
		m.up = false
		return
	}
	g.checkLeader(id)
	for _, msg := range out.Messages {
		g.checkPromise(id, msg)
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
		g.done[r.ID] = true
	}
	// Snapshots are frequent, so that members often need one.
	if s := m.node.Snapshot(); m.up && m.applied > 40 && (s == nil || m.applied >= s.Index+300) {
		g.compact(id)
	}
}

func (m *member) persist(out Output) {
	if out.Hard != nil {
		m.disk.Hard = *out.Hard
	}
	if len(out.Entries) > 0 {
		kept := slices.IndexFunc(m.disk.Entries, func(e Entry) bool { return e.Index >= out.Entries[0].Index })
		if kept >= 0 {
			m.disk.Entries = slices.Clone(m.disk.Entries[:kept])
		}
		m.disk.Entries = append(m.disk.Entries, out.Entries...)
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

// checkHistory guards against committed entries that differ between members.
func (g *group) checkHistory(id string, index, hash uint64) {
	if index == uint64(len(g.history)) {
		g.history = append(g.history, hash)
	}
	if index > uint64(len(g.history)) || g.history[index] != hash {
		g.t.Fatalf("%s committed something else at index %d", id, index)
	}
}

// checkLeader guards against two leaders in one term.
func (g *group) checkLeader(id string) {
	s := g.members[id].node.Status()
	if s.Fault != "" {
		g.t.Fatalf("%s: %s", id, s.Fault)
	}
	if s.Role != Leader {
		return
	}
	if other, ok := g.leaders[s.Term]; ok && other != id {
		g.t.Fatalf("%s and %s both lead term %d", id, other, s.Term)
	}
	g.leaders[s.Term] = id
}

// checkPromise guards against promises that are not on disk, and against votes
// and candidacies of members that are not voters.
func (g *group) checkPromise(id string, msg Message) {
	disk := g.members[id].disk
	last := uint64(0)
	if disk.Snapshot != nil {
		last = disk.Snapshot.Index
	}
	if k := len(disk.Entries); k > 0 {
		last = disk.Entries[k-1].Index
	}
	standing := msg.Kind == Vote || msg.Kind == PreVote
	voting := !msg.Reject && (msg.Kind == AckVote || msg.Kind == AckPreVote)
	switch {
	case standing && !disk.Members().Voter(id), voting && !disk.Members().Elector(id):
		g.t.Fatalf("%s is not a voter, but sends %+v", id, msg)
	case msg.Kind == AckAppend && !msg.Reject && msg.Index > last:
		g.t.Fatalf("%s acknowledges index %d, but has saved only %d", id, msg.Index, last)
	case msg.Kind == AckVote && !msg.Reject:
		g.checkVote(id, msg.To, msg.Term, disk.Hard)
	case msg.Kind == Vote:
		g.checkVote(id, id, msg.Term, disk.Hard)
	}
}

func (g *group) checkVote(voter, candidate string, term uint64, saved HardState) {
	if saved != (HardState{Term: term, Vote: candidate}) {
		g.t.Fatalf("%s votes for %s in term %d, but has saved %+v", voter, candidate, term, saved)
	}
	if g.votes[term] == nil {
		g.votes[term] = map[string]string{}
	}
	if other, ok := g.votes[term][voter]; ok && other != candidate {
		g.t.Fatalf("%s votes for %s and %s in term %d", voter, other, candidate, term)
	}
	g.votes[term][voter] = candidate
}

// transmit puts a message on the wire, possibly late, twice or not at all.
func (g *group) transmit(m Message) {
	g.sent[m.Kind]++
	if g.cut[[2]string{m.From, m.To}] || g.faulty && g.rand.IntN(20) == 0 {
		return
	}
	copies := 1
	if g.faulty && g.rand.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond
		if g.faulty {
			delay += time.Duration(g.rand.Int64N(int64(heartbeat)))
		}
		if g.faulty && g.rand.IntN(50) == 0 {
			delay += time.Duration(g.rand.Int64N(int64(3 * election)))
		}
		g.wire = append(g.wire, packet{g.now.Add(delay), m})
	}
}

// run advances the time, delivers what is due and ticks every running member.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(step)
		g.deliver()
		for _, id := range g.ids() {
			if m := g.members[id]; g.running(id) {
				g.handle(id, m.node.Tick(g.now))
			}
		}
	}
}

// deliver hands over the packets that are due. Packets for a frozen member wait
// until it resumes, as they would in its socket.
func (g *group) deliver() {
	wire := g.wire
	g.wire = nil
	for _, p := range wire {
		m := g.members[p.m.To]
		switch {
		case m == nil || !m.up: // dropped
		case p.at.After(g.now) || m.frozen:
			g.wire = append(g.wire, p)
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
		if s := m.node.Status(); m.up && !m.frozen && s.Role == Leader && s.Term > term {
			best, term = id, s.Term
		}
	}
	return best
}

// elect runs until there is a leader that has committed an entry of its term.
func (g *group) elect() string {
	g.t.Helper()
	for range 200 {
		if id := g.leader(); id != "" && g.status(id).Ready {
			return id
		}
		g.run(step)
	}
	g.t.Fatalf("no leader is elected")
	return ""
}

// running reports whether the member handles calls.
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

// read starts a read and returns its identifier, or 0 if it is refused.
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

func (g *group) change(id string, action Action, who string) error {
	if !g.running(id) {
		return nil
	}
	_, out, err := g.members[id].node.Change(g.now, Membership{Action: action, ID: who})
	if err == nil {
		g.handle(id, out)
	}
	return err
}

// isolate cuts or restores the links of a member in the given directions.
func (g *group) isolate(id string, cut, inbound, outbound bool) {
	for _, other := range g.ids() {
		if inbound {
			g.cut[[2]string{other, id}] = cut
		}
		if outbound {
			g.cut[[2]string{id, other}] = cut
		}
	}
}
