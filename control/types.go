package control

import (
	"net/netip"
	"time"

	"wasabirelay/document"
	"wasabirelay/inventory"
)

// TargetState is what a target says about itself.
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
	// Shards is the number of shards that the snapshot has in all.
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
	// Slots is the number of sub-requests that run at the same time; 0 if not announced.
	Slots int `json:"slots,omitempty"`
	// Connections is the number of connections that the target accepts; 0 if not announced.
	Connections int `json:"connections,omitempty"`
	// ColdLimit is the number of sub-requests that the target can run at the same time while cold.
	ColdLimit int `json:"bears,omitempty"`
	// ConnectCost is the cost of a new connection.
	ConnectCost document.Duration `json:"connect,omitzero"`
	State       TargetState       `json:"state"`
	// SupportsCancel states that the target accepts POST /cancel.
	SupportsCancel bool `json:"cancel,omitempty"`
	// Home is the entry host through which the target renews.
	Home string `json:"home,omitempty"`
	// Since is the time of the command that gave the target its State. The state
	// machine sets it; an announced value is ignored.
	Since time.Time `json:"since,omitzero"`
}

// AcceptedInventory is the inventory change that is in the state.
type AcceptedInventory struct {
	Version uint64 `json:"version"`
	// Index is the log index of the change.
	Index    uint64    `json:"index"`
	Change   string    `json:"change"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at,omitzero"`
	// Lease is the longest lease that could be granted when the change was
	// accepted: that of the change or, if it is longer, of an earlier version.
	Lease document.Duration `json:"lease,omitzero"`
	// Text is the document as the operator wrote it.
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
	// Started is when the inventory first named the move, Since when Step was taken.
	Started time.Time `json:"started"`
	Since   time.Time `json:"since"`
	// Reverted states that the move has ended without success.
	Reverted bool `json:"reverted,omitempty"`
	// Operator and Change identify an operator's revert.
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
	// Unavailable states that the host or its data centre is out of service.
	Unavailable bool `json:"unavailable,omitempty"`
}

// Death names an incarnation of a target that has died.
type Death struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
}

// View is an immutable picture of the control state for query traffic.
type View struct {
	// Revision is the index of the last applied command.
	Revision uint64
	// Time is the time of the state: the largest At of the commands that entry
	// hosts apply.
	Time time.Time
	// Accepted is the inventory change that the view is based on.
	Accepted AcceptedInventory
	// Hosts holds the entry hosts of the inventory, ordered by name.
	Hosts []Host
	// Moves holds the version moves by service.
	Moves map[string]MoveRecord
	// Since holds when a condition began: "centres/NAME" and "hosts/NAME" out of
	// service, "services/NAME" without a complete snapshot.
	Since map[string]time.Time
	// Version is the version of the inventory.
	Version   uint64
	Inventory *inventory.Document
	// Targets holds the live targets by service, ordered by name.
	Targets map[string][]*Target
	// Shares holds, per service, the share of traffic of each target version
	// that is limited by a running move. Versions without an entry share the rest.
	Shares map[string]map[string]float64
	// Grants holds the amounts of live grants by name and holder.
	Grants map[string]map[string]int
	// Poisoned holds the fingerprints that are refused, with the time until which.
	Poisoned map[string]time.Time
	// Suspected holds the fingerprints under early suspicion that are not poisoned,
	// and per shard the deaths at which they were in flight.
	Suspected map[string]map[int][]Death
	// ShardCounts holds, per service, the shard count of each snapshot that is still
	// remembered, including snapshots that have lost all replicas of a shard.
	ShardCounts map[string]map[uint64]int
}
