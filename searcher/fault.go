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

// Faults are the faults of a searcher. A POST changes the fields that it
// contains and leaves the others as they are. Shares are from 0 to 1.
type Faults struct {
	// SlowFactor multiplies the service time; 0 stands for 1.
	SlowFactor float64 `json:"slow"`
	// FailShare is the share of sub-requests that run and end with status 500.
	FailShare float64 `json:"fail"`
	// Crash ends the process when a query contains it.
	Crash string `json:"crash"`
	// ReplyDelay delays replies after the work is done.
	ReplyDelay document.Duration `json:"late"`
	// WrongIdentityShare, TruncateShare and DuplicateShare are the shares of replies that carry the identity
	// of another request, end halfway, and are sent twice.
	WrongIdentityShare float64 `json:"crossed"`
	TruncateShare      float64 `json:"cut"`
	DuplicateShare     float64 `json:"doubled"`
	// Health is a state that GET /health claims instead of the true one.
	Health control.TargetState `json:"health"`
	// HealthLag is how old the health report may be.
	HealthLag document.Duration `json:"lag"`
	// The actions below are carried out once. They are not part of a GET.
	Snapshot    *NewSnapshot `json:"snapshot,omitempty"`
	Repartition *Repartition `json:"repartition,omitempty"`
	// Cold turns the searcher cold without an announcement.
	Cold bool `json:"cold,omitempty"`
	// Drain announces that the searcher drains and refuses new sub-requests.
	Drain bool `json:"drain,omitempty"`
}

// NewSnapshot adds a snapshot to what the searcher announces and serves.
type NewSnapshot struct {
	Number uint64 `json:"number"`
	// Shards is the number of shards of the snapshot; 0 keeps that of the newest.
	Shards int `json:"shards,omitempty"`
	// DropOlder removes the older snapshots.
	DropOlder bool `json:"drop,omitempty"`
}

// Repartition replaces the shards that the searcher holds, with a snapshot that
// has another number of shards.
type Repartition struct {
	Number     uint64 `json:"number"`
	Shards     int    `json:"shards"`
	HeldShards []int  `json:"hold"`
}

// DecodeFaults applies a JSON object to the faults and checks the outcome.
func DecodeFaults(old Faults, text []byte) (Faults, *problem.Details) {
	f := old
	if bad := target.DecodeStrict("fault", text, &f); bad != nil {
		return old, bad
	}
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	state := f.Health == "" || f.Health == control.Cold || f.Health == control.Warm || f.Health == control.Draining
	for _, c := range []struct {
		ok             bool
		field, allowed string
	}{
		{f.SlowFactor >= 0, "slow", "0 or more"},
		{share(f.FailShare), "fail", allowedShare},
		{share(f.WrongIdentityShare), "crossed", allowedShare},
		{share(f.TruncateShare), "cut", allowedShare},
		{share(f.DuplicateShare), "doubled", allowedShare},
		{f.ReplyDelay.Duration >= 0, "late", "a duration that is not negative"},
		{f.HealthLag.Duration >= 0, "lag", "a duration that is not negative"},
		{state, "health", "cold, warm, draining or an empty string"},
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

// SetFaults changes the faults as a POST /fault with the text does.
func (s *Searcher) SetFaults(text []byte) *problem.Details {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	f, bad := DecodeFaults(s.faults, text)
	if bad != nil {
		return bad
	}
	next := s.now
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
		s.drain(&next)
	}
	if f.Cold {
		s.chill()
	}
	if f.Snapshot != nil || f.Repartition != nil || f.Drain {
		s.announceSoon()
	}
	f.Snapshot, f.Repartition, f.Cold, f.Drain = nil, nil, false, false
	s.now, s.faults = next, f
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

func (p *Repartition) apply(t *control.Target) {
	t.Snapshots = []control.Snapshot{{Number: p.Number, Shards: p.Shards}}
	t.Shards = slices.Clone(p.HeldShards)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client has gone if this fails.
}
