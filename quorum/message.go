package quorum

import (
	"net/netip"
	"time"

	"wasabirelay/consensus"
	"wasabirelay/control"
	"wasabirelay/lease"
	"wasabirelay/move"
)

// jsonrpc2 methods of the peer interface.
const (
	MethodStep      = "consensus.step"
	MethodHello     = "quorum.hello"
	MethodBootstrap = "quorum.found"
	MethodAgree     = "quorum.agree"
	MethodJoin      = "quorum.join"
	MethodLeave     = "quorum.leave"
	MethodPropose   = "control.propose"
	MethodWatch     = "control.watch"
	MethodFeed      = "control.feed"
	MethodStatus    = "control.status"
	MethodRenew     = "lease.renew"
	MethodFetch     = "answer.fetch"
	MethodEvidence  = "move.evidence"
	MethodRead      = "control.read"
)

// Hello describes a replica: its identity and its group.
type Hello struct {
	// ID is the identity of the replica, host/incarnation.
	ID string `json:"id"`
	// Members are the members of its group; empty if the replica is in no group.
	Members []string `json:"members,omitempty"`
	// BootstrapMembers are the members that bootstrapped the group.
	BootstrapMembers []string `json:"founders,omitempty"`
	// Agreed is true if a majority of the seeds has accepted the bootstrap members, as far as the replica knows.
	Agreed bool `json:"agreed,omitempty"`
	// Agreement is the part that the replica takes in an agreement on bootstrap members; empty in earlier versions.
	Agreement AgreementPart `json:"agreement,omitempty"`
}

// AgreementPart is the part that a replica takes in an agreement on bootstrap members.
type AgreementPart string

// Values of AgreementPart.
const (
	// TakesPart means that the replica promises and accepts.
	TakesPart AgreementPart = "open"
	// TakesNoPart means that the replica only joins a group.
	TakesNoPart AgreementPart = "closed"
)

// AgreeRequest asks a seed to accept bootstrap members in a ballot, or, without members, to promise that it accepts none
// in a lower ballot.
type AgreeRequest struct {
	Seeds   []netip.AddrPort `json:"seeds"`
	Ballot  ballot           `json:"ballot"`
	Members []string         `json:"members,omitempty"`
}

// AgreeResponse is the response to AgreeRequest.
type AgreeResponse struct {
	Granted bool `json:"granted"`
	// Promised is the highest ballot that the seed has promised.
	Promised ballot `json:"promised"`
	// Members are those that the seed has accepted, in the ballot Accepted; 0 if it has accepted none.
	Accepted ballot   `json:"accepted,omitempty"`
	Members  []string `json:"members,omitempty"`
	// Member is true if the seed is in a group already. It then neither promises nor accepts.
	Member bool `json:"member,omitempty"`
}

// JoinResponse is the response to JoinRequest.
type JoinResponse struct {
	BootstrapMembers []string `json:"founders"`
}

// JoinRequest asks the group to add an identity as a learner.
type JoinRequest struct {
	ID        string `json:"id"`
	Forwarded bool   `json:"forwarded,omitempty"`
}

// LeaveRequest announces that a voter stops.
type LeaveRequest struct {
	ID string `json:"id"`
}

// LeaveResponse is the response to LeaveRequest.
type LeaveResponse struct {
	// Wait is true if a spare host takes over the vote, or if the group has no majority
	// without it. The voter then asks again instead of stopping.
	Wait bool `json:"wait"`
}

// Proposal is a command that the leader appends to the replicated log.
type Proposal struct {
	Command   control.Command `json:"command"`
	Forwarded bool            `json:"forwarded,omitempty"`
	// Base, if set, is the log index up to which the state was known while the sender of an order
	// still waited; see fence. Leaders of earlier versions ignore it.
	Base *uint64 `json:"base,omitempty"`
}

// WatchRequest subscribes to the feed of committed commands after an index.
type WatchRequest struct {
	Host  string `json:"host"`
	Index uint64 `json:"index"`
	// Group identifies the group that the host follows; empty if there is none yet.
	Group string `json:"group,omitempty"`
}

// Feed carries committed commands, or a snapshot if the host is too far behind.
type Feed struct {
	Group string `json:"group"`
	// Snapshot is the part of the control state that entry hosts hold, at Index.
	Snapshot []byte      `json:"snapshot,omitempty"`
	Index    uint64      `json:"index,omitempty"`
	Entries  []FeedEntry `json:"entries,omitempty"`
}

// FeedEntry is one committed log entry. Command is nil if entry hosts do not need the
// command; they only advance the index then.
type FeedEntry struct {
	Index   uint64           `json:"index"`
	Command *control.Command `json:"command,omitempty"`
}

// RenewRequest asks for a new lease or the renewal of a lease.
type RenewRequest struct {
	Host string `json:"host"`
	// Applied is the index of the last command that the host has applied, Digest the
	// digest of its control state at that index.
	Applied uint64 `json:"applied"`
	Digest  uint64 `json:"digest"`
	// Group identifies the group that the host follows; empty if there is none yet.
	Group string `json:"group,omitempty"`
	// Draining is true if the host shuts down soon and callers must not be sent to it.
	Draining  bool `json:"draining,omitempty"`
	Forwarded bool `json:"forwarded,omitempty"`
	// HostsVersion is the version of the host's list of serving hosts.
	HostsVersion uint64 `json:"hosts,omitempty"`
}

// RenewResponse is the response to RenewRequest.
type RenewResponse struct {
	// Length is 0 if no lease was granted; Reason then says why.
	Length time.Duration `json:"length"`
	Reason string        `json:"reason,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `json:"commit"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Resync is true if the host's state differs from the leader's state at the same index.
	Resync bool `json:"resync,omitempty"`
	// HostsVersion is the version of the list of serving hosts. Serving is that list; it
	// is set only if the version in the request differs.
	HostsVersion uint64   `json:"hosts"`
	Serving      []string `json:"serving,omitempty"`
}

// Evidence holds what a host has counted for the running version moves since it last sent
// evidence.
type Evidence struct {
	Host      string        `json:"host"`
	Reports   []move.Report `json:"reports"`
	Forwarded bool          `json:"forwarded,omitempty"`
}

// StatusRequest asks the leader for its status and for the leases in force at a log index.
type StatusRequest struct {
	Index     uint64 `json:"index"`
	Forwarded bool   `json:"forwarded,omitempty"`
}

// Status is the leader's view of the group and of the leases.
type Status struct {
	Leader string       `json:"leader"`
	Term   uint64       `json:"term"`
	Commit uint64       `json:"commit"`
	Report lease.Report `json:"report"`
	// Leases holds the lease of each host.
	Leases   []lease.Status `json:"leases"`
	Replicas []Member       `json:"replicas"`
}

// Member is the leader's view of a member of the group.
type Member struct {
	ID        string          `json:"id"`
	Host      string          `json:"host"`
	Learner   bool            `json:"learner,omitempty"`
	Match     uint64          `json:"match"`
	LastHeard time.Time       `json:"heard,omitzero"`
	Phase     consensus.Phase `json:"phase,omitempty"`
}
