package consensus

import "time"

// EntryKind is the type of a log entry.
type EntryKind string

// The kinds of entries. A state machine handles only commands.
const (
	Command       EntryKind = ""
	Empty         EntryKind = "empty"
	Configuration EntryKind = "members"
)

// Entry is a log entry. Data is set for a Command, Members for a Configuration.
// The log, outputs and messages share entries, so callers must not modify them.
type Entry struct {
	Index   uint64    `json:"index"`
	Term    uint64    `json:"term"`
	Kind    EntryKind `json:"kind,omitempty"`
	Data    []byte    `json:"data,omitempty"`
	Members *Members  `json:"members,omitempty"`
}

// HardState is the state that a member persists besides its log: the largest term
// that it has seen and the candidate that it voted for in that term.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
}

// Snapshot replaces the log entries up to and including Index. Members is the
// configuration at Index; Data is the encoded state machine.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data,omitempty"`
}

// SavedState is the persisted state that a member starts with. Its configuration is
// the newest one in Entries, or the one in Snapshot if Entries has none.
type SavedState struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// bootstrapTerm is the term of the first entry of a group. The first election uses
// a larger term, so no leader appends another entry with this term.
const bootstrapTerm = 1

// Bootstrap returns the state with which every bootstrap member of a new group
// starts. The configuration is the first log entry (index 1, term 1), and counts
// as committed because every bootstrap member starts with it. The caller persists
// Hard and Entries before it starts the node.
func Bootstrap(members []string) SavedState {
	m := Members{Voters: sortedSet(members)}
	return SavedState{
		Hard:    HardState{Term: bootstrapTerm},
		Entries: []Entry{{Index: 1, Term: bootstrapTerm, Kind: Configuration, Members: &m}},
	}
}

// Members returns the newest configuration in the saved state. It is empty if the
// member has no saved state.
func (s SavedState) Members() Members {
	for i := len(s.Entries) - 1; i >= 0; i-- {
		if s.Entries[i].Kind == Configuration {
			return s.Entries[i].Members.clone()
		}
	}
	if s.Snapshot != nil {
		return s.Snapshot.Members.clone()
	}
	return Members{}
}

// MessageKind is the type of a message.
type MessageKind string

// The kinds of messages. Each Ack kind is the reply to the kind listed before it.
// AckAppend is also the reply to Install, and rejects a Heartbeat of an earlier
// term. Campaign has no reply: it asks a voter to start an election for a
// leadership transfer.
const (
	PreVote      MessageKind = "prevote"
	AckPreVote   MessageKind = "ackprevote"
	Vote         MessageKind = "vote"
	AckVote      MessageKind = "ackvote"
	Append       MessageKind = "append"
	AckAppend    MessageKind = "ackappend"
	Heartbeat    MessageKind = "heartbeat"
	AckHeartbeat MessageKind = "ackheartbeat"
	Install      MessageKind = "install"
	Campaign     MessageKind = "campaign"
)

// Message is a protocol message from one member to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm are the index and term of the sender's last entry in
	// PreVote and Vote, and of the entry before Entries in Append. In AckAppend,
	// Index is the last matching index, or the rejected one if Reject is set.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"prior,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Hint is set in a rejecting AckAppend: the largest index at which the logs
	// may match. LogTerm is then the term of the follower's entry at that index.
	Hint uint64 `json:"hint,omitempty"`
	// Round is the leadership confirmation round of a Heartbeat or its reply.
	Round    uint64    `json:"round,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Force marks a vote request of a leadership transfer. It overrides leader
	// stickiness, because the leader itself requested the election.
	Force bool `json:"force,omitempty"`
}

// Proposal identifies an entry that the leader has appended. The proposal has
// succeeded if the committed entry at Index has the same Term, and is lost if that
// entry has another term.
type Proposal struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
}

// Read is a confirmed read: a state machine that has applied Index contains every
// entry that was committed before the read began.
type Read struct {
	ID    uint64
	Index uint64
}

// Output is the work that the caller must do, in field order.
type Output struct {
	// Hard, Entries and Snapshot are persisted and synced first. An entry
	// replaces all persisted entries with the same or a larger index. Snapshot
	// is a snapshot received from the leader: it replaces the state machine and
	// the complete persisted log.
	Hard     *HardState
	Entries  []Entry
	Snapshot *Snapshot
	// Messages may be lost, duplicated, delayed or reordered.
	Messages []Message
	// Committed lists the next committed entries, of every kind, in log order.
	Committed []Entry
	// Reads lists the confirmed reads. Aborted lists the IDs of reads that were
	// dropped because the node lost leadership; they can be retried with another
	// leader.
	Reads   []Read
	Aborted []uint64
}

// Role is the role of a member in the current term.
type Role string

// The roles. A learner has the role Follower.
const (
	Follower     Role = "follower"
	PreCandidate Role = "precandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Status is the state of a node. Only a leader sets Progress, which excludes the
// leader itself.
type Status struct {
	ID      string
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Last    uint64
	First   uint64
	Members Members
	// Ready is true if the node is a leader that has committed an entry of its term.
	Ready bool
	// Pending is the index of the newest configuration if that is not committed
	// yet or has a joining voter; otherwise 0.
	Pending uint64
	// Transfer is the member to which leadership is being transferred.
	Transfer string
	// LastHeard is when the node last heard from a leader, or the zero time.
	LastHeard time.Time
	// Granted holds the members that have granted a vote or a pre-vote in the current campaign.
	Granted  []string
	Progress map[string]Progress
	// Fault describes a received message that violates the protocol, such as one
	// that contradicts a committed entry; empty if there was none. The node drops
	// such a message, which means that the group's state is damaged.
	Fault string
}

// Progress is the leader's view of the replication to one other member.
type Progress struct {
	Match     uint64
	Next      uint64
	Inflight  int
	Phase     Phase
	LastHeard time.Time
}
