// Package usage counts the requests of organisations by time window. Entry hosts count, and one
// control host at a time collects the counts and reports them.
package usage

import (
	"time"
)

// Method is the jsonrpc2 method by which entry hosts send their counts to the host that collects them.
const Method = "usage.record"

// maxWindows bounds the windows that an entry host or the collecting host keeps.
const maxWindows = 120

// Counts are the requests by organisation.
type Counts map[string]uint64

// Window holds the counts of a window. Window n begins n times its length after 1970.
type Window struct {
	Number uint64 `json:"number"`
	Counts Counts `json:"counts"`
}

// Record holds all that an entry host has counted in some windows so far, including what it has sent in earlier
// records of the same run.
type Record struct {
	Host string `json:"host"`
	// Start identifies the run of the host.
	Start int64 `json:"start"`
	// Token is the fencing token of the host that the record is meant for.
	Token   uint64   `json:"token"`
	Windows []Window `json:"windows"`
}

// Receipt is the reply to a record.
type Receipt struct {
	// Next is the first window that is not closed. Counts of earlier ones have no effect any more.
	Next uint64 `json:"next"`
}

// NotHolderError reports that a record was sent to a host that does not collect under its token.
type NotHolderError struct{ Token uint64 }

func (e *NotHolderError) Error() string { return "this host does not collect usage under that token" }

// number returns the number of the window at a time.
func number(at time.Time, length time.Duration) uint64 {
	return uint64(max(0, at.UnixNano()/int64(length))) //nolint:gosec // not negative
}
