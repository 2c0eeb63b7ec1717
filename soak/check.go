package soak

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"wasabirelay/platform/standin"
)

// maxViolations limits the recorded violations, and the mixed answers among them; those found by report may exceed it.
const maxViolations = 20

// checker compares the answers that callers get with the requests that targets ran.
type checker struct {
	mu         sync.Mutex
	runs       map[string][]*standin.Execution // by request
	signed     map[string]*standin.Execution   // by signature
	queries    map[string]*standin.Query       // by request, if its method and body are checked
	refusals   map[string]int                  // status by refused request that may run only once; it says that the request did not run
	singleRun  map[string]bool                 // by request: whether it may run only once
	lost       map[string]int                  // status by request that got 502 or 504
	answered   int64
	refused    int64
	mixed      map[string]int // number of answers that are not those of their request, by the runs of it
	again      int            // number of requests that ran more than once at a target
	mixedTexts []string       // the first of them, apart from the other violations, which they would crowd out
	violations []string
}

func (c *checker) init() {
	c.runs, c.signed, c.queries = map[string][]*standin.Execution{}, map[string]*standin.Execution{}, map[string]*standin.Query{}
	c.refusals, c.singleRun, c.lost, c.mixed = map[string]int{}, map[string]bool{}, map[string]int{}, map[string]int{}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(format, args...)
}

// add adds a violation. The caller holds c.mu.
func (c *checker) add(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// addMixed adds the violation that an answer is not that of its request, or not whole. The caller holds c.mu.
func (c *checker) addMixed(id, format string, args ...any) {
	c.mixed["mixed, runs: "+c.forms(id)]++
	if len(c.mixedTexts) < maxViolations {
		c.mixedTexts = append(c.mixedTexts, "mixed: request "+id+" "+fmt.Sprintf(format, args...))
	}
}

// forms describes the runs of a request. The caller holds c.mu.
func (c *checker) forms(id string) string {
	var forms []string
	for _, x := range c.runs[id] {
		forms = append(forms, fmt.Sprintf("%s %d %s", x.Method, x.Status, x.Form))
	}
	slices.Sort(forms)
	return cmp.Or(strings.Join(slices.Compact(forms), "; "), "none")
}

// recordRun records that a target began to run a request.
func (c *checker) recordRun(x *standin.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[x.Request] = append(c.runs[x.Request], x)
	c.signed[x.Signature] = x
	if q := c.queries[x.Request]; q != nil && (q.Method != x.Method || !bytes.Equal(q.Body, x.RequestBody)) {
		c.add("request %s ran as %s with %d bytes, but was sent as %s with %d", x.Request, x.Method, len(x.RequestBody), q.Method, len(q.Body))
	}
}

// expect records the request that a caller is about to send.
func (c *checker) expect(q *standin.Query) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries[q.ID] = q
}

// checkAnswer checks the answer to a request to a route.
func (c *checker) checkAnswer(id string, to *route, a *standin.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Request != "" && a.Request != id {
		c.addMixed(id, "got the answer to request %s", a.Request)
	}
	if a.Status >= 200 && a.Status <= 299 {
		c.answered++
		if len(c.runs[id]) == 0 {
			c.add("request %s was answered, but no target ran it", id)
		}
		if to.merged {
			c.checkMerged(id, a)
		} else {
			c.checkSigned(id, a)
		}
		return
	}
	c.refused++
	if a.Signature != "" {
		c.checkSigned(id, a)
	}
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if to.singleRun {
			c.refusals[id] = a.Status
		}
	case http.StatusNotFound:
		if a.Signature == "" {
			c.add("request %s got 404 on a route that every document has", id)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		c.lost[id] = a.Status
	}
}

// checkMerged checks that a merged answer holds successful runs of its own request only. The caller holds c.mu.
func (c *checker) checkMerged(id string, a *standin.Answer) {
	if err := a.Check(id, shards); err != nil {
		c.addMixed(id, "got a wrong answer: %v", err)
		return
	}
	for _, signature := range a.Parts {
		switch x := c.signed[signature]; {
		case x == nil || x.Request != id:
			c.addMixed(id, "got part %s, which no run of it has signed", signature)
		case x.Status != http.StatusOK:
			c.addMixed(id, "got part %s, which is a failure with status %d, sent %s", signature, x.Status, x.Form)
		}
	}
}

// checkSigned checks that an answer that is not merged is that of a run of its own request. The caller holds c.mu.
func (c *checker) checkSigned(id string, a *standin.Answer) {
	x := c.signed[a.Signature]
	switch {
	case x == nil || x.Request != id:
		c.addMixed(id, "got status %d with the signature %q, which no run of it has", a.Status, a.Signature)
	case x.Status != a.Status:
		c.addMixed(id, "got status %d of run %s, which replied %d, sent %s", a.Status, a.Signature, x.Status, x.Form)
	case a.Status <= 299 && !bytes.Equal(a.Body, x.Body) && (x.Method != http.MethodHead || len(a.Body) > 0):
		c.addMixed(id, "got %d bytes that are not the %d of run %s, sent %s", len(a.Body), len(x.Body), a.Signature, x.Form)
	}
}

// checkError checks why a caller got no answer. A timeout or a closed connection breaks no guarantee.
func (c *checker) checkError(id string, err error) {
	var protocol *standin.ProtocolError
	if !errors.As(err, &protocol) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addMixed(id, "has a caller that %v", err)
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
		if n := len(c.runs[id]); n > 1 {
			c.violations = append(c.violations, fmt.Sprintf("request %s may run only once, but ran %d times", id, n))
		}
	}
	for id, status := range c.refusals {
		if len(c.runs[id]) > 0 {
			c.violations = append(c.violations, fmt.Sprintf("request %s was refused with %d as not run, but ran", id, status))
		}
	}
	mixed := 0
	for _, n := range c.mixed {
		mixed += n
	}
	return &Report{
		Seed: r.Seed, Requests: r.requests.Load(), Answered: c.answered, Refused: c.refused, Documents: r.acked.Load(), Violations: append(c.violations, c.mixedTexts...),
		Mixed: mixed, Lost: len(c.lost), Causes: c.causes(),
	}
}

// causes returns how many of the requests that got a mixed answer, 502 or 504 had which runs, and how many
// ran again at a target, the most frequent first. The caller holds c.mu.
func (c *checker) causes() []string {
	counts := maps.Clone(c.mixed)
	for id, status := range c.lost {
		counts[fmt.Sprintf("%d, runs: %s", status, c.forms(id))]++
	}
	if c.again > 0 {
		counts["ran again at a target"] = c.again
	}
	texts := slices.SortedFunc(maps.Keys(counts), func(x, y string) int { return cmp.Or(counts[y]-counts[x], strings.Compare(x, y)) })
	for i, text := range texts {
		texts[i] = fmt.Sprintf("%d x %s", counts[text], text)
	}
	return texts
}
