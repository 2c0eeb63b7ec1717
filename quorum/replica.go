// Package quorum runs a control replica: one goroutine owns the replicated log,
// its journal and the control state, grants leases to entry hosts and feeds them
// the committed commands.
package quorum

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/consensus"
	"wasabirelay/control"
	"wasabirelay/journal"
	"wasabirelay/move"
)

// Default timing of the replicated log. An election ends well within a lease, so
// that entry hosts bridge a change of leader.
const (
	DefaultElectionTimeout   = 400 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
)

const (
	// eventBacklog bounds the events that wait for the control goroutine.
	eventBacklog = 1024
	// snapshotEntries is the least number of entries between snapshots. Beyond it a
	// snapshot is taken when the log has outgrown the last one, so that a restart
	// reads at most about twice the state and snapshots cost no more than the log.
	snapshotEntries = 32
)

// Replica is a control replica. Exported fields are set before Run.
type Replica struct {
	Host string
	// Dir is the data folder.
	Dir string
	// Peers holds the control hosts. It may grow while the replica runs.
	Peers *Peers
	// BootstrapHosts returns the hosts that found a group once all of them are blank, the one
	// that does it first, or nil if this replica may only join one. A nil function
	// stands for the hosts of Peers, which is then complete from the start.
	BootstrapHosts func() []string
	// Inspect returns what a version move is decided on; nil stands for move.Inspect,
	// which looks at the targets in the log.
	Inspect func(v *control.View, service string) *move.Input
	// Changed, if set, is called on the control goroutine after commands were applied.
	Changed func(control.RoutingState)
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Log     zerolog.Logger
	// Election and Heartbeat default to DefaultElectionTimeout and DefaultHeartbeatInterval.
	Election, Heartbeat time.Duration
	// NoLease states that no host works under a lease; see consensus.Node.
	NoLease bool

	events  chan func()
	running context.Context // that of Run, for the goroutines that it starts
	fatal   error

	journal  *journal.Journal
	identity journal.Identity
	founders []string
	group    string          // the hash of founders
	node     *consensus.Node // nil while the replica is blank
	state    control.State
	at       time.Time
	applied  uint64
	compact  uint64
	// logged and compacted are the bytes of the log since the last snapshot and
	// those of the snapshot.
	logged, compacted int
	term              uint64
	role              consensus.Role

	waiters map[uint64]waiter
	feed    feed
	leases  leases
	moves   moves
	senders map[string]*sender
	repair  repair
	reads   reads
}

// Open opens the journal. It is called before Run, so that a damaged journal is
// reported before anything starts. The error may be a *journal.CorruptError; after that
// the folder is no longer in use.
func (r *Replica) Open() (err error) {
	if r.Election == 0 {
		r.Election = DefaultElectionTimeout
	}
	if r.Heartbeat == 0 {
		r.Heartbeat = DefaultHeartbeatInterval
	}
	r.events = make(chan func(), eventBacklog)
	r.waiters = map[uint64]waiter{}
	r.feed.watchers = map[*watcher]bool{}
	r.leases.init()
	r.reads.pending = map[uint64]chan readOutcome{}
	j, saved, err := journal.Open(r.Dir)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	r.journal = j
	defer func() {
		if err != nil {
			_ = j.Close() // the first error is the one to report
		}
	}()
	id, ok := j.Identity()
	if !ok {
		id = journal.NewIdentity(r.Host)
		if err := j.WriteIdentity(id); err != nil {
			return errors.Wrap(err, "write identity")
		}
	}
	if id.Host != r.Host {
		return errors.Errorf("data folder %s belongs to host %s, not to %s", r.Dir, id.Host, r.Host)
	}
	r.identity = id
	if blank(saved) {
		return nil
	}
	founders, err := readFounders(r.Dir)
	if err != nil {
		return err
	}
	r.setFounders(founders)
	if len(founders) == 0 {
		return &journal.CorruptError{File: filepath.Join(r.Dir, groupFile), Reason: "the file is missing, but the log is not empty"}
	}
	return r.start(saved)
}

func (r *Replica) setFounders(founders []string) {
	r.founders, r.group = founders, groupOf(founders)
}

func blank(s consensus.SavedState) bool {
	return s.Snapshot == nil && len(s.Entries) == 0 && s.Hard.Term == 0
}

// start starts the log from saved state.
func (r *Replica) start(saved consensus.SavedState) error {
	if s := saved.Snapshot; s != nil {
		if err := r.restore(s); err != nil {
			return err
		}
	}
	n := &consensus.Node{ID: r.identity.String(), Rand: r.Rand, Election: r.Election, Heartbeat: r.Heartbeat, NoLease: r.NoLease}
	if err := n.Start(r.Clock.Now(), saved); err != nil {
		return errors.Wrap(err, "start replicated log")
	}
	r.node = n
	r.Log.Info().Str("member", n.ID).Strs("voters", saved.Members().Voters).Msg("control replica started")
	return nil
}

func (r *Replica) restore(s *consensus.Snapshot) error {
	r.applied, r.compact, r.compacted = s.Index, s.Index, len(s.Data)
	if len(s.Data) == 0 {
		return nil
	}
	if err := r.state.Restore(s.Data); err != nil {
		return errors.Wrap(err, "restore control state")
	}
	r.changed()
	return nil
}

// Run runs the replica until ctx ends or the journal fails.
func (r *Replica) Run(ctx context.Context) error {
	defer func() {
		if err := r.journal.Close(); err != nil {
			r.Log.Error().Err(err).Msg("journal not closed")
		}
	}()
	r.senders = map[string]*sender{}
	r.running = ctx
	if r.node == nil {
		go r.enter(ctx)
	}
	ticker := r.Clock.NewTicker(r.Heartbeat / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.events:
			f()
		case <-ticker.Chan():
			r.tick()
		}
		if r.fatal != nil {
			return r.fatal
		}
	}
}

func (r *Replica) tick() {
	if r.node == nil {
		return
	}
	now := r.Clock.Now()
	r.handle(r.node.Tick(now))
	r.leases.tick(r, now)
	r.moves.tick(r, now)
	r.repair.tick(r, now)
}

// changed reports the shared part of the state after a change.
func (r *Replica) changed() {
	if r.Changed != nil {
		r.Changed(r.state.RoutingState())
	}
}

// post runs f on the control goroutine. It reports false if ctx ended first.
func (r *Replica) post(ctx context.Context, f func()) bool {
	select {
	case r.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// do runs f on the control goroutine and waits for it.
func (r *Replica) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	if r.post(ctx, func() { f(); close(done) }) {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
		}
	}
	return errors.Wrap(ctx.Err(), "control replica")
}

// handle carries out an output of the log: persist, send, apply, answer reads.
func (r *Replica) handle(out consensus.Output) {
	if !r.persist(out) {
		return
	}
	for i := range out.Messages {
		r.send(&out.Messages[i])
	}
	r.apply(out.Committed)
	r.leases.confirmed(r, out.Reads, out.Aborted)
	r.reads.confirmed(r, out.Reads, out.Aborted)
	r.noteRole()
	r.snapshot()
}

func (r *Replica) persist(out consensus.Output) bool {
	if err := r.journal.Persist(out); err != nil {
		r.fatal = errors.Wrap(err, "save log")
		return false
	}
	if out.Snapshot == nil {
		return true
	}
	if err := r.restore(out.Snapshot); err != nil {
		r.fatal = err
		return false
	}
	r.feed.reset(r)
	return true
}

// noteRole logs a change of role and starts the lease table of a new leader. It
// stops the replica if the log is damaged.
func (r *Replica) noteRole() {
	s := r.node.Status()
	if s.Fault != "" {
		// The group has lost entries that it had accepted; going on would spread that.
		r.fatal = errors.Errorf("the replicated log is damaged: %s", s.Fault)
		return
	}
	if s.Role == r.role && s.Term == r.term {
		return
	}
	lost := r.role == consensus.Leader
	r.role, r.term = s.Role, s.Term
	if lost {
		r.leases.lost()
	}
	if s.Role == consensus.Leader {
		r.Log.Info().Uint64("term", s.Term).Msg("became leader of the control replicas")
		r.leases.elected(r, r.Clock.Now())
		r.moves.elected()
	}
}

// snapshot compacts the log once it has outgrown the last snapshot.
func (r *Replica) snapshot() {
	if r.applied < r.compact+snapshotEntries || r.logged < r.compacted {
		return
	}
	data, err := r.state.Snapshot()
	if err != nil {
		r.fatal = errors.Wrap(err, "encode control state")
		return
	}
	if err := r.node.Compact(r.applied, data); err != nil {
		r.fatal = errors.Wrap(err, "compact log")
		return
	}
	if err := r.journal.SaveSnapshot(r.node.Snapshot()); err != nil {
		r.fatal = errors.Wrap(err, "save snapshot")
		return
	}
	r.compact, r.logged, r.compacted = r.applied, 0, len(data)
}

// hostOf returns the host of a member's identity.
func hostOf(id string) string {
	host, _, _ := strings.Cut(id, "/")
	return host
}
