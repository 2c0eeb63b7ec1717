package control

import (
	"time"

	"wasabirelay/document"
	"wasabirelay/inventory"
)

// Command is one entry of the replicated log. At most one of the fields besides At is
// set; a command with none of them only advances the time of the state. Replicas apply a
// command as it was decoded from JSON.
type Command struct {
	// At is the leader's time when it proposed the command. It never decreases.
	At        time.Time       `json:"at"`
	Inventory *ApplyInventory `json:"inventory,omitempty"`
	Announce  *Announce       `json:"announce,omitempty"`
	Leave     *Leave          `json:"leave,omitempty"`
	Claim     *Claim          `json:"claim,omitempty"`
	Finish    *Finish         `json:"finish,omitempty"`
	Grant     *AcquireGrant   `json:"grant,omitempty"`
	Release   *ReleaseGrant   `json:"release,omitempty"`
	Suspect   *SuspectRequest `json:"suspect,omitempty"`
	// Suspects is a batch of at most 64 suspects. It lets a death with many requests in
	// flight be reported in one command.
	Suspects []SuspectRequest `json:"suspects,omitempty"`
	Move     *StepMove        `json:"move,omitempty"`
	Routing  *ApplyRouting    `json:"routing,omitempty"`
	Evacuate *Evacuate        `json:"evacuate,omitempty"`
	Begin    *BeginMove       `json:"begin,omitempty"`
	Duty     *DutyStep        `json:"duty,omitempty"`
}

// ApplyInventory replaces the inventory if its version is still Base.
type ApplyInventory struct {
	Base uint64 `json:"base"`
	// Change identifies the change. A resend with the same identity gets the stored outcome.
	Change   string `json:"change"`
	Operator string `json:"operator"`
	// Text is the unmodified document of the operator.
	Text string `json:"text"`
}

// Announce adds a target or replaces its previous announcement.
type Announce struct {
	Target Target `json:"target"`
}

// Leave removes a target.
type Leave struct {
	Target      string      `json:"target"`
	Incarnation string      `json:"incarnation"`
	Reason      LeaveReason `json:"reason"`
	// Home is the host at which the target expired. If it is set, the command is refused
	// when the target has renewed through another host in the meantime.
	Home string `json:"home,omitempty"`
}

// LeaveReason is why a target was removed.
type LeaveReason string

// Values of LeaveReason.
const (
	Left    LeaveReason = "left"
	Expired LeaveReason = "expired"
	Crashed LeaveReason = "crashed"
)

// Claim reserves an idempotency key for one execution on one host.
type Claim struct {
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Host        string `json:"host"`
}

// Outcome is the outcome of a claimed request.
type Outcome string

// Values of Outcome. A claim is pending until a Finish command records another outcome.
// A request with an unknown outcome may or may not have run.
const (
	OutcomePending Outcome = "pending"
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "none"
	OutcomeUnknown Outcome = "unknown"
)

// Finish records the outcome of a claimed request.
type Finish struct {
	Key     string  `json:"key"`
	Host    string  `json:"host"`
	Outcome Outcome `json:"outcome"`
}

// AcquireGrant requests a share of an allowance that hosts divide among themselves.
type AcquireGrant struct {
	// Name identifies the allowance, for example "cold/od-3-1/5f0c".
	Name string `json:"name"`
	// Limit is the size of the allowance, Amount the requested share.
	Limit  int           `json:"limit"`
	Amount int           `json:"amount"`
	Holder string        `json:"holder"`
	Term   time.Duration `json:"term"`
}

// ReleaseGrant returns a grant before its end.
type ReleaseGrant struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	// Index is the Result.Index of the grant that is returned. If it is set, a release that
	// arrives after a later grant of the same holder is refused. A holder that leaves it at
	// 0 must wait for the result of the release before it requests another grant: a late
	// release would end the new grant while the holder uses it.
	Index uint64 `json:"index,omitempty"`
}

// SuspectRequest reports that a target died with a request in flight, or withdraws such
// a report.
type SuspectRequest struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Shard       int    `json:"shard"`
	// Early is true if the death was observed but is not confirmed yet. An early death
	// counts for 5 s or until it is cleared; a later report without Early confirms it.
	Early bool `json:"early,omitempty"`
	// Cleared is true if a target has answered the same request for the shard. It withdraws
	// the early deaths of that shard; Target and Incarnation are ignored.
	Cleared bool `json:"cleared,omitempty"`
}

// StepMove changes the state of a version move.
type StepMove struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// From is the step that the decision is based on. If it is set, the command is refused
	// when the move has taken another step in the meantime.
	From string `json:"from,omitempty"`
	// Step is the new step; see package move.
	Step   string  `json:"step"`
	Share  float64 `json:"share"`
	Reason string  `json:"reason"`
	// Revert ends the move: the version gets no traffic, and further steps are refused. The
	// Share of the command is ignored.
	Revert bool `json:"revert,omitempty"`
	// Operator and Change are set when an operator reverts the move.
	Operator string `json:"operator,omitempty"`
	Change   string `json:"change,omitempty"`
}

// Result is the outcome of a command. A change that is resent gets the stored result of
// the first command, with its index and version.
type Result struct {
	// Index is the index of the command in the log.
	Index uint64 `json:"index"`
	// Version is the inventory version after the command.
	Version uint64   `json:"version,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Holder and Outcome describe the first claim of the key. A later claim also
	// gets a refusal: Taken, or Conflict if its fingerprint differs.
	Holder  string  `json:"holder,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Granted is the amount that the holder has; it may be less than requested.
	Granted int `json:"granted,omitempty"`
	// Dropped lists the snapshots that were removed from an announcement, because other
	// targets announce them with another number of shards.
	Dropped []Snapshot `json:"dropped,omitempty"`
}

// RefusalKind is why a command was refused.
type RefusalKind string

// Values of RefusalKind.
const (
	Conflict RefusalKind = "conflict"
	Invalid  RefusalKind = "invalid"
	Stale    RefusalKind = "stale"
	Taken    RefusalKind = "taken"
	Absent   RefusalKind = "absent"
)

// Refusal is why the state machine refused a command.
type Refusal struct {
	Kind   RefusalKind `json:"kind"`
	Detail string      `json:"detail"`
	// Operator and Change identify the change that was accepted instead.
	Operator string `json:"operator,omitempty"`
	Change   string `json:"change,omitempty"`
	// Differences lists the fields that differ between the accepted document (From) and the
	// refused one (To), at most 64.
	Differences []inventory.Change `json:"differences,omitempty"`
	// Faults lists the faults of an invalid document, at most 64.
	Faults []document.Fault `json:"faults,omitempty"`
}

func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Detail }
