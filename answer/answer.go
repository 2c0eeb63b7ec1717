// Package answer carries a query from its arrival to its answer: it selects a
// snapshot, asks one replica of each shard, checks the replies and reports the
// coverage. Decisions are made by pure functions and by the state machine round;
// run does the I/O around them.
package answer

import (
	"encoding/json"
	"time"

	"wasabirelay/problem"
)

// Request is the body of a caller's query.
type Request struct {
	// Request is the caller's identity of the request: 1 to 128 visible ASCII characters.
	Request string          `json:"request"`
	Query   json.RawMessage `json:"query"`
	// Route is one of the service's routes in the inventory, or empty.
	Route  string `json:"route,omitempty"`
	Accept Accept `json:"accept,omitzero"`
	// Idempotent states that running the query twice has the effect of running it once.
	Idempotent bool `json:"idempotent"`
}

// Accept is what the caller accepts as an answer.
type Accept struct {
	// Coverage is the least share of shards, above 0 and up to 1; 0 stands for 1.
	Coverage float64 `json:"coverage,omitempty"`
}

// Query is a checked request with what its headers say.
type Query struct {
	Request
	Service string
	// Key is the idempotency key; it is set if the request is not idempotent.
	Key string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Fingerprint identifies service, route and query; see package poison.
	Fingerprint string
}

// acceptsCoverage reports whether the caller accepts an answer from answered of total shards.
func (q *Query) acceptsCoverage(answered, total int) bool {
	least := q.Accept.Coverage
	if least == 0 {
		least = 1
	}
	return answered > 0 && float64(answered) >= least*float64(total)
}

// Answer is the answer to a query.
type Answer struct {
	Request string `json:"request"`
	Service string `json:"service"`
	// Version is the version of the targets that answered, empty if they differ.
	Version  string   `json:"version,omitempty"`
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	Shards   []Shard  `json:"shards"`
}

// Coverage states how many of the snapshot's shards answered.
type Coverage struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

// Shard is the part of an answer that one shard gave.
type Shard struct {
	Shard  int             `json:"shard"`
	Result json.RawMessage `json:"result"`
}

// worse returns the stronger statement about execution: ran over unknown over none.
func worse(a, b problem.Executed) problem.Executed {
	rank := map[problem.Executed]int{problem.None: 0, problem.Unknown: 1, problem.Ran: 2}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
