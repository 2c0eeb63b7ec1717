package searcher

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"wasabirelay/control"
	"wasabirelay/document"
	"wasabirelay/problem"
	"wasabirelay/target"
)

const allowedShare = "0 to 1"

// Faults are the injected faults of a searcher. A POST changes the fields that it
// contains and leaves the others unchanged. Shares are from 0 to 1.
type Faults struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow"`
	// FailShare is the share of sub-requests that run and end with status 500.
	FailShare float64 `json:"fail"`
	// Crash is a text; a query that contains it crashes the process.
	Crash string `json:"crash"`
	// ReplyDelay delays a reply after the work is done and its slot is free.
	ReplyDelay document.Duration `json:"late"`
	// WrongIdentityShare is the share of replies that carry the identity of another request.
	// TruncateShare is the share that are truncated, DuplicateShare the share that are sent twice.
	WrongIdentityShare float64 `json:"crossed"`
	TruncateShare      float64 `json:"cut"`
	DuplicateShare     float64 `json:"doubled"`
	// Health is the state that GET /health reports instead of the actual one, if not empty.
	Health control.TargetState `json:"health"`
	// HealthLag is the maximum age of the health report before it is updated.
	HealthLag document.Duration `json:"lag"`
	// The fields below are actions that are carried out once. A GET omits them.
	Snapshot    *NewSnapshot `json:"snapshot,omitempty"`
	Repartition *Repartition `json:"repartition,omitempty"`
	// Cold makes the searcher cold without announcing it.
	Cold bool `json:"cold,omitempty"`
	// Drain announces the draining state and refuses new sub-requests.
	Drain bool `json:"drain,omitempty"`
}

// NewSnapshot adds a snapshot to those that the searcher announces and serves.
type NewSnapshot struct {
	Number uint64 `json:"number"`
	// Shards is the number of shards of the snapshot; 0 means that of the newest snapshot.
	Shards int `json:"shards,omitempty"`
	// DropOlder removes the older snapshots.
	DropOlder bool `json:"drop,omitempty"`
}

// Repartition replaces the shards that the searcher holds and all its snapshots by one
// snapshot with another number of shards.
type Repartition struct {
	Number     uint64 `json:"number"`
	Shards     int    `json:"shards"`
	HeldShards []int  `json:"hold"`
}

// DecodeFaults applies a JSON object to the old faults and validates the result.
func DecodeFaults(old Faults, text []byte) (Faults, *problem.Details) {
	f := old
	if bad := target.DecodeStrict("fault", text, &f); bad != nil {
		return old, bad
	}
	isShare := func(x float64) bool { return x >= 0 && x <= 1 }
	validHealth := f.Health == "" || f.Health == control.Cold || f.Health == control.Warm || f.Health == control.Draining
	for _, c := range []struct {
		ok             bool
		field, allowed string
	}{
		{f.SlowFactor >= 0, "slow", "0 or more"},
		{isShare(f.FailShare), "fail", allowedShare},
		{isShare(f.WrongIdentityShare), "crossed", allowedShare},
		{isShare(f.TruncateShare), "cut", allowedShare},
		{isShare(f.DuplicateShare), "doubled", allowedShare},
		{f.ReplyDelay.Duration >= 0, "late", "a duration that is not negative"},
		{f.HealthLag.Duration >= 0, "lag", "a duration that is not negative"},
		{validHealth, "health", "cold, warm, draining or an empty string"},
		{f.Snapshot == nil || f.Snapshot.Number > 0, "snapshot.number", "above 0"},
		{f.Snapshot == nil || f.Snapshot.Shards >= 0, "snapshot.shards", "0 or more"},
		{f.Repartition == nil || f.Repartition.Number > 0, "repartition.number", "above 0"},
	} {
		if !c.ok {
			return old, problem.BadField(c.field, c.allowed)
		}
	}
	return f, nil
}

func (s *Searcher) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, f)
}

func (s *Searcher) postFaults(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		problem.BadField("body", err.Error()).Write(w)
		return
	}
	if bad := s.SetFaults(text); bad != nil {
		bad.Write(w)
		return
	}
	s.getFaults(w, r)
}

// SetFaults changes the faults as a POST /fault with the same body does.
func (s *Searcher) SetFaults(text []byte) *problem.Details {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	f, bad := DecodeFaults(s.faults, text)
	if bad != nil {
		return bad
	}
	next := s.current
	next.Snapshots = slices.Clone(next.Snapshots)
	if f.Snapshot != nil {
		f.Snapshot.apply(&next)
	}
	if f.Repartition != nil {
		f.Repartition.apply(&next)
	}
	if bad := target.Check(&next); bad != nil {
		return bad
	}
	if f.Drain {
		s.startDraining(&next)
	}
	if f.Cold {
		s.becomeCold()
	}
	if f.Snapshot != nil || f.Repartition != nil || f.Drain {
		s.triggerAnnounce()
	}
	f.Snapshot, f.Repartition, f.Cold, f.Drain = nil, nil, false, false
	s.current, s.faults = next, f
	return nil
}

func (n *NewSnapshot) apply(t *control.Target) {
	newest := control.Snapshot{}
	for _, old := range t.Snapshots {
		if old.Number > newest.Number {
			newest = old
		}
	}
	added := control.Snapshot{Number: n.Number, Shards: n.Shards}
	if added.Shards == 0 {
		added.Shards = newest.Shards
	}
	if n.DropOlder {
		t.Snapshots = nil
	}
	t.Snapshots = append(t.Snapshots, added)
}

func (r *Repartition) apply(t *control.Target) {
	t.Snapshots = []control.Snapshot{{Number: r.Number, Shards: r.Shards}}
	t.Shards = slices.Clone(r.HeldShards)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // It fails only if the client has disconnected.
}
