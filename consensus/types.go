package consensus

import "time"

// EntryKind tells what an entry carries.
type EntryKind string

// The kinds of entries. Only commands are of interest to a state machine.
const (
	Command       EntryKind = ""
	Empty         EntryKind = "empty"
	Configuration EntryKind = "members"
)

// Entry is one position of the log. Data is set for a Command, Members for a
// Configuration. Entries are shared between the log, outputs and messages and
// must not be modified.
type Entry struct {
	Index   uint64    `json:"index"`
	Term    uint64    `json:"term"`
	Kind    EntryKind `json:"kind,omitempty"`
	Data    []byte    `json:"data,omitempty"`
	Members *Members  `json:"members,omitempty"`
}

// HardState is what a member must remember besides its log: the newest term
// that it has seen and the candidate that it voted for in that term.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
}

// Snapshot replaces the log up to and including Index. Members is the
// configuration at Index; Data is the encoded state machine.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data,omitempty"`
}

// SavedState is what a member recovers after a restart. The configuration is the
// newest one found in Entries, or else the one in Snapshot.
type SavedState struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// bootstrapTerm is the term of the founding entry. The first election uses a
// larger term, so no leader writes a second entry with this term.
const bootstrapTerm = 1

// Bootstrap returns the state with which every founding member of a new group
// starts. The founding configuration is the first log entry (index 1, term 1),
// and counts as committed because every founding member starts with it. The
// caller persists Hard and Entries before it starts the node.
func Bootstrap(members []string) SavedState {
	m := Members{Voters: sortedSet(members)}
	return SavedState{
		Hard:    HardState{Term: bootstrapTerm},
		Entries: []Entry{{Index: 1, Term: bootstrapTerm, Kind: Configuration, Members: &m}},
	}
}

// Members returns the configuration that the saved state knows. It is empty for
// a blank member.
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

// The kinds of messages. An Ack answers the kind that precedes it; AckAppend
// also answers Install.
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

// Message is sent from one member to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm are the index and term of the sender's last entry in
	// votes, and of the entry before Entries in Append. In AckAppend, Index is
	// the last matching index, or the refused one if Reject is set.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"prior,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Hint is the largest index at which the logs may still match, with the
	// follower's term there in LogTerm. It is set in a rejecting AckAppend.
	Hint uint64 `json:"hint,omitempty"`
	// Round identifies the leadership confirmation that a heartbeat asks for.
	Round    uint64    `json:"round,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Force marks a vote request of a leadership transfer. It overrides leader
	// stickiness, because the leader itself asked for the election.
	Force bool `json:"force,omitempty"`
}

// Proposal identifies an accepted proposal. It succeeded if the committed entry
// at Index has the same Term; if that entry has another term, it is lost.
type Proposal struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
}

// Read is a confirmed read: a state that has applied Index contains everything
// that was committed before the read began.
type Read struct {
	ID    uint64
	Index uint64
}

// Output is what the caller must do, in field order.
type Output struct {
	// Hard, Entries and Snapshot are persisted and synced first. An entry
	// replaces any persisted entry with the same or a larger index. Snapshot is
	// a snapshot received from the leader: it replaces the state machine, and
	// the whole persisted log.
	Hard     *HardState
	Entries  []Entry
	Snapshot *Snapshot
	// Messages may be lost, duplicated, delayed or reordered.
	Messages []Message
	// Committed are the next committed entries, of every kind, in log order.
	Committed []Entry
	// Reads are confirmed. Aborted lists the reads that were dropped because
	// leadership was lost; they can be retried with another leader.
	Reads   []Read
	Aborted []uint64
}

// Role is the part that a member plays in its term.
type Role string

// The roles. A learner is a Follower that Members lists as a learner.
const (
	Follower     Role = "follower"
	PreCandidate Role = "precandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Status describes a node. Progress is set on a leader only and excludes the
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
	// Ready states that the leader has committed an entry of its own term.
	Ready bool
	// Pending is the index of a configuration that is not committed yet, or that
	// has a joining member; 0 if there is none.
	Pending uint64
	// Transfer is the member that leadership is being transferred to.
	Transfer string
	Progress map[string]Progress
	// Fault describes a message that contradicted a committed entry, or is
	// empty. Such a message is dropped; it means that the group is damaged.
	Fault string
}

// Progress is the leader's knowledge of one other member.
type Progress struct {
	Match     uint64
	Next      uint64
	Inflight  int
	Phase     Phase
	LastHeard time.Time
}
