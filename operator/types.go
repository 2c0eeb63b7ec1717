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
	// Base is the inventory version that the change is based on; 0 if there is none.
	Base uint64 `json:"base"`
	// Change identifies the change. A resend with the same identity and text returns the
	// outcome of the first request.
	Change   string `json:"change"`
	Operator string `json:"operator"`
	// Text is the document, JSON with comments. It is stored unchanged.
	Text string `json:"text"`
}

// ChangeResponse is the response to POST /v1/inventory and POST /v1/moves/{service}/revert.
type ChangeResponse struct {
	// Version is the version of the inventory after the change.
	Version uint64 `json:"version"`
	// Index is the log index of the change.
	Index    uint64 `json:"index"`
	Accepted bool   `json:"accepted"`
	// InForce is true if every host that may dispatch work has applied the change.
	InForce bool `json:"force"`
	// Hosts states for each host whether the change is in force there. It is empty if the
	// leader can't be reached; Detail then contains the reason.
	Hosts []lease.Status `json:"hosts"`
	// PreviousLeasesEnd is when all leases of previous leaders have ended; zero if that is
	// in the past. Until then no change is reported as in force.
	PreviousLeasesEnd time.Time `json:"settled,omitzero"`
	Detail            string    `json:"detail,omitempty"`
}

// CheckRequest is the body of POST /v1/inventory/check.
type CheckRequest struct {
	Text string `json:"text"`
}

// CheckResponse is the response to POST /v1/inventory/check for a document without faults.
type CheckResponse struct {
	// Version is the version of the current inventory.
	Version uint64 `json:"version"`
	// Differences lists the changes from the current inventory to the document.
	Differences []inventory.Change `json:"differences"`
}

// Rules is the response to GET /v1/rules. Rules that are not set have their defaults.
type Rules struct {
	Version uint64          `json:"version"`
	Rules   inventory.Rules `json:"rules"`
}

// Moves is the response to GET /v1/moves, sorted by service.
type Moves struct {
	Moves []Move `json:"moves"`
}

// Move is the response to GET /v1/moves/{service}.
type Move struct {
	control.MoveRecord
	// Targets is the number of targets of the service by version.
	Targets map[string]int `json:"targets"`
}

// RevertRequest is the body of POST /v1/moves/{service}/revert.
type RevertRequest struct {
	Change   string `json:"change"`
	Operator string `json:"operator"`
	// Version is the version whose move is reverted, so that a late request can't revert a
	// later move.
	Version string `json:"version"`
	Reason  string `json:"reason"`
}

// Hosts is the response to GET /v1/hosts, sorted by name.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Host is an entry host with its lease. The lease is absent if the host has none or the
// leader can't be reached.
type Host struct {
	control.Host
	Lease *lease.Status `json:"lease,omitempty"`
}

// Targets is the response to GET /v1/targets, sorted by service and name.
type Targets struct {
	Targets []*control.Target `json:"targets"`
}

// Version is the response to GET /v1/version.
type Version struct {
	// Program is the version of the daemon, Go the version of its compiler.
	Program string `json:"program"`
	Go      string `json:"go"`
	Host    string `json:"host"`
	Leader  Leader `json:"leader"`
	// Inventory is the version of the inventory, Revision the log index of the last command
	// that this host has applied.
	Inventory uint64 `json:"inventory"`
	Revision  uint64 `json:"revision"`
}

// Leader is the leader of the replicated log as known to this host.
type Leader struct {
	// Host is empty while no leader is known.
	Host string `json:"host"`
	Term uint64 `json:"term"`
	// Since is when this host learned of the leader, or when it lost the leader.
	Since time.Time `json:"since,omitzero"`
}

// Replica is the state of a control replica as reported by the leader.
type Replica struct {
	Host    string `json:"host"`
	Learner bool   `json:"learner,omitempty"`
	// EntriesBehind is the number of committed log entries that the replica lacks.
	EntriesBehind uint64 `json:"behind"`
	// SilentSince is when the replica last answered the leader; zero if it answers.
	SilentSince time.Time `json:"silent,omitzero"`
}

// Refusal is the problem document of the operator API.
type Refusal struct {
	problem.Details
	// Operator and Change identify the accepted change that the refused one conflicts with.
	Operator string `json:"operator,omitempty"`
	Change   string `json:"change,omitempty"`
	// Version is the current version of the inventory.
	Version uint64 `json:"version,omitempty"`
	// Differences lists the differences from the accepted document to the refused one.
	Differences []inventory.Change `json:"differences,omitempty"`
	// Faults lists the faults of the refused document.
	Faults []document.Fault `json:"faults,omitempty"`
}

// Write sends the refusal with all its members as the response.
func (r *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(r) // An error means that the client has disconnected.
}

// Unwrap returns the problem details, so that errors.As finds them.
func (r *Refusal) Unwrap() error { return &r.Details }

// Level is the urgency of a finding.
type Level string

// Values of Level, from the most urgent.
const (
	// Failed means that callers get refusals or incomplete answers.
	Failed Level = "failed"
	// Reduced means that service continues, but a further fault may cause refusals or
	// incomplete answers.
	Reduced Level = "reduced"
	// Notice means that something is in progress or was requested by an operator.
	Notice Level = "notice"
)

// Finding is one deviation from normal operation.
type Finding struct {
	Level Level `json:"level"`
	// Subject is the kind and name of the affected object, such as "host h2".
	Subject string `json:"subject"`
	// Description states the fault, Since when it began; Since is zero if that is unknown.
	Description string    `json:"what"`
	Since       time.Time `json:"since,omitzero"`
	// SystemAction states what the system does about the fault, OperatorAction what the
	// operator has to do.
	SystemAction   string `json:"did"`
	OperatorAction string `json:"want"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Time time.Time `json:"time"`
	Host string    `json:"host"`
	// Level is the level of the most urgent finding; empty if there are no findings.
	Level     Level     `json:"level,omitempty"`
	Leader    Leader    `json:"leader"`
	Inventory uint64    `json:"inventory"`
	Targets   int       `json:"targets"`
	Findings  []Finding `json:"findings"`
}
