// Package inventory defines the inventory document, which operators edit: data centres, entry
// hosts, services and rules. It is JSON with comments, and its text is stored as submitted.
package inventory

import (
	"net/netip"
	"time"

	"wasabirelay/document"
)

// Document is a validated inventory.
type Document struct {
	Region   string             `json:"region"`
	Centres  map[string]Centre  `json:"centres"`
	Hosts    map[string]Host    `json:"hosts"`
	Services map[string]Service `json:"services"`
	Rules    Rules              `json:"rules"`
}

// Centre is a data centre.
type Centre struct {
	// OutOfService is true if the targets of the data centre get no new requests.
	OutOfService bool `json:"out,omitempty"`
}

// Host is an entry host.
type Host struct {
	Centre string `json:"centre"`
	// Caller, Operator and Peer are the addresses of the three listeners.
	Caller   netip.AddrPort `json:"caller"`
	Operator netip.AddrPort `json:"operator"`
	Peer     netip.AddrPort `json:"peer"`
	// Control is true if the host is a control host, which stores the control state on its disk.
	Control bool `json:"control,omitempty"`
	// OutOfService is true if the host is left out of the address list.
	OutOfService bool `json:"out,omitempty"`
}

// Service is a set of shards that callers query by one name.
type Service struct {
	// Slots, Connections and ColdLimit are used for targets that do not announce their own.
	// ColdLimit is the number of concurrent requests that a cold target accepts.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	ColdLimit   int `json:"bears,omitempty"`
	// Deadline is the deadline of a query that does not set one.
	Deadline document.Duration `json:"deadline,omitzero"`
	// Routes names the routes for which version evidence is recorded separately.
	Routes []string `json:"routes,omitempty"`
}

// Rules are the rules that operators set. A rule that is absent, 0 or empty gets its default.
type Rules struct {
	// AddressTTL is how long callers may cache an address list.
	AddressTTL document.Duration `json:"keep,omitzero"`
	// Lease is how long an entry host may send work to targets without renewing its lease.
	Lease document.Duration `json:"lease,omitzero"`
	// RenewInterval is how often targets renew. ExpireAfter is the time without a renewal after
	// which a target is removed.
	RenewInterval document.Duration `json:"renew,omitzero"`
	ExpireAfter   document.Duration `json:"expire,omitzero"`
	// OnQuorumLoss is what entry hosts do without a quorum; see StopServing.
	OnQuorumLoss string          `json:"lost,omitempty"`
	Hedge        Hedge           `json:"hedge,omitzero"`
	Poison       Poison          `json:"poison,omitzero"`
	Moves        map[string]Move `json:"moves,omitempty"`
}

// Hedge bounds the extra sub-requests of hedges and retries.
type Hedge struct {
	// Budget is the share of extra sub-requests, of all sub-requests.
	Budget float64 `json:"budget,omitempty"`
	// Quantile is the latency quantile after which a hedge is sent.
	Quantile float64 `json:"quantile,omitempty"`
}

// Poison defines when a request that crashes targets is refused.
type Poison struct {
	// CrashThreshold is the number of target crashes after which the request is refused.
	CrashThreshold int `json:"deaths,omitempty"`
	// HoldDuration is how long the request is refused.
	HoldDuration document.Duration `json:"hold,omitzero"`
}

// Move requests that all traffic of a service go to a version by the deadline.
type Move struct {
	Version  string    `json:"version"`
	Deadline time.Time `json:"by"`
	// TrialShare is the share of the service's traffic that the version gets during its trial.
	TrialShare float64 `json:"trial,omitempty"`
}

// StopServing is the value of Rules.OnQuorumLoss: a host without a lease sends no work to
// targets.
const StopServing = "stop"

// Defaults of the rules.
const (
	DefaultAddressTTL     = 5 * time.Second
	DefaultLease          = 1500 * time.Millisecond
	DefaultRenewInterval  = 2 * time.Second
	DefaultExpireAfter    = 6 * time.Second
	DefaultBudget         = 0.05
	DefaultQuantile       = 0.95
	DefaultCrashThreshold = 2
	DefaultHoldDuration   = 10 * time.Minute
	DefaultTrialShare     = 0.02
	DefaultDeadline       = time.Second
	DefaultColdLimit      = 1
)

// Parse decodes and validates a document. Errors give name as the file. The error is a
// *document.FaultsError with the faults of the document.
func Parse(name string, text []byte) (*Document, error) {
	var d Document
	s, err := document.Read(name, text, &d)
	if err != nil {
		return nil, err
	}
	validate(s, &d)
	if err := s.Err(); err != nil {
		return nil, err
	}
	d.setDefaults()
	return &d, nil
}

// Empty returns a document with the default rules and without data centres, hosts and
// services. A host uses it until it has received an inventory.
func Empty() *Document {
	d := &Document{}
	d.setDefaults()
	return d
}

func (d *Document) setDefaults() {
	r := &d.Rules
	setDuration(&r.AddressTTL, DefaultAddressTTL)
	setDuration(&r.Lease, DefaultLease)
	setDuration(&r.RenewInterval, DefaultRenewInterval)
	setDuration(&r.ExpireAfter, max(DefaultExpireAfter, 3*r.RenewInterval.Duration))
	setDuration(&r.Poison.HoldDuration, DefaultHoldDuration)
	setValue(&r.OnQuorumLoss, StopServing)
	setValue(&r.Hedge.Budget, DefaultBudget)
	setValue(&r.Hedge.Quantile, DefaultQuantile)
	setValue(&r.Poison.CrashThreshold, DefaultCrashThreshold)
	for name, move := range r.Moves {
		setValue(&move.TrialShare, DefaultTrialShare)
		r.Moves[name] = move
	}
	for name, service := range d.Services {
		setDuration(&service.Deadline, DefaultDeadline)
		setValue(&service.ColdLimit, DefaultColdLimit)
		d.Services[name] = service
	}
}

func setDuration(d *document.Duration, v time.Duration) {
	if d.Duration == 0 {
		d.Duration = v
	}
}

func setValue[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
