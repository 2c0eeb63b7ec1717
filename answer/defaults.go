package answer

import (
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"wasabirelay/control"
)

// budgetBurst is the number of hedges and retries that a service may send in addition to the
// budget's share, so that a failure directly after the start can be retried.
const budgetBurst = 10

// defaultPolicy selects replicas and holds the budgets if package route is not connected, as in
// tests.
type defaultPolicy struct {
	mu     sync.Mutex
	counts map[string]*counts
}

// counts holds the numbers of first and extra (hedged or retried) sub-requests of a service.
type counts struct{ first, extra int }

// setDefault sets a nil field to fallback.
func setDefault[F any](field *F, fallback F) {
	if reflect.ValueOf(*field).IsNil() {
		*field = fallback
	}
}

// pick returns a random replica that is allowed and not excluded.
func (d *defaultPolicy) pick(_ time.Time, c Choice) (*control.Target, bool) {
	var allowed []*control.Target
	for _, t := range c.Replicas {
		if !c.Exclude[t.Name] && (c.Allow == nil || c.Allow(t)) {
			allowed = append(allowed, t)
		}
	}
	if len(allowed) == 0 {
		return nil, false
	}
	return allowed[rand.IntN(len(allowed))], true
}

func (d *defaultPolicy) countsOf(service string) *counts {
	if d.counts == nil {
		d.counts = map[string]*counts{}
	}
	if d.counts[service] == nil {
		d.counts[service] = &counts{}
	}
	return d.counts[service]
}

func (d *defaultPolicy) countFirst(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countsOf(service).first++
}

// spendBudget permits one more hedge or retry if the service's total stays within the
// share of its first sub-requests plus a burst.
func (d *defaultPolicy) spendBudget(service string, share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.countsOf(service)
	if float64(c.extra) >= budgetBurst+share*float64(c.first) {
		return false
	}
	c.extra++
	return true
}
