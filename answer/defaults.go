package answer

import (
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"wasabirelay/control"
)

// burst is the number of hedges and retries that a service may send before the
// share of the budget applies, so that a single failure after the start can be
// retried.
const burst = 10

// defaults stand in for package route in tests and in a daemon without it.
type defaults struct {
	mu     sync.Mutex
	counts map[string]*counts
}

// counts are the sub-requests of one service.
type counts struct{ first, more int }

// set replaces a nil seam.
func set[F any](seam *F, standard F) {
	if reflect.ValueOf(*seam).IsNil() {
		*seam = standard
	}
}

// pick returns a random replica that is allowed.
func (d *defaults) pick(_ time.Time, c Choice) (*control.Target, bool) {
	var left []*control.Target
	for _, t := range c.Replicas {
		if !c.Exclude[t.Name] && (c.Allow == nil || c.Allow(t)) {
			left = append(left, t)
		}
	}
	if len(left) == 0 {
		return nil, false
	}
	return left[rand.IntN(len(left))], true
}

func (d *defaults) of(service string) *counts {
	if d.counts == nil {
		d.counts = map[string]*counts{}
	}
	if d.counts[service] == nil {
		d.counts[service] = &counts{}
	}
	return d.counts[service]
}

func (d *defaults) countSent(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(service).first++
}

// extra permits one more hedge or retry if the service's total stays within the
// share of its first sub-requests plus a burst.
func (d *defaults) extra(service string, share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.of(service)
	if float64(c.more) >= burst+share*float64(c.first) {
		return false
	}
	c.more++
	return true
}
