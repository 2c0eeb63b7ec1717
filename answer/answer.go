// Package answer handles a query from its arrival to its answer: it selects a snapshot, sends
// a sub-request to one replica of each shard, validates the replies and reports the coverage.
// Pure functions and the state machine round make the decisions; queryRun does the I/O.
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
	// Idempotent is true if running the query twice has the same effect as running it once.
	Idempotent bool `json:"idempotent"`
}

// Accept holds the conditions under which the caller accepts an answer.
type Accept struct {
	// Coverage is the minimum fraction of shards that must answer, above 0 and up to 1. 0 means 1.
	Coverage float64 `json:"coverage,omitempty"`
}

// Query is a validated request with the values of its headers.
type Query struct {
	Request
	Service string
	// Key is the idempotency key; it is set if the request is not idempotent.
	Key string
	// Deadline is the time at which the caller stops waiting.
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
	// Version is the version of the targets that answered, or empty if their versions differ.
	Version  string   `json:"version,omitempty"`
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	Shards   []Shard  `json:"shards"`
}

// Coverage is the number of the snapshot's shards that answered, with the missing ones.
type Coverage struct {
	Answered int   `json:"answered"`
	Total    int   `json:"total"`
	Missing  []int `json:"missing"`
}

// Shard is the part of an answer that comes from one shard.
type Shard struct {
	Shard  int             `json:"shard"`
	Result json.RawMessage `json:"result"`
}

// worse returns the first of the two values in the order Ran, Unknown, None.
func worse(a, b problem.Executed) problem.Executed {
	rank := map[problem.Executed]int{problem.None: 0, problem.Unknown: 1, problem.Ran: 2}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
