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
	// Bears is the number of sub-requests that the target can run at the same time while cold.
	Bears int `json:"bears,omitempty"`
	// Connect is the cost of a new connection.
	Connect document.Duration `json:"connect,omitzero"`
	State   TargetState       `json:"state"`
	// Cancel states that the target accepts POST /cancel.
	Cancel bool `json:"cancel,omitempty"`
	// Home is the entry host through which the target renews.
	Home string `json:"home,omitempty"`
}

// View is an immutable picture of the control state for query traffic.
type View struct {
	// Revision is the index of the last applied command.
	Revision uint64
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
	// Known holds, per service, the shard count of each snapshot that is still
	// remembered, including snapshots that have lost all replicas of a shard.
	Known map[string]map[uint64]int
}
