// Package exchange implements the long-poll protocol between hosts. It needs no fixed list of
// members: every host polls every control host that it has discovered, sends a description of
// itself, and receives the other hosts, the targets and the routing state of the control hosts.
package exchange

import (
	"net/netip"
	"time"

	"wasabirelay/control"
	"wasabirelay/poison"
	"wasabirelay/registry"
)

// Method is the jsonrpc2 method of a poll.
const Method = "host.exchange"

const (
	// PollWait is how long a control host holds a poll request while nothing changes. It
	// bounds how often hosts poll in a healthy, idle deployment.
	PollWait = time.Second
	// DialTimeout bounds a connection attempt: a few round trips between regions.
	DialTimeout = 250 * time.Millisecond
	// responseTimeout is how long a response may take beyond PollWait before the control host
	// counts as unreachable.
	responseTimeout = 700 * time.Millisecond
	// Expiry is the time without a poll after which a host counts as dead. It exceeds the sum
	// of PollWait and responseTimeout by the time for one more attempt.
	Expiry = 2500 * time.Millisecond
	// startingTime is how long after its start a control host may lack hosts: a host whose
	// poll failed polls again within one and a half times maxBackoff.
	startingTime = 3 * maxBackoff / 2
	// settleTime delays a response after a change, so that it includes the changes that follow
	// shortly after. Entry hosts poll every control host, and while the targets of many
	// services start at once, each response costs all of them processor time. The delay is
	// short compared to the seconds within which a change has to be in force.
	settleTime = 200 * time.Millisecond
)

// Host is the description of a host that it sends to control hosts.
type Host struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Start identifies the run of the process; a later run has a larger value.
	Start int64 `json:"start"`
	// Peer is the address for other hosts. It is set on control hosts.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Caller is the address for callers. It is set on entry hosts.
	Caller netip.AddrPort `json:"caller,omitzero"`
	// Helper is the address for other entry hosts, which leave portions of requests to this one.
	// It is set on entry hosts that take portions.
	Helper netip.AddrPort `json:"helper,omitzero"`
	// Draining is true if the host is shutting down and callers must not be sent to it.
	Draining bool `json:"draining,omitempty"`
	// Stranded is true if the host has lost its links to targets. It still serves callers, with the
	// help of other hosts.
	Stranded bool `json:"stranded,omitempty"`
}

// IsControl reports whether the host is a control host.
func (h *Host) IsControl() bool { return h.Peer.IsValid() }

// PollRequest is the request of a host to a control host.
type PollRequest struct {
	From Host `json:"from"`
	// Load is the fraction of its processor that the host uses to relay requests.
	Load float64 `json:"load,omitempty"`
	// Run is the Host.Start of the control host that issued the revisions; 0 if there are none.
	Run int64 `json:"run,omitempty"`
	// Targets and Hosts are the revisions of the lists that the polling host has.
	Targets uint64 `json:"targets,omitempty"`
	Hosts   uint64 `json:"hosts,omitempty"`
	// RoutingState is the revision of the routing state that the polling host has, and Routing
	// the version of its routing document.
	RoutingState uint64 `json:"shared,omitempty"`
	Routing      uint64 `json:"routing,omitempty"`
	// Document requests the source of the routing document. A host requests it from only one
	// control host at a time, because all of them announce a change at the same time.
	Document bool `json:"document,omitempty"`
	// Wait is how long the response may be delayed while nothing changes.
	Wait time.Duration `json:"wait,omitempty"`
	// Crashes are records of requests that may crash targets, which the host publishes.
	Crashes []poison.Record `json:"crashes,omitempty"`
	// Known is one more than the revision of the records that the polling host has from the control
	// host. It is 0 if the host is of an earlier version, which takes none.
	Known uint64 `json:"known,omitempty"`
	// Duty is one more than the fencing token of the holder of the duty that the polling host knows. It is 0 if the
	// host takes neither the holder nor the time, for example because it is of an earlier version.
	Duty uint64 `json:"duty,omitempty"`
}

// DutyHolder is the host that has the duty of all hosts, which collects and reports usage.
type DutyHolder struct {
	// Token is the fencing token; a later holder has a larger one.
	Token   uint64         `json:"token"`
	Address netip.AddrPort `json:"peer"`
}

// PollResponse is the response of a control host.
type PollResponse struct {
	From Host `json:"from"`
	// Targets is the revision of the table of targets, Changes the records that have changed
	// since the revision of the request.
	Targets uint64            `json:"targets"`
	Changes []registry.Record `json:"changes,omitempty"`
	// Hosts is the revision of the list of hosts, List the hosts that are new or have
	// changed since the revision of the request, Gone the names of the hosts that have left.
	// Control hosts receive all hosts; entry hosts receive the control hosts and the entry
	// hosts that callers are sent to.
	Hosts uint64   `json:"hosts"`
	List  []Host   `json:"list,omitempty"`
	Gone  []string `json:"gone,omitempty"`
	// Complete is true if List is the complete list, because the request had no usable revision.
	Complete bool `json:"whole,omitempty"`
	// Active is the number of entry hosts that callers are sent to; see the function Active.
	// Entries is the number of all entry hosts.
	Active  int `json:"active,omitempty"`
	Entries int `json:"entries,omitempty"`
	// Starting is true if the control host has just started: the list lacks hosts that have
	// not polled it yet.
	Starting bool `json:"young,omitempty"`
	// Detached is true if the control host is out of touch with the group of control hosts, so that it may
	// lack the newest routing state.
	Detached bool `json:"detached,omitempty"`
	// RoutingState is set if the polling host has an older revision. Its routing document has a
	// source only if the request has Document set.
	RoutingState *control.RoutingState `json:"shared,omitempty"`
	// Crashes are the records of requests that may crash targets that have changed since the revision of
	// the request, Known is their revision.
	Crashes []poison.Record `json:"crashes,omitempty"`
	Known   uint64          `json:"known,omitempty"`
	// Duty is set if the polling host knows no holder with as large a token.
	Duty *DutyHolder `json:"duty,omitempty"`
	// UnixMicro is the time of day of the control host in microseconds after 1970; 0 if it was not requested.
	UnixMicro int64 `json:"now,omitempty"`
	// Compressed, if set, is the complete response, compressed with gzip. Only From is set
	// besides it.
	Compressed []byte `json:"packed,omitempty"`
}
