// Package inventory defines the operators' document: data centres, entry hosts,
// services and rules. The document is JSON with comments and is kept as written.
package inventory

import (
	"net/netip"
	"time"

	"wasabirelay/document"
)

// Document is a checked inventory.
type Document struct {
	Region   string             `json:"region"`
	Centres  map[string]Centre  `json:"centres"`
	Hosts    map[string]Host    `json:"hosts"`
	Services map[string]Service `json:"services"`
	Rules    Rules              `json:"rules"`
}

// Centre is a data centre.
type Centre struct {
	// Out takes the data centre out: its targets get no new work.
	Out bool `json:"out,omitempty"`
}

// Host is an entry host.
type Host struct {
	Centre string `json:"centre"`
	// Caller, Operator and Peer are the addresses of the three listeners.
	Caller   netip.AddrPort `json:"caller"`
	Operator netip.AddrPort `json:"operator"`
	Peer     netip.AddrPort `json:"peer"`
	// Control states that the host keeps the control state on its disk.
	Control bool `json:"control,omitempty"`
	// Out takes the host out of the address list.
	Out bool `json:"out,omitempty"`
}

// Service is a set of shards that callers query by one name.
type Service struct {
	// Slots, Connections and Bears stand in for what targets do not announce.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	Bears       int `json:"bears,omitempty"`
	// Deadline bounds a query that comes without one.
	Deadline document.Duration `json:"deadline,omitzero"`
	// Routes names the routes on which version evidence is kept apart.
	Routes []string `json:"routes,omitempty"`
}

// Rules are the operators' rules.
type Rules struct {
	// Keep is how long callers may keep an address list.
	Keep document.Duration `json:"keep,omitzero"`
	// Lease is how long an entry host may give out work without a renewal.
	Lease document.Duration `json:"lease,omitzero"`
	// Renew is how often targets renew; Expire is when a silent one is removed.
	Renew  document.Duration `json:"renew,omitzero"`
	Expire document.Duration `json:"expire,omitzero"`
	// Lost states what entry hosts do without a quorum; see Stop.
	Lost   string          `json:"lost,omitempty"`
	Hedge  Hedge           `json:"hedge,omitzero"`
	Poison Poison          `json:"poison,omitzero"`
	Moves  map[string]Move `json:"moves,omitempty"`
}

// Hedge bounds the extra sub-requests of hedges and retries.
type Hedge struct {
	// Budget is the share of extra sub-requests, of all sub-requests.
	Budget float64 `json:"budget,omitempty"`
	// Quantile is the latency quantile after which a hedge is sent.
	Quantile float64 `json:"quantile,omitempty"`
}

// Poison states when a request that crashes targets is refused.
type Poison struct {
	// Deaths is the number of targets that a request may crash before it is refused.
	Deaths int `json:"deaths,omitempty"`
	// Hold is how long it is refused.
	Hold document.Duration `json:"hold,omitzero"`
}

// Move asks for a service's traffic to go to a version by a time.
type Move struct {
	Version string    `json:"version"`
	By      time.Time `json:"by"`
	// Trial is the share of the service's traffic that the version gets on trial.
	Trial float64 `json:"trial,omitempty"`
}

// Stop is the value of Rules.Lost: without a lease a host gives out no work.
const Stop = "stop"

// Defaults of the rules.
const (
	DefaultKeep     = 5 * time.Second
	DefaultLease    = 1500 * time.Millisecond
	DefaultRenew    = 2 * time.Second
	DefaultExpire   = 6 * time.Second
	DefaultBudget   = 0.05
	DefaultQuantile = 0.95
	DefaultDeaths   = 2
	DefaultHold     = 10 * time.Minute
	DefaultTrial    = 0.02
	DefaultDeadline = time.Second
	DefaultBears    = 1
)

// Parse reads and checks a document. name stands for the file in errors. The
// error is a *document.FaultsError that holds every fault.
func Parse(name string, text []byte) (*Document, error) {
	var d Document
	s, err := document.Read(name, text, &d)
	if err != nil {
		return nil, err
	}
	check(s, &d)
	if err := s.Err(); err != nil {
		return nil, err
	}
	d.setDefaults()
	return &d, nil
}

// Empty returns a document without data centres, hosts and services, with the
// default rules. It stands in while a host knows no inventory.
func Empty() *Document {
	d := &Document{}
	d.setDefaults()
	return d
}

func (d *Document) setDefaults() {
	r := &d.Rules
	setDuration(&r.Keep, DefaultKeep)
	setDuration(&r.Lease, DefaultLease)
	setDuration(&r.Renew, DefaultRenew)
	setDuration(&r.Expire, max(DefaultExpire, 3*r.Renew.Duration))
	setDuration(&r.Poison.Hold, DefaultHold)
	setValue(&r.Lost, Stop)
	setValue(&r.Hedge.Budget, DefaultBudget)
	setValue(&r.Hedge.Quantile, DefaultQuantile)
	setValue(&r.Poison.Deaths, DefaultDeaths)
	for name, move := range r.Moves {
		setValue(&move.Trial, DefaultTrial)
		r.Moves[name] = move
	}
	for name, service := range d.Services {
		setDuration(&service.Deadline, DefaultDeadline)
		setValue(&service.Bears, DefaultBears)
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
