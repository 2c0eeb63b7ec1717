package control

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ApplyRouting replaces the routing document if its version is higher than the current
// one. A document with the same or a lower version is ignored but not refused: the
// operator of an outdated change needs no second response.
type ApplyRouting struct {
	Version uint64 `json:"version"`
	// Source is the document of the operator, compressed with gzip if Packed is set.
	Source []byte `json:"source"`
	Packed bool   `json:"packed,omitempty"`
}

// Evacuate takes a data centre out of service or returns it to service.
type Evacuate struct {
	Centre string `json:"centre"`
	Out    bool   `json:"out"`
}

// BeginMove starts a version move that no rule of the inventory requires.
type BeginMove struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// MaxDuration is how long the move may take, TrialShare the share of traffic that the
	// version gets first.
	MaxDuration time.Duration `json:"length"`
	TrialShare  float64       `json:"trial"`
}

// Routing is the routing document in force. Source and Packed are those of ApplyRouting.
type Routing struct {
	Version uint64 `json:"version"`
	Source  []byte `json:"source,omitempty"`
	Packed  bool   `json:"packed,omitempty"`
}

// RoutingState is the part of the control state that hosts follow even without a lease.
// Revision is the index of the last command that changed it; a larger one is newer.
type RoutingState struct {
	Revision uint64  `json:"revision"`
	Routing  Routing `json:"routing"`
	// Out lists the data centres that are out of service, sorted by name.
	Out   []string              `json:"out,omitempty"`
	Moves map[string]MoveRecord `json:"moves,omitempty"`
}

// RoutingState returns the current routing state.
func (s *State) RoutingState() RoutingState {
	return RoutingState{Revision: s.revision, Routing: s.routing, Out: s.evacuated.keys(), Moves: nonNilClone(s.moves.items)}
}

func (s *State) applyRouting(a *ApplyRouting) *Refusal {
	if len(a.Source) == 0 {
		return &Refusal{Kind: Invalid, Detail: "the routing document is empty"}
	}
	if a.Version > s.routing.Version {
		s.setRouting(Routing{a.Version, a.Source, a.Packed})
		s.revision = s.index
	}
	return nil
}

func (s *State) setRouting(r Routing) {
	s.routing = r
	s.routingSum = r.Version ^ xxhash.Sum64(r.Source)
}

func (s *State) evacuate(e *Evacuate) *Refusal {
	if e.Centre == "" {
		return &Refusal{Kind: Invalid, Detail: "an evacuation names a data centre"}
	}
	if _, out := s.evacuated.get(e.Centre); out == e.Out {
		return nil
	}
	if e.Out {
		s.evacuated.set(e.Centre, true)
	} else {
		s.evacuated.remove(e.Centre)
	}
	s.revision = s.index
	return nil
}

// beginMove starts a move. A repeated command changes nothing while the service has a move
// to the same version.
func (s *State) beginMove(b *BeginMove) *Refusal {
	if b.Service == "" || b.Version == "" || b.MaxDuration <= 0 {
		return &Refusal{Kind: Invalid, Detail: "a move names a service, a version and how long it may take"}
	}
	if old, ok := s.moves.get(b.Service); ok && old.Version == b.Version {
		return nil
	}
	s.setMove(MoveRecord{
		Service: b.Service, Version: b.Version, Deadline: s.clock.Add(b.MaxDuration), TrialShare: b.TrialShare,
		Step: StepNew, Started: s.clock, Since: s.clock,
	})
	return nil
}
