package searcher

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabirelay/document"
	"wasabirelay/target"
)

// remembered bounds the identities that are counted one by one. At 2,415
// sub-requests/s per searcher, the size to design for, it covers 27 s.
const remembered = 1 << 16

// identity is the identity of a sub-request, or of a caller's request and a shard.
type identity struct {
	request string
	shard   int
}

// Counts is what a searcher ran and refused.
type Counts struct {
	Received int `json:"received"`
	Served   int `json:"served"`
	Running  int `json:"running"`
	// Refused counts refusals by reason.
	Refused   map[string]int `json:"refused"`
	Cancelled int            `json:"cancelled"`
	// MaxColdAdmitted is the highest number of sub-requests that it had admitted at the
	// same time while it was cold.
	MaxColdAdmitted int `json:"cold"`
	// ReceivedDraining is the number of sub-requests received since it drains, and Last
	// the time from the accepted announcement of that to the last of them.
	ReceivedDraining int               `json:"draining"`
	LastDraining     document.Duration `json:"last"`
	// MaxRuns is the highest number of runs of one caller's request and shard.
	MaxRuns int `json:"most"`
	// Runs holds the runs per caller's request and shard of the last 65,536 of them.
	Runs map[string]map[int]int `json:"runs"`
	// Connections counts accepted connections, Closed those above the limit.
	Connections         int `json:"connections"`
	RejectedConnections int `json:"closed"`
}

// counts is guarded by Searcher.mu.
type counts struct {
	Counts
	runs      map[identity]int
	order     []identity // ring of the keys of runs, oldest at next
	next      int
	drained   time.Time // when draining began
	announced time.Time // when a host accepted the announcement of it
}

// ran counts a run of a sub-request under the identity of its caller, so that
// two attempts at one request count as two runs.
func (c *counts) ran(id identity) {
	id.request = callerOf(id.request)
	if _, ok := c.runs[id]; !ok {
		if len(c.order) < remembered {
			c.order = append(c.order, id)
		} else {
			delete(c.runs, c.order[c.next])
			c.order[c.next] = id
			c.next = (c.next + 1) % remembered
		}
	}
	c.runs[id]++
	c.MaxRuns = max(c.MaxRuns, c.runs[id])
}

// callerOf returns the caller's identity of a request. The identity of a
// sub-request is that, a slash, the identity of the run, a slash and the number
// of the attempt; any other identity is returned as it is.
func callerOf(request string) string {
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

// refuse counts a refusal.
func (c *counts) refuse(reason string) {
	if c.Refused == nil {
		c.Refused = map[string]int{}
	}
	c.Refused[reason]++
}

// receive counts a received sub-request.
func (c *counts) receive(now time.Time) {
	c.Received++
	if c.drained.IsZero() {
		return
	}
	c.ReceivedDraining++
	if !c.announced.IsZero() {
		c.LastDraining = document.Duration{Duration: now.Sub(c.announced)}
	}
}

// Counts returns a copy of the counts.
func (s *Searcher) Counts() Counts { return s.countsOf(true) }

func (s *Searcher) countsOf(runs bool) Counts {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts.Counts
	out.Refused = map[string]int{}
	for reason, n := range s.counts.Refused {
		out.Refused[reason] = n
	}
	out.Runs = map[string]map[int]int{}
	if !runs {
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

// getCounts leaves the runs out if the query has runs=false: with 65,536
// identities they take several megabytes.
func (s *Searcher) getCounts(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.countsOf(r.URL.Query().Get("runs") != "false"))
}

// refuse answers a sub-request that was not run.
func (s *Searcher) refuse(w http.ResponseWriter, reason, detail string) {
	s.mu.Lock()
	s.counts.refuse(reason)
	s.mu.Unlock()
	w.Header().Set(target.HeaderReason, reason)
	http.Error(w, detail, http.StatusServiceUnavailable)
}
