// Package node runs one process of a deployment without a list of members: an entry
// host, which relays requests, or a control host, which keeps the control state and
// hears the targets.
package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"wasabirelay/control"
	"wasabirelay/registry"
	"wasabirelay/relay"
	"wasabirelay/routing"
)

// Settings are the settings of one process.
type Settings struct {
	// Host is the name of this host, Centre its data centre.
	Host   string
	Centre string
	// Peer is the address for other hosts of the system.
	Peer netip.AddrPort
	// PeerListen is the address to listen at for other hosts, if it is not Peer because
	// they reach this host through a forwarder.
	PeerListen netip.AddrPort
	// Caller, Ready, Operator and Addresses are the listeners for callers, for health
	// checks, for targets and operators, and for callers that ask where to connect. One
	// that is not valid is not opened.
	Caller, Ready, Operator, Addresses netip.AddrPort
	// Metrics is the address that metrics are served on.
	Metrics netip.AddrPort
	// DataDir is the folder of the control state, empty on an entry host.
	DataDir string
	// Seeds are the peer addresses of some control hosts.
	Seeds []netip.AddrPort
	// Bootstrap permits this process to found a new group: the whole system starts for
	// the first time.
	Bootstrap bool
	// Memory is the memory of the process in bytes; 0 if not bounded.
	Memory int64
	// Cores is what the process may use of processors, in cores; 0 if not known.
	Cores float64
	// HeartbeatInterval is the time between the heartbeats of a target.
	HeartbeatInterval time.Duration
	// RetryShare and RetrySlack bound the extra requests of all hosts together.
	RetryShare, RetrySlack float64
	// RetryWindow is the span of time that the bound holds for.
	RetryWindow time.Duration
	// AddressTTL is how long callers may use an answer to where to connect.
	AddressTTL time.Duration
	// ShutdownTimeout is how long a planned stop may take.
	ShutdownTimeout time.Duration
	// MaxExposure is the share of requests that an untried version may get.
	MaxExposure float64
}

// Interfaces translates between the protocols of a deployment and the node.
type Interfaces struct {
	// Headers are the names of the headers of callers and targets.
	Headers relay.Headers
	// DecodeRouting reads a routing document as operators write it.
	DecodeRouting func(source []byte) (*routing.Document, error)
	// Operator serves targets and operators, Addresses callers that ask where to
	// connect, and Ready health checks.
	Operator  func(ControlService) http.Handler
	Addresses func(AddressService) http.Handler
	Ready     func(serving func() bool) http.Handler
}

// ControlService is what a control host does for targets and operators.
type ControlService interface {
	// Announce takes an announcement of a target. The error is an *UnavailableError if
	// it would reach no other host.
	Announce(a registry.Announcement) error
	// OperatorAddress is the address that targets may keep announcing to.
	OperatorAddress() netip.AddrPort
	// ApplyRouting puts a routing document in force once it is on the disks of a quorum.
	ApplyRouting(ctx context.Context, source []byte) error
	// Evacuate takes a data centre out of service, or back into it.
	Evacuate(ctx context.Context, centre string, out bool) error
	// StartMove starts a version move.
	StartMove(ctx context.Context, service, version string, length time.Duration) error
	// Read returns the state that all accepted changes are in.
	Read(ctx context.Context) (control.RoutingState, error)
}

// AddressService tells callers where to connect.
type AddressService interface {
	// CallerAddresses returns the addresses of the hosts that serve callers, those of the data
	// centre first, and how long they may be used.
	CallerAddresses(centre string) ([]netip.AddrPort, time.Duration)
}

// UnavailableError reports that a request had no effect and that another control
// host should be asked.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "not available: " + e.Reason }
