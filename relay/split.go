package relay

import (
	"sync"
	"time"

	"wasabirelay/control"
	"wasabirelay/routing"
)

// trafficSplitter distributes requests among the backends of a route in proportion to their
// weights, with less variance than independent random choices. The zero value is ready to use.
type trafficSplitter struct {
	mu     sync.Mutex
	routes map[string]map[string]float64
}

// pick returns the service for the next request. On each request, every service gains credit
// in proportion to its weight; the service with the most credit is picked and pays 1.
func (s *trafficSplitter) pick(r *routing.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]map[string]float64{}
	}
	credits := s.routes[r.Name]
	if credits == nil {
		credits = map[string]float64{}
		s.routes[r.Name] = credits
	}
	sum := 0.0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	best := ""
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		credits[b.Service] += b.Weight / sum
		if best == "" || credits[b.Service] > credits[best] {
			best = b.Service
		}
	}
	credits[best]--
	return best
}

// coldLimiter keeps the rate of this host's requests to each cold target within the host's
// share of routing.Service.ColdRate. The zero value is ready to use.
type coldLimiter struct {
	mu sync.Mutex
	// sent holds the times of the requests of the last second, the oldest first.
	sent map[string][]time.Time
}

// coldWindow is the length of the sliding window that the limit on requests to a cold target
// applies to.
const coldWindow = time.Second

// maxColdTargets bounds the number of targets that request times are kept for.
const maxColdTargets = 4096

// allows reports whether this host may send one more request to the cold target now. If the
// share of the host is less than one request per second, the target receives none.
func (l *coldLimiter) allows(now time.Time, v *View, t *control.Target) bool {
	share, ok := coldShare(v, t)
	l.mu.Lock()
	defer l.mu.Unlock()
	return ok && len(l.recent(now, t)) < share
}

// coldShare returns how many requests per second this host may send to the cold target. It reports
// false if the routing document lacks the service.
func coldShare(v *View, t *control.Target) (int, bool) {
	service := v.Routing.Service(t.Service)
	if service == nil {
		return 0, false
	}
	return int(service.ColdRate * v.share(t.Service)), true
}

// recent returns the times of the requests within the window. The caller holds l.mu.
func (l *coldLimiter) recent(now time.Time, t *control.Target) []time.Time {
	sent := l.sent[t.Name]
	for len(sent) > 0 && now.Sub(sent[0]) >= coldWindow {
		sent = sent[1:]
	}
	return sent
}

// take records a request to the cold target if this host may send one more now. It reports
// whether it may: between allows and take, another request may have used the allowance.
func (l *coldLimiter) take(now time.Time, v *View, t *control.Target) bool {
	share, ok := coldShare(v, t)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || len(l.recent(now, t)) >= share {
		return false
	}
	if l.sent == nil || len(l.sent) > maxColdTargets {
		l.sent = map[string][]time.Time{}
	}
	l.sent[t.Name] = append(l.recent(now, t), now)
	return true
}
