// Package exchange keeps hosts and control hosts in touch without a list of
// members: every host asks every control host that it has heard of, tells it about
// itself, and learns of other hosts, targets and the shared control state.
package exchange

import (
	"net/netip"
	"time"

	"wasabirelay/control"
	"wasabirelay/registry"
)

// Method is the method of the peer interface.
const Method = "host.exchange"

const (
	// PollWait is how long a control host keeps a question without news open. It bounds
	// how often idle hosts ask.
	PollWait = time.Second
	// DialTimeout bounds a connection attempt: some round trips between regions.
	DialTimeout = 250 * time.Millisecond
	// answerTimeout is how long an answer may take beyond Wait before the control host
	// counts as unreachable.
	answerTimeout = 700 * time.Millisecond
	// Expiry is after which time without a question a host counts as dead. It exceeds
	// Wait and answerTimeout by the time for one more attempt.
	Expiry = 2500 * time.Millisecond
	// youngTime is how long after its start a control host may lack hosts: those that
	// lost it ask again after lastPause and half as much.
	youngTime = 3 * lastPause / 2
	// settleTime collects changes that come together into one answer. Entry hosts follow
	// every control host, and while the targets of many services start at once, each
	// answer costs all of them processor time. It is a small part of the seconds within
	// which a change has to be in force.
	settleTime = 200 * time.Millisecond
)

// Host is what a host tells about itself.
type Host struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Start identifies the run of the process; a later run has a larger one.
	Start int64 `json:"start"`
	// Peer is the address for other hosts. It is set on control hosts.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Caller is the address for callers. It is set on entry hosts.
	Caller netip.AddrPort `json:"caller,omitzero"`
	// Draining states that the host stops soon and must not be named to callers.
	Draining bool `json:"draining,omitempty"`
}

// IsControl reports whether the host keeps the control state.
func (h *Host) IsControl() bool { return h.Peer.IsValid() }

// PollRequest is sent to a control host.
type PollRequest struct {
	From Host `json:"from"`
	// Load is the share of its processor that the host uses to relay requests.
	Load float64 `json:"load,omitempty"`
	// Run is the Start of the control host that the revisions belong to; 0 if none.
	Run int64 `json:"run,omitempty"`
	// Targets and Hosts are the revisions of the lists that the host has.
	Targets uint64 `json:"targets,omitempty"`
	Hosts   uint64 `json:"hosts,omitempty"`
	// RoutingState is the revision of the control state that the host has, and Routing the
	// version of its routing document.
	RoutingState uint64 `json:"shared,omitempty"`
	Routing      uint64 `json:"routing,omitempty"`
	// Document asks for the source of the routing document. Only one control host at a
	// time is asked for it, because all of them have news of a change at the same moment.
	Document bool `json:"document,omitempty"`
	// Wait is how long the answer may take if there is no news.
	Wait time.Duration `json:"wait,omitempty"`
}

// PollResponse is the reply of a control host.
type PollResponse struct {
	From Host `json:"from"`
	// Targets is the revision of the table of targets, Changes what the host lacks.
	Targets uint64            `json:"targets"`
	Changes []registry.Record `json:"changes,omitempty"`
	// Hosts is the revision of the list of hosts, List the hosts that are new or have
	// changed since the revision of the question, Gone the names of those that have gone.
	// Control hosts are told of all hosts, entry hosts of control hosts and of the entry
	// hosts that callers are sent to.
	Hosts uint64   `json:"hosts"`
	List  []Host   `json:"list,omitempty"`
	Gone  []string `json:"gone,omitempty"`
	// Complete states that List is complete, because the question had no usable revision.
	Complete bool `json:"whole,omitempty"`
	// Active is the number of entry hosts that callers are sent to; see Active. Entries is
	// the number of entry hosts.
	Active  int `json:"active,omitempty"`
	Entries int `json:"entries,omitempty"`
	// Starting states that the control host has just started: hosts that it has not heard of
	// yet are missing from the list.
	Starting bool `json:"young,omitempty"`
	// RoutingState is set if the host has an older revision. Its routing document has a source
	// only if the question asked for it.
	RoutingState *control.RoutingState `json:"shared,omitempty"`
	// Compressed, if set, is the whole answer, compressed. Nothing else but From is set then.
	Compressed []byte `json:"packed,omitempty"`
}
