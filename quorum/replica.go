// Package quorum runs a control replica. A single goroutine, the control goroutine,
// owns the replicated log, its journal and the control state. The leader grants leases
// to entry hosts; every replica feeds committed commands to the hosts that subscribe.
package quorum

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/consensus"
	"wasabirelay/control"
	"wasabirelay/journal"
	"wasabirelay/move"
)

// Default timing of the replicated log. An election takes much less time than a lease,
// so that entry hosts keep their leases over a change of leader.
const (
	DefaultElectionTimeout   = 400 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultLeaveTimeout      = 2 * time.Second
)

const (
	// eventBacklog is the capacity of the control goroutine's event queue.
	eventBacklog = 1024
	// snapshotEntries is the minimum number of entries between two snapshots. After
	// that many entries, a snapshot is taken once the log is as large as the last
	// snapshot. A restart then reads at most about twice the size of the state, and
	// writing snapshots costs no more than writing the log.
	snapshotEntries = 32
)

// Replica is a control replica. Exported fields must be set before Open and Run.
type Replica struct {
	Host string
	// Dir is the data directory, Disk opens the journal in it.
	Dir  string
	Disk journal.Disk
	// Peers holds the control hosts. Hosts may be added while the replica runs.
	Peers *Peers
	// Bootstrap lets a majority of seeds bootstrap a group. If it is nil, all hosts of Peers have to be there, and
	// Peers must be complete from the start.
	Bootstrap *Bootstrap
	// MinVoters is the least number of voters of a complete group. A group that was
	// bootstrapped with more hosts has as many voters as that; further hosts are spare.
	MinVoters int
	// Centre returns the data centre of a control host, or "" if it is not known. If it is set,
	// the voters are spread over the data centres.
	Centre func(host string) string
	// MoveInput returns the input for the decisions on a version move. The default is
	// move.NewInput, which uses the targets in the log.
	MoveInput func(v *control.View, service string) *move.Input
	// Changed, if set, is called on the control goroutine after commands are applied.
	Changed func(control.RoutingState)
	// DutiesChanged, if set, is called like Changed with the duties, which must not be modified.
	DutiesChanged func(map[string]control.Duty)
	Clock         clockwork.Clock
	Rand          *rand.Rand
	Log           zerolog.Logger
	// Election is the election timeout and Heartbeat the heartbeat interval. They
	// default to DefaultElectionTimeout and DefaultHeartbeatInterval.
	Election, Heartbeat time.Duration
	// LeaveTimeout bounds how long Leave waits for a replacement of the vote; it defaults to
	// DefaultLeaveTimeout.
	LeaveTimeout time.Duration
	// NoLease is true if no host works under a lease; see consensus.Node.
	NoLease bool

	events chan func()
	fatal  error

	identity journal.Identity
	// agreement is the part that this host has in the agreement on bootstrap members; nil if it has none.
	agreement *agreement
	// seenBallot is the highest ballot that another seed has told.
	seenBallot ballot
	// diskFailing is true while the disk refuses writes.
	diskFailing atomic.Bool
	hasLeader   atomic.Bool
	memory
}

// memory is what a replica loses when its process ends, and reads back from its journal or learns
// from the group.
type memory struct {
	journal          *journal.Journal
	bootstrapMembers []string
	groupID          string          // hash of bootstrapMembers
	node             *consensus.Node // nil while the replica is in no group
	state            control.State
	lastTimestamp    time.Time
	applied          uint64
	snapshotIndex    uint64
	// logBytes is the size of the entries applied since the last snapshot, snapshotBytes the
	// size of that snapshot.
	logBytes, snapshotBytes int
	term                    uint64
	role                    consensus.Role

	waiters map[uint64]waiter
	fence   fence
	feed    feed
	leases  leases
	moves   moves
	senders map[string]*sender
	repair  repair
	health  groupHealth
	rejoin  rejoin
	reads   reads
	// membership is the context for the goroutines of a membership, endMembership ends it.
	membership    context.Context //nolint:containedctx // the goroutines outlive the call that starts them
	endMembership context.CancelFunc
}

func newMemory() memory {
	m := memory{waiters: map[uint64]waiter{}, senders: map[string]*sender{}}
	m.feed.watchers = map[*watcher]bool{}
	m.leases.init()
	m.repair.leaving = map[string]time.Time{}
	m.reads.pending = map[uint64]chan readOutcome{}
	return m
}

// Open opens the journal. It must be called before Run, so that a damaged journal is
// reported before anything starts. The error may be a *journal.CorruptError. If Open
// fails, the journal is closed and its directory is unlocked. A disk that refuses writes is no
// error: Run waits until it takes them.
func (r *Replica) Open() error {
	if r.Election == 0 {
		r.Election = DefaultElectionTimeout
	}
	if r.Heartbeat == 0 {
		r.Heartbeat = DefaultHeartbeatInterval
	}
	if r.LeaveTimeout == 0 {
		r.LeaveTimeout = DefaultLeaveTimeout
	}
	r.events = make(chan func(), eventBacklog)
	r.memory = newMemory()
	err := r.load()
	if !isStorageFailure(err) {
		return err
	}
	id, ok, identityErr := journal.ReadIdentity(r.Dir)
	if !ok || identityErr != nil {
		return err // a host without an identity has nothing to serve
	}
	r.identity, r.journal, r.fatal = id, nil, storageFailed(err, "read the journal") // Run tries again
	return nil
}

// load opens the journal and starts the log from it, if there is any.
func (r *Replica) load() (err error) {
	j, saved, err := r.Disk.Open(r.Dir)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	r.journal = j
	defer func() {
		if err != nil {
			_ = j.Close() // Open returns the first error.
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
		return errors.Errorf("data directory %s belongs to host %s, not %s", r.Dir, id.Host, r.Host)
	}
	if r.identity != id { // other goroutines read it; after a failed write it is the same
		r.identity = id
	}
	if err := r.loadAgreement(!isEmpty(saved)); err != nil {
		return err
	}
	if isEmpty(saved) {
		return nil
	}
	members, err := readBootstrapMembers(r.Dir)
	if err != nil {
		return err
	}
	r.setBootstrapMembers(members)
	if len(members) == 0 {
		return &journal.CorruptError{File: filepath.Join(r.Dir, groupFile), Reason: "the file is missing, but the log is not empty"}
	}
	return r.start(saved)
}

func (r *Replica) setBootstrapMembers(members []string) {
	r.bootstrapMembers, r.groupID = members, groupID(members)
}

// isEmpty reports whether the saved state has no snapshot, no entries and no term.
func isEmpty(s consensus.SavedState) bool {
	return s.Snapshot == nil && len(s.Entries) == 0 && s.Hard.Term == 0
}

// start starts the replicated log from saved state.
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

// restore replaces the control state with that of a snapshot.
func (r *Replica) restore(s *consensus.Snapshot) error {
	r.applied, r.snapshotIndex, r.snapshotBytes = s.Index, s.Index, len(s.Data)
	r.fence.restore(s.Index)
	if len(s.Data) == 0 {
		return nil
	}
	if err := r.state.Restore(s.Data); err != nil {
		return errors.Wrap(err, "restore control state")
	}
	r.notifyChanged()
	return nil
}

// Run runs the replica until ctx is done or the replica fails, for example because the
// journal is damaged. While the disk refuses writes, the replica takes no part in its group.
func (r *Replica) Run(ctx context.Context) error {
	defer func() {
		if r.journal == nil {
			return
		}
		if err := r.journal.Close(); err != nil {
			r.Log.Error().Err(err).Msg("failed to close the journal")
		}
	}()
	r.begin(ctx)
	defer func() { r.endMembership() }()
	ticker := r.Clock.NewTicker(r.Heartbeat / 2)
	defer ticker.Stop()
	for {
		var failed *StorageError
		if errors.As(r.fatal, &failed) {
			r.fatal = r.recoverStorage(ctx, failed)
		}
		if r.fatal != nil {
			return r.fatal
		}
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.events:
			f()
		case <-ticker.Chan():
			if r.handleQueued(); r.fatal == nil {
				r.tick()
			}
		}
	}
}

// begin starts the goroutines of a membership, which end with ctx or when the disk fails.
func (r *Replica) begin(ctx context.Context) {
	r.membership, r.endMembership = context.WithCancel(ctx)
	if r.node == nil && r.fatal == nil {
		go r.findGroup(r.membership)
	}
}

// handleQueued handles the events that are queued. Those that arrived during a slow sync count
// before the time-outs that passed meanwhile: a leader would step down although the responses
// of a majority are already here.
func (r *Replica) handleQueued() {
	for range len(r.events) {
		(<-r.events)()
		if r.fatal != nil {
			return
		}
	}
}

func (r *Replica) tick() {
	if r.node == nil {
		r.hasLeader.Store(false)
		return
	}
	now := r.Clock.Now()
	r.handle(r.node.Tick(now))
	r.hasLeader.Store(r.node.Status().Leader != "")
	r.leases.tick(r, now)
	r.moves.tick(r, now)
	r.repair.tick(r, now)
	r.health.tick(r, now)
	r.rejoin.tick(r, now)
}

// notifyChanged passes the routing state to Changed and the duties to DutiesChanged.
func (r *Replica) notifyChanged() {
	if r.Changed != nil {
		r.Changed(r.state.RoutingState())
	}
	if r.DutiesChanged != nil {
		r.DutiesChanged(r.state.Duties())
	}
}

// post queues f for the control goroutine. It reports whether f was queued before ctx was
// done.
func (r *Replica) post(ctx context.Context, f func()) bool {
	select {
	case r.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// do runs f on the control goroutine and waits until f returns.
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

// handle processes an output of the replicated log: it persists state, sends messages,
// applies committed entries and completes reads.
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
	r.updateRole()
	r.compactLog()
}

// persist makes an output durable and restores its snapshot, if it has one. It reports
// whether that succeeded; otherwise r.fatal is set.
func (r *Replica) persist(out consensus.Output) bool {
	if err := r.journal.Persist(out); err != nil {
		r.fatal = storageFailed(err, "save log")
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

// updateRole records a change of role. On a new leader it initializes the leases and the
// version moves. It stops the replica if the log is damaged.
func (r *Replica) updateRole() {
	s := r.node.Status()
	if s.Fault != "" {
		// The group has lost entries that it had accepted; continuing would replicate the loss.
		r.fatal = errors.Errorf("the replicated log is damaged: %s", s.Fault)
		return
	}
	if s.Role == r.role && s.Term == r.term {
		return
	}
	wasLeader := r.role == consensus.Leader
	r.role, r.term = s.Role, s.Term
	if wasLeader {
		r.leases.leadershipLost()
	}
	r.fence.truncate(r.applied)
	if s.Role == consensus.Leader {
		r.Log.Info().Uint64("term", s.Term).Msg("became leader of the control replicas")
		r.leases.becameLeader(r, r.Clock.Now())
		r.moves.becameLeader()
		r.repair.since = r.Clock.Now()
	}
}

// compactLog takes a snapshot and compacts the log once the log is as large as the last
// snapshot.
func (r *Replica) compactLog() {
	if r.applied < r.snapshotIndex+snapshotEntries || r.logBytes < r.snapshotBytes {
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
		r.fatal = storageFailed(err, "save snapshot")
		return
	}
	r.snapshotIndex, r.logBytes, r.snapshotBytes = r.applied, 0, len(data)
}

// hostOf returns the host part of a member identity, host/incarnation.
func hostOf(id string) string {
	host, _, _ := strings.Cut(id, "/")
	return host
}
