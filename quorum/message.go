package quorum

import (
	"time"

	"wasabirelay/consensus"
	"wasabirelay/control"
	"wasabirelay/lease"
	"wasabirelay/move"
)

// Methods of the peer interface.
const (
	MethodStep      = "consensus.step"
	MethodHello     = "quorum.hello"
	MethodBootstrap = "quorum.found"
	MethodJoin      = "quorum.join"
	MethodPropose   = "control.propose"
	MethodWatch     = "control.watch"
	MethodFeed      = "control.feed"
	MethodStatus    = "control.status"
	MethodRenew     = "lease.renew"
	MethodFetch     = "answer.fetch"
	MethodEvidence  = "move.evidence"
	MethodRead      = "control.read"
)

// Hello is what a replica tells about itself.
type Hello struct {
	// ID is the identity in the group, host/incarnation.
	ID string `json:"id"`
	// Members is the group that the replica belongs to; empty if it is blank.
	Members []string `json:"members,omitempty"`
	// BootstrapMembers are the members that founded it.
	BootstrapMembers []string `json:"founders,omitempty"`
}

// JoinResponse is the reply to JoinRequest.
type JoinResponse struct {
	BootstrapMembers []string `json:"founders"`
}

// JoinRequest asks the group to add an identity as a learner.
type JoinRequest struct {
	ID        string `json:"id"`
	Forwarded bool   `json:"forwarded,omitempty"`
}

// Proposal is a command for the log.
type Proposal struct {
	Command   control.Command `json:"command"`
	Forwarded bool            `json:"forwarded,omitempty"`
}

// WatchRequest subscribes to the feed of commands after an index.
type WatchRequest struct {
	Host  string `json:"host"`
	Index uint64 `json:"index"`
	// Group is the group that the host follows; empty if none yet.
	Group string `json:"group,omitempty"`
}

// Feed carries committed commands, or a snapshot for a host that is too far behind.
type Feed struct {
	Group string `json:"group"`
	// Snapshot is the shared part of the control state at Index.
	Snapshot []byte      `json:"snapshot,omitempty"`
	Index    uint64      `json:"index,omitempty"`
	Entries  []FeedEntry `json:"entries,omitempty"`
}

// FeedEntry is one committed log entry. Command is nil if entry hosts do not
// need it; only the index advances then.
type FeedEntry struct {
	Index   uint64           `json:"index"`
	Command *control.Command `json:"command,omitempty"`
}

// RenewRequest asks for a lease.
type RenewRequest struct {
	Host string `json:"host"`
	// Applied is the index of the last command that the host has applied, Digest
	// that of its state there.
	Applied uint64 `json:"applied"`
	Digest  uint64 `json:"digest"`
	// Group is the group that the host follows; empty if none yet.
	Group string `json:"group,omitempty"`
	// Draining states that the host stops soon and must not be handed to callers.
	Draining  bool `json:"draining,omitempty"`
	Forwarded bool `json:"forwarded,omitempty"`
	// HostsVersion is the version of the list of serving hosts that the host has.
	HostsVersion uint64 `json:"hosts,omitempty"`
}

// RenewResponse is the reply to RenewRequest.
type RenewResponse struct {
	// Length is 0 if no lease was granted; Reason says why.
	Length time.Duration `json:"length"`
	Reason string        `json:"reason,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:"commit"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Resync states that the host's state differs from the leader's at the same index.
	Resync bool `json:"resync,omitempty"`
	// HostsVersion is the version of the list of serving hosts; Serving is set if the
	// version in the request was another one.
	HostsVersion uint64   `json:"hosts"`
	Serving      []string `json:"serving,omitempty"`
}

// Evidence is what a host has counted for the running moves since it last sent it.
type Evidence struct {
	Host      string        `json:"host"`
	Reports   []move.Report `json:"reports"`
	Forwarded bool          `json:"forwarded,omitempty"`
}

// StatusRequest asks the leader for its status with regard to a log index.
type StatusRequest struct {
	Index     uint64 `json:"index"`
	Forwarded bool   `json:"forwarded,omitempty"`
}

// Status is the leader's picture of the group and of the leases.
type Status struct {
	Leader string       `json:"leader"`
	Term   uint64       `json:"term"`
	Commit uint64       `json:"commit"`
	Report lease.Report `json:"report"`
	// Leases holds the lease of each host.
	Leases   []lease.Status `json:"leases"`
	Replicas []Member       `json:"replicas"`
}

// Member is a member of the group as the leader sees it.
type Member struct {
	ID      string          `json:"id"`
	Host    string          `json:"host"`
	Learner bool            `json:"learner,omitempty"`
	Match   uint64          `json:"match"`
	Heard   time.Time       `json:"heard,omitzero"`
	Phase   consensus.Phase `json:"phase,omitempty"`
}
