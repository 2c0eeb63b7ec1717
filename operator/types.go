package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"wasabirelay/control"
	"wasabirelay/document"
	"wasabirelay/inventory"
	"wasabirelay/lease"
	"wasabirelay/problem"
)

// ApplyRequest is the body of POST /v1/inventory.
type ApplyRequest struct {
	// Base is the version that the change is based on; 0 if there is no inventory.
	Base uint64 `json:"base"`
	// Change identifies the change. A resend with the same identity and text gets
	// the first outcome.
	Change   string `json:"change"`
	Operator string `json:"operator"`
	// Text is the document, JSON with comments. It is kept as it is.
	Text string `json:"text"`
}

// ChangeResponse is the reply to POST /v1/inventory and POST /v1/moves/{service}/revert.
type ChangeResponse struct {
	// Version is the version of the inventory after the change.
	Version uint64 `json:"version"`
	// Index is the log index of the change.
	Index    uint64 `json:"index"`
	Accepted bool   `json:"accepted"`
	// InForce is true if no host that may give out work lacks the change.
	InForce bool `json:"force"`
	// Hosts states, per host, whether the change is in force there. It is empty
	// if the leader could not be asked; Detail then has the reason.
	Hosts []lease.Status `json:"hosts"`
	// PreviousLeasesEnd is set while leases of a previous leader may last; nothing is
	// reported as in force until then.
	PreviousLeasesEnd time.Time `json:"settled,omitzero"`
	Detail            string    `json:"detail,omitempty"`
}

// CheckRequest is the body of POST /v1/inventory/check.
type CheckRequest struct {
	Text string `json:"text"`
}

// CheckResponse is the reply to POST /v1/inventory/check for a document without faults.
type CheckResponse struct {
	// Version is the version of the current inventory.
	Version uint64 `json:"version"`
	// Differences lists what the document changes, from the current inventory.
	Differences []inventory.Change `json:"differences"`
}

// Rules is the reply to GET /v1/rules. Defaults are filled in.
type Rules struct {
	Version uint64          `json:"version"`
	Rules   inventory.Rules `json:"rules"`
}

// Moves is the reply to GET /v1/moves, in the order of services.
type Moves struct {
	Moves []Move `json:"moves"`
}

// Move is the reply to GET /v1/moves/{service}.
type Move struct {
	control.MoveRecord
	// Targets is the number of targets of the service by version.
	Targets map[string]int `json:"targets"`
}

// RevertRequest is the body of POST /v1/moves/{service}/revert.
type RevertRequest struct {
	Change   string `json:"change"`
	Operator string `json:"operator"`
	// Version is the version whose move is reverted, so that a late request does
	// not revert a later move.
	Version string `json:"version"`
	Reason  string `json:"reason"`
}

// Hosts is the reply to GET /v1/hosts, in the order of names.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Host is an entry host with its lease. The lease is absent if the leader could
// not be asked.
type Host struct {
	control.Host
	Lease *lease.Status `json:"lease,omitempty"`
}

// Targets is the reply to GET /v1/targets, in the order of services and names.
type Targets struct {
	Targets []*control.Target `json:"targets"`
}

// Version is the reply to GET /v1/version.
type Version struct {
	// Program is the version of the daemon, Go that of its compiler.
	Program string `json:"program"`
	Go      string `json:"go"`
	Host    string `json:"host"`
	Leader  Leader `json:"leader"`
	// Inventory is the version of the inventory, Revision the index of the last
	// command that this host has applied.
	Inventory uint64 `json:"inventory"`
	Revision  uint64 `json:"revision"`
}

// Leader is the leader of the replicated log as this host knows it.
type Leader struct {
	// Host is empty while no leader is known.
	Host string `json:"host"`
	Term uint64 `json:"term"`
	// Since is when this host learned of the leader, or lost it.
	Since time.Time `json:"since,omitzero"`
}

// Replica is a control replica as the leader sees it.
type Replica struct {
	Host    string `json:"host"`
	Learner bool   `json:"learner,omitempty"`
	// EntriesBehind is the number of log entries that the replica lacks.
	EntriesBehind uint64 `json:"behind"`
	// SilentSince is when the replica last answered, if it does not answer now.
	SilentSince time.Time `json:"silent,omitzero"`
}

// Refusal is the problem document of the operator interface.
type Refusal struct {
	problem.Details
	// Operator and Change identify the change that won a conflict.
	Operator string `json:"operator,omitempty"`
	Change   string `json:"change,omitempty"`
	// Version is the current version of the inventory.
	Version uint64 `json:"version,omitempty"`
	// Differences lists what differs between the winner (from) and the refused
	// document (to).
	Differences []inventory.Change `json:"differences,omitempty"`
	// Faults lists the faults of a document.
	Faults []document.Fault `json:"faults,omitempty"`
}

// Write sends the refusal with all its members as the response.
func (f *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(f) // The client has gone if this fails.
}

// Unwrap returns the problem details, so that errors.As finds them.
func (f *Refusal) Unwrap() error { return &f.Details }

// Level is how urgent a finding is.
type Level string

// Values of Level, from the most urgent.
const (
	// Failed means that callers are refused or get incomplete answers.
	Failed Level = "failed"
	// Reduced means that service continues, but another fault may cost answers.
	Reduced Level = "reduced"
	// Notice means that something is in progress or was asked for by an operator.
	Notice Level = "notice"
)

// Finding is one thing that is not as it should be.
type Finding struct {
	Level Level `json:"level"`
	// Subject is the kind and name of what the finding is about, such as "host h2".
	Subject string `json:"subject"`
	// Description states the fault, Since when it began; Since is zero if this is unknown.
	Description string    `json:"what"`
	Since       time.Time `json:"since,omitzero"`
	// SystemAction states what the system does about the fault, OperatorAction what the
	// operator has to do.
	SystemAction   string `json:"did"`
	OperatorAction string `json:"want"`
}

// Status is the reply to GET /v1/status.
type Status struct {
	Time time.Time `json:"time"`
	Host string    `json:"host"`
	// Level is that of the most urgent finding; empty if there is none.
	Level     Level     `json:"level,omitempty"`
	Leader    Leader    `json:"leader"`
	Inventory uint64    `json:"inventory"`
	Targets   int       `json:"targets"`
	Findings  []Finding `json:"findings"`
}
