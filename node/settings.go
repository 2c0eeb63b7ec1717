// Package node runs one process of a deployment without a list of members: either an entry
// host, which relays requests, or a control host, which stores the control state and receives
// the announcements of targets.
package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"wasabirelay/control"
	"wasabirelay/declaration"
	"wasabirelay/limit"
	"wasabirelay/registry"
	"wasabirelay/relay"
	"wasabirelay/routing"
)

// Settings are the settings of one process.
type Settings struct {
	// Host is the name of this host, Centre its data centre.
	Host   string
	Centre string
	// Peer is the address at which other hosts reach this host.
	Peer netip.AddrPort
	// PeerListen is the listen address for other hosts. It is set if it differs from Peer
	// because other hosts reach this host through a forwarder.
	PeerListen netip.AddrPort
	// Caller, Ready, Operator and Addresses are the listen addresses for callers, for health
	// checks, for targets and operators, and for callers that look up addresses. An address
	// that is not valid opens no listener.
	Caller, Ready, Operator, Addresses netip.AddrPort
	// Metrics is the listen address for metrics.
	Metrics netip.AddrPort
	// DataDir is the directory of the control state. It is empty on an entry host.
	DataDir string
	// Seeds are the peer addresses of some control hosts.
	Seeds []netip.AddrPort
	// Bootstrap permits this process to bootstrap a new group. It is true if the whole system
	// starts for the first time.
	Bootstrap bool
	// ToleratedFailures is the number of control hosts that may be lost at the same time.
	ToleratedFailures int
	// Memory is the memory limit of the process in bytes; 0 if there is none.
	Memory int64
	// Descriptors is the number of file descriptors of the process; 0 if not known.
	Descriptors int
	// CallerMemory and CallerConnections, if set, replace the limits of package door that follow from Memory and Descriptors.
	CallerMemory      int64
	CallerConnections int
	// Cores is the processor capacity of the process, in cores; 0 if not known.
	Cores float64
	// HeartbeatInterval is the time between two heartbeats of a target.
	HeartbeatInterval time.Duration
	// RetryShare and RetrySlack bound the extra requests of all hosts together.
	RetryShare, RetrySlack float64
	// RetryWindow is the time window in which this bound holds.
	RetryWindow time.Duration
	// FailClosed is true if requests with keys are refused while this host may lack the withdrawal of a key
	// for longer than Revocation. Otherwise it serves them by the last routing document that it knows.
	FailClosed bool
	Revocation time.Duration
	// Contended is true if callers compete for the room at targets: requests are ranked and placed by
	// their predicted cost.
	Contended bool
	// Usage is set if the requests of organisations are reported to the provider.
	Usage *Usage
	// AddressTTL is how long callers may use a list of addresses.
	AddressTTL time.Duration
	// ShutdownTimeout is the maximum duration of a graceful shutdown.
	ShutdownTimeout time.Duration
	// MaxExposure is the maximum share of requests that an untried version may get.
	MaxExposure float64
}

// Interfaces adapts the node to the protocols of a deployment.
type Interfaces struct {
	// Headers are the names of the headers that callers and targets use.
	Headers relay.Headers
	// DecodeDeclaration returns what a target declares of itself in a reply; see relay.Service.
	DecodeDeclaration func(now time.Time, status int, h *limit.Header) (declaration.Declaration, bool)
	// DecodeRouting decodes a routing document in the format that operators use.
	DecodeRouting func(source []byte) (*routing.Document, error)
	// ReportUsage sends a report of usage to the provider. The error is a *RefusedError if the provider has seen a
	// higher fencing token. After any other error the report may still be accepted.
	ReportUsage func(ctx context.Context, r UsageReport) error
	// Operator serves targets and operators, Addresses serves callers that look up addresses,
	// and Ready serves health checks.
	Operator  func(ControlService) http.Handler
	Addresses func(AddressService) http.Handler
	Ready     func(serving func() bool) http.Handler
}

// ControlService is the interface of a control host for targets and operators.
type ControlService interface {
	// Announce processes an announcement of a target. The error is a *registry.InvalidError, or
	// an *UnavailableError if the announcement would reach no other host.
	Announce(a registry.Announcement) error
	// OperatorAddress returns the address that targets may continue to announce themselves to.
	OperatorAddress() netip.AddrPort
	// ApplyRouting puts a routing document in force once a quorum has stored it on disk.
	ApplyRouting(ctx context.Context, source []byte) error
	// Evacuate takes a data centre out of service, or puts it back into service.
	Evacuate(ctx context.Context, centre string, out bool) error
	// StartMove starts a version move. length is its maximum duration.
	StartMove(ctx context.Context, service, version string, length time.Duration) error
	// Read returns the newest state, which includes all accepted changes.
	Read(ctx context.Context) (control.RoutingState, error)
}

// AddressService provides the addresses that callers connect to.
type AddressService interface {
	// CallerAddresses returns the addresses of the hosts that serve callers, those of the
	// given data centre first, and how long they may be used.
	CallerAddresses(centre string) ([]netip.AddrPort, time.Duration)
}

// UnavailableError reports that a request had no effect and should be sent to another control
// host.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "not available: " + e.Reason }
