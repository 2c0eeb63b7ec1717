package soak

import (
	"fmt"
	"net/http"
	"sync"

	"wasabirelay/platform/standin"
)

// maxViolations bounds the violations that are kept.
const maxViolations = 20

// checker compares what callers get with what targets ran.
type checker struct {
	mu         sync.Mutex
	runs       map[string]int
	refusals   map[string]int // the status of a request that may run once and was said not to have run
	singleRun  map[string]bool
	complete   int64
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

// recordRun notes that a target began to run a request.
func (c *checker) recordRun(_ *standin.Target, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[request]++
}

// checkAnswer checks an answer that a caller got.
func (c *checker) checkAnswer(id string, once bool, a *standin.Answer) {
	if a.Status == http.StatusOK {
		c.mu.Lock()
		c.complete++
		ran := c.runs[id]
		c.mu.Unlock()
		if ran == 0 {
			c.addViolation("request %s was answered and no target ran it", id)
		}
		if !once {
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
	case once && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests):
		c.refusals[id] = a.Status
	case a.Status == http.StatusNotFound && len(c.violations) < maxViolations:
		c.violations = append(c.violations, "request "+id+" on a route of every document got 404")
	}
}

// expectSingleRun notes a request that may run expectSingleRun.
func (c *checker) expectSingleRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.singleRun[id] = true
}

// report checks what shows at the end only.
func (c *checker) report(r *Run) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.singleRun {
		if n := c.runs[id]; n > 1 {
			c.violations = append(c.violations, fmt.Sprintf("request %s may run once and ran %d times", id, n))
		}
	}
	for id, status := range c.refusals {
		if c.runs[id] > 0 {
			c.violations = append(c.violations, fmt.Sprintf("request %s got %d, which says that it has not run, and ran", id, status))
		}
	}
	return &Report{
		Seed: r.Seed, Requests: r.requests.Load(), Complete: c.complete, Refused: c.refused, Documents: r.acked.Load(), Violations: c.violations,
	}
}
