package soak

import (
	"fmt"
	"net/http"
	"sync"

	"wasabirelay/platform/standin"
)

// maxViolations limits the recorded violations; those found by report may exceed it.
const maxViolations = 20

// checker compares the answers that callers get with the requests that targets ran.
type checker struct {
	mu         sync.Mutex
	runs       map[string]int
	refusals   map[string]int  // status by refused request that may run only once; it says that the request did not run
	singleRun  map[string]bool // by request: whether it may run only once
	answered   int64
	refused    int64
	violations []string
}

func (c *checker) init() {
	c.runs, c.refusals, c.singleRun = map[string]int{}, map[string]int{}, map[string]bool{}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// recordRun records that a target began to run a request.
func (c *checker) recordRun(x *standin.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[x.Request]++
}

// checkAnswer checks the answer to a request, which may run only once if singleRun is true.
func (c *checker) checkAnswer(id string, singleRun bool, a *standin.Answer) {
	if a.Status == http.StatusOK {
		c.mu.Lock()
		c.answered++
		ran := c.runs[id]
		c.mu.Unlock()
		if ran == 0 {
			c.addViolation("request %s was answered, but no target ran it", id)
		}
		if !singleRun {
			if err := a.Check(id, shards); err != nil {
				c.addViolation("%v", err)
			}
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused++
	switch {
	case singleRun && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests):
		c.refusals[id] = a.Status
	case a.Status == http.StatusNotFound && len(c.violations) < maxViolations:
		c.violations = append(c.violations, "request "+id+" got 404 on a route that every document has")
	}
}

// expectSingleRun records that a request may run only once.
func (c *checker) expectSingleRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.singleRun[id] = true
}

// report checks the runs of all requests at the end and returns the report of the run.
func (c *checker) report(r *Run) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.singleRun {
		if n := c.runs[id]; n > 1 {
			c.violations = append(c.violations, fmt.Sprintf("request %s may run only once, but ran %d times", id, n))
		}
	}
	for id, status := range c.refusals {
		if c.runs[id] > 0 {
			c.violations = append(c.violations, fmt.Sprintf("request %s was refused with %d as not run, but ran", id, status))
		}
	}
	return &Report{
		Seed: r.Seed, Requests: r.requests.Load(), Answered: c.answered, Refused: c.refused, Documents: r.acked.Load(), Violations: c.violations,
	}
}
