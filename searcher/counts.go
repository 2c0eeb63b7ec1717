package searcher

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabirelay/document"
	"wasabirelay/target"
)

// maxIdentities is the maximum number of identities whose runs are counted individually.
// It covers 27 s at 2,415 sub-requests/s per searcher, the rate that the system is designed for.
const maxIdentities = 1 << 16

// identity identifies a sub-request, or a caller's request for one shard.
type identity struct {
	request string
	shard   int
}

// Counts holds the counters of a searcher.
type Counts struct {
	Received int `json:"received"`
	Served   int `json:"served"`
	Running  int `json:"running"`
	// Refused counts refusals by reason.
	Refused   map[string]int `json:"refused"`
	Cancelled int            `json:"cancelled"`
	// MaxColdAdmitted is the maximum number of sub-requests that were admitted at the
	// same time while the searcher was cold.
	MaxColdAdmitted int `json:"cold"`
	// ReceivedDraining is the number of sub-requests received since draining began.
	// LastDraining is the time from the accepted announcement of the draining state to
	// the last of them.
	ReceivedDraining int               `json:"draining"`
	LastDraining     document.Duration `json:"last"`
	// MaxRuns is the maximum number of runs of one caller's request for one shard.
	MaxRuns int `json:"most"`
	// Runs is the number of runs by caller's request and shard, for the last 65,536 of them.
	Runs map[string]map[int]int `json:"runs"`
	// Connections counts accepted connections within the limit, RejectedConnections
	// those above it, which are closed at once.
	Connections         int `json:"connections"`
	RejectedConnections int `json:"closed"`
}

// counts extends Counts with its bookkeeping. It is guarded by Searcher.mu.
type counts struct {
	Counts
	runs           map[identity]int
	ring           []identity // keys of runs; the oldest is at next once the ring is full
	next           int
	drainingSince  time.Time // zero if not draining
	drainAnnounced time.Time // when a host accepted the announcement of draining
}

// recordRun counts a run of a sub-request under the identity of the caller's request, so
// that two attempts at one request count as two runs.
func (c *counts) recordRun(id identity) {
	id.request = callerIdentity(id.request)
	if _, ok := c.runs[id]; !ok {
		if len(c.ring) < maxIdentities {
			c.ring = append(c.ring, id)
		} else {
			delete(c.runs, c.ring[c.next])
			c.ring[c.next] = id
			c.next = (c.next + 1) % maxIdentities
		}
	}
	c.runs[id]++
	c.MaxRuns = max(c.MaxRuns, c.runs[id])
}

// callerIdentity returns the identity of the caller's request. The identity of a
// sub-request has the form caller/run/attempt, where attempt is a number; any other
// identity is returned unchanged.
func callerIdentity(request string) string {
	rest, attempt, ok := cutLast(request)
	if _, err := strconv.Atoi(attempt); !ok || err != nil {
		return request
	}
	if caller, _, ok := cutLast(rest); ok {
		return caller
	}
	return request
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

func (c *counts) recordRefusal(reason string) {
	if c.Refused == nil {
		c.Refused = map[string]int{}
	}
	c.Refused[reason]++
}

// recordReceived counts a received sub-request, whether or not it is admitted.
func (c *counts) recordReceived(now time.Time) {
	c.Received++
	if c.drainingSince.IsZero() {
		return
	}
	c.ReceivedDraining++
	if !c.drainAnnounced.IsZero() {
		c.LastDraining = document.Duration{Duration: now.Sub(c.drainAnnounced)}
	}
}

// Counts returns a copy of the counts.
func (s *Searcher) Counts() Counts { return s.copyCounts(true) }

func (s *Searcher) copyCounts(includeRuns bool) Counts {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts.Counts
	out.Refused = map[string]int{}
	for reason, n := range s.counts.Refused {
		out.Refused[reason] = n
	}
	out.Runs = map[string]map[int]int{}
	if !includeRuns {
		return out
	}
	for id, n := range s.counts.runs {
		if out.Runs[id.request] == nil {
			out.Runs[id.request] = map[int]int{}
		}
		out.Runs[id.request][id.shard] = n
	}
	return out
}

// getCounts serves GET /counts. With runs=false it omits the runs, which take several
// megabytes for 65,536 identities.
func (s *Searcher) getCounts(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.copyCounts(r.URL.Query().Get("runs") != "false"))
}

// refuse counts a refusal and responds to a sub-request that was not run.
func (s *Searcher) refuse(w http.ResponseWriter, reason, detail string) {
	s.mu.Lock()
	s.counts.recordRefusal(reason)
	s.mu.Unlock()
	w.Header().Set(target.HeaderReason, reason)
	http.Error(w, detail, http.StatusServiceUnavailable)
}
