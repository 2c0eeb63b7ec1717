package relay

import (
	"sync"
	"time"

	"wasabirelay/control"
	"wasabirelay/routing"
)

// splits distributes requests among the backends of a route in proportion to their
// weights, with less spread than independent draws. The zero value is ready.
type splits struct {
	mu     sync.Mutex
	routes map[string]map[string]float64
}

// pick returns the service for the next request: each earns its share of every
// request, and the one that is owed most pays a whole one.
func (s *splits) pick(r *routing.Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]map[string]float64{}
	}
	owed := s.routes[r.Name]
	if owed == nil {
		owed = map[string]float64{}
		s.routes[r.Name] = owed
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
		owed[b.Service] += b.Weight / sum
		if best == "" || owed[b.Service] > owed[best] {
			best = b.Service
		}
	}
	owed[best]--
	return best
}

// coldGate keeps this host's requests to cold targets within its part of what they
// bear. The zero value is ready.
type coldGate struct {
	mu sync.Mutex
	// sent holds the times of the requests of the last second, the oldest first.
	sent map[string][]time.Time
}

// coldWindow is the span of time that the bound on requests to a cold target holds for,
// wherever it begins.
const coldWindow = time.Second

// maxCold bounds the targets that times are kept for.
const maxCold = 4096

// room reports whether the cold target bears one more request of this host now. A
// target that bears less than a request per host and second gets none.
func (g *coldGate) room(now time.Time, v *View, t *control.Target) bool {
	service := v.Routing.Service(t.Service)
	if service == nil {
		return false
	}
	part := int(service.ColdRate * v.Share)
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.recent(now, t)) < part
}

// recent returns the times of the requests within the window. The gate is locked.
func (g *coldGate) recent(now time.Time, t *control.Target) []time.Time {
	sent := g.sent[t.Name]
	for len(sent) > 0 && now.Sub(sent[0]) >= coldWindow {
		sent = sent[1:]
	}
	return sent
}

func (g *coldGate) take(now time.Time, t *control.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sent == nil || len(g.sent) > maxCold {
		g.sent = map[string][]time.Time{}
	}
	g.sent[t.Name] = append(g.recent(now, t), now)
}
