// Package rank decides who goes first when there is too little room, and who pays: in which order requests that
// wait for a target are served, which of them are refused, and when refused callers return. A request's rank is a
// number from 0, the highest. The package does no I/O.
package rank

import (
	"math"
	"time"
)

// Count is the number of ranks that are told apart. A rank beyond the last one counts as the last.
const Count = 8

// Standing is what is known about the caller of a request from its earlier requests.
type Standing int

// Values of Standing, in the order in which callers of the same rank are served.
const (
	// Returned means that the request was refused before, and that its caller has waited as long as told.
	Returned Standing = iota - 1
	// Newcomer means that nothing is known; it is the zero value.
	Newcomer
	// Repeating means that the caller often comes back before the time that it was told.
	Repeating
)

// Terms are what a request competes for room with.
type Terms struct {
	Rank int
	// Objective is when the caller wants the answer, Deadline when the answer is useless; zero if there is none.
	Objective, Deadline time.Time
	// Since is when the host received the request, ID its identity. All sub-requests of a request have the same,
	// so that requests which are otherwise equal have the same order at all targets.
	Since    time.Time
	ID       string
	Standing Standing
	// Spare is true if the response can do without this sub-request.
	Spare bool
	// Hedge is true if another sub-request for the same shard is in progress.
	Hedge bool
}

// index returns the rank of the terms in the range of the ranks that are told apart.
func (t *Terms) index() int { return clamp(t.Rank) }

func clamp(r int) int { return min(max(r, 0), Count-1) }

// decay returns what is left of a decayed count after some time.
func decay(passed, constant time.Duration) float64 {
	return math.Exp(-passed.Seconds() / constant.Seconds())
}
