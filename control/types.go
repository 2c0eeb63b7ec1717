package control

import (
	"net/netip"
	"time"

	"wasabirelay/document"
	"wasabirelay/inventory"
)

// TargetState is the state that a target announces.
type TargetState string

// Values of TargetState.
const (
	Cold     TargetState = "cold"
	Warm     TargetState = "warm"
	Draining TargetState = "draining"
)

// Snapshot identifies an index snapshot. A larger Number is newer.
type Snapshot struct {
	Number uint64 `json:"number"`
	// Shards is the total number of shards of the snapshot.
	Shards int `json:"shards"`
}

// Target is a back-end process that answers sub-requests for some shards.
type Target struct {
	Name        string         `json:"target"`
	Incarnation string         `json:"incarnation"`
	Service     string         `json:"service"`
	Version     string         `json:"version"`
	Centre      string         `json:"centre"`
	Address     netip.AddrPort `json:"address"`
	Shards      []int          `json:"shards"`
	Snapshots   []Snapshot     `json:"snapshots"`
	// Slots is the number of sub-requests that the target can run at the same time; 0 if not
	// announced.
	Slots int `json:"slots,omitempty"`
	// Connections is the number of connections that the target accepts; 0 if not announced.
	Connections int `json:"connections,omitempty"`
	// ColdLimit is the number of sub-requests that the target can run at the same time while
	// it is cold; 0 if not announced.
	ColdLimit int `json:"bears,omitempty"`
	// ConnectCost is the time that a new connection takes.
	ConnectCost document.Duration `json:"connect,omitzero"`
	State       TargetState       `json:"state"`
	// SupportsCancel is true if the target accepts POST /cancel.
	SupportsCancel bool `json:"cancel,omitempty"`
	// Home is the entry host through which the target renews its announcement.
	Home string `json:"home,omitempty"`
	// Since is the time of the command that last changed State. The state machine sets it; an
	// announced value is ignored.
	Since time.Time `json:"since,omitzero"`
}

// AcceptedInventory is the last accepted change of the inventory.
type AcceptedInventory struct {
	Version uint64 `json:"version"`
	// Index is the log index of the change.
	Index    uint64    `json:"index"`
	Change   string    `json:"change"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at,omitzero"`
	// Lease is the longest lease that a host may hold from the time of the change: that of
	// the change or, if it is longer, that of an earlier version.
	Lease document.Duration `json:"lease,omitzero"`
	// Text is the unmodified document of the operator.
	Text string `json:"text"`
}

// MoveRecord is the state of a version move.
type MoveRecord struct {
	Service    string    `json:"service"`
	Version    string    `json:"version"`
	Deadline   time.Time `json:"by"`
	TrialShare float64   `json:"trial"`
	// Step is StepNew until the first StepMove command.
	Step string `json:"step"`
	// Share is the share of the service's traffic that Version gets.
	Share  float64 `json:"share"`
	Reason string  `json:"reason,omitempty"`
	// Started is when the move was created, Since when Step was taken.
	Started time.Time `json:"started"`
	Since   time.Time `json:"since"`
	// Reverted is true if the move has ended without success.
	Reverted bool `json:"reverted,omitempty"`
	// Operator and Change are set if an operator reverted the move.
	Operator string `json:"operator,omitempty"`
	Change   string `json:"change,omitempty"`
}

// Steps that the state machine sets itself; the others belong to package move.
const (
	StepNew      = "new"
	StepReverted = "reverted"
)

// Host is an entry host of the inventory.
type Host struct {
	Name string `json:"host"`
	inventory.Host
	// Unavailable is true if the host or its data centre is out of service.
	Unavailable bool `json:"unavailable,omitempty"`
}

// Death identifies an incarnation of a target that has died.
type Death struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
}

// View is an immutable copy of the control state that serves query traffic.
type View struct {
	// Revision is the index of the last applied command.
	Revision uint64
	// Time is the time of the state: the latest At of the commands that entry hosts apply.
	Time time.Time
	// Accepted is the inventory change that the view is based on.
	Accepted AcceptedInventory
	// Hosts holds the entry hosts of the inventory, sorted by name.
	Hosts []Host
	// Moves holds the version moves by service.
	Moves map[string]MoveRecord
	// Since holds when each current condition began. "centres/NAME" and "hosts/NAME" are out
	// of service; "services/NAME" has no complete snapshot.
	Since map[string]time.Time
	// Version is the version of the inventory.
	Version   uint64
	Inventory *inventory.Document
	// Targets holds the live targets by service, sorted by name.
	Targets map[string][]*Target
	// Shares holds, by service and target version, the share of traffic that a move assigns
	// to the version. Versions without an entry share the remaining traffic.
	Shares map[string]map[string]float64
	// Grants holds the amounts of live grants by name and holder.
	Grants map[string]map[string]int
	// Poisoned holds the fingerprints of the requests that are refused, and until when.
	Poisoned map[string]time.Time
	// Suspected holds the fingerprints with early deaths that are not poisoned, and per shard
	// the deaths during which they were in flight.
	Suspected map[string]map[int][]Death
	// ShardCounts holds, by service and snapshot, the number of shards of the snapshots that
	// are not obsolete, including those that have lost all replicas of a shard.
	ShardCounts map[string]map[uint64]int
}
