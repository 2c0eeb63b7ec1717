package control

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"wasabirelay/inventory"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

// snapshotDocument is the JSON form of the state. Map keys are sorted, so equal states have
// equal snapshots.
type snapshotDocument struct {
	Format         int                         `json:"format"`
	Index          uint64                      `json:"index"`
	Clock          time.Time                   `json:"clock"`
	Accepted       AcceptedInventory           `json:"accepted"`
	Changes        []changeOutcome             `json:"changes,omitempty"`
	Targets        map[string]*Target          `json:"targets,omitempty"`
	Histories      map[string][]incarnation    `json:"histories,omitempty"`
	ShardCounts    map[string]map[uint64]int   `json:"known,omitempty"`
	Grants         map[string]map[string]grant `json:"grants,omitempty"`
	Suspects       map[string]suspect          `json:"suspects,omitempty"`
	Moves          map[string]MoveRecord       `json:"moves,omitempty"`
	ConditionSince map[string]time.Time        `json:"since,omitempty"`
	Routing        Routing                     `json:"routing,omitzero"`
	Evacuated      map[string]bool             `json:"out,omitempty"`
	Revision       uint64                      `json:"revision,omitempty"`
	// ClaimClock and Claims are absent from the snapshots that entry hosts get.
	ClaimClock time.Time    `json:"claimclock,omitzero"`
	Claims     []keyedClaim `json:"claims,omitempty"`
	// Duties is absent from the snapshots that entry hosts get and from those of earlier versions.
	Duties map[string]Duty `json:"duties,omitempty"`
}

type keyedClaim struct {
	Key string `json:"key"`
	claim
}

// Digest returns an xxhash of the shared state. It is equal on all replicas and entry hosts
// that applied the same commands. It does not cover the index, the claims and the duties.
func (s *State) Digest() uint64 {
	var clock uint64
	if !s.clock.IsZero() {
		clock = uint64(s.clock.UnixNano())
	}
	var d xxhash.Digest
	d.Reset()
	for _, sum := range []uint64{
		clock, s.acceptedSum, s.changes.sum, s.targets.sum, s.histories.sum, s.shardCounts.sum,
		s.grants.sum, s.suspects.sum, s.moves.sum, s.conditionSince.sum, s.routingSum, s.evacuated.sum,
	} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, sum))
	}
	return d.Sum64()
}

// Snapshot returns the complete state as JSON.
func (s *State) Snapshot() ([]byte, error) {
	m := s.sharedDocument()
	m.ClaimClock, m.Duties = s.claimClock, s.duties
	for _, key := range s.claimOrder {
		m.Claims = append(m.Claims, keyedClaim{key, s.claims[key]})
	}
	data, err := json.Marshal(m)
	return data, errors.Wrap(err, "encode the control state")
}

// SharedSnapshot returns the shared state, which is the state without claims, as JSON that
// Restore accepts.
func (s *State) SharedSnapshot() ([]byte, error) {
	data, err := json.Marshal(s.sharedDocument())
	return data, errors.Wrap(err, "encode the control state")
}

func (s *State) sharedDocument() *snapshotDocument {
	m := &snapshotDocument{
		Format: snapshotFormat, Index: s.index, Clock: s.clock, Accepted: s.accepted, Targets: s.targets.items,
		Histories: s.histories.items, ShardCounts: s.shardCounts.items, Grants: s.grants.items, Suspects: s.suspects.items,
		Moves: s.moves.items, ConditionSince: s.conditionSince.items, Routing: s.routing, Evacuated: s.evacuated.items, Revision: s.revision,
	}
	for _, change := range s.changeOrder {
		o, _ := s.changes.get(change)
		m.Changes = append(m.Changes, o)
	}
	return m
}

// Restore replaces the state with a snapshot. If the snapshot is invalid, the state does
// not change.
func (s *State) Restore(data []byte) error {
	var m snapshotDocument
	if err := json.Unmarshal(data, &m); err != nil {
		return errors.Wrap(err, "decode the control state")
	}
	if m.Format != snapshotFormat {
		return errors.Errorf("the control state has format %d, but only format %d is supported", m.Format, snapshotFormat)
	}
	var next State
	if err := next.load(&m); err != nil {
		return errors.Wrap(err, "restore the control state")
	}
	*s = next
	return nil
}

func (s *State) load(m *snapshotDocument) error {
	for _, t := range []time.Time{m.Clock, m.ClaimClock} {
		if !t.IsZero() && (t.Before(minTime) || t.After(maxTime)) {
			return errors.Errorf("the time %s is out of range", t)
		}
	}
	s.index, s.clock, s.claimClock = m.Index, m.Clock.UTC(), m.ClaimClock.UTC()
	if m.Accepted.Version > 0 {
		d, err := inventory.Parse("inventory", []byte(m.Accepted.Text))
		if err != nil {
			return err
		}
		s.accept(m.Accepted, d)
	}
	if err := s.loadOrdered(m); err != nil {
		return err
	}
	if err := s.loadTargets(m); err != nil {
		return err
	}
	s.shardCounts.setAll(m.ShardCounts)
	s.moves.setAll(m.Moves)
	s.evacuated.setAll(m.Evacuated)
	if len(m.Routing.Source) > 0 {
		s.setRouting(m.Routing)
	}
	s.revision = m.Revision
	s.conditionSince.setAll(m.ConditionSince)
	s.duties = m.Duties
	for name, live := range m.Grants {
		s.setGrants(name, live)
	}
	for fingerprint, v := range m.Suspects {
		s.setSuspect(fingerprint, v)
	}
	return nil
}

// loadOrdered loads changes and claims, whose order in the snapshot is their age.
func (s *State) loadOrdered(m *snapshotDocument) error {
	for _, o := range m.Changes {
		if _, ok := s.changes.get(o.Change); ok {
			return errors.Errorf("duplicate change %s", o.Change)
		}
		s.changes.set(o.Change, o)
		s.changeOrder = append(s.changeOrder, o.Change)
	}
	s.claims = make(map[string]claim, len(m.Claims))
	for _, c := range m.Claims {
		if _, ok := s.claims[c.Key]; ok {
			return errors.Errorf("duplicate claim %s", c.Key)
		}
		s.claims[c.Key] = c.claim
		s.claimOrder = append(s.claimOrder, c.Key)
	}
	return nil
}

func (s *State) loadTargets(m *snapshotDocument) error {
	s.histories.setAll(m.Histories)
	for name, history := range m.Histories {
		if len(history) == 0 {
			return errors.Errorf("target %s has an empty history", name)
		}
		if last := history[len(history)-1]; !last.EndedAt.IsZero() {
			s.departures = append(s.departures, departure{name, last.EndedAt})
		}
	}
	slices.SortFunc(s.departures, func(a, b departure) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.name, b.name))
	})
	for _, name := range sortedKeys(m.Targets) {
		t := m.Targets[name]
		if t == nil || t.Name != name || validateTarget(t) != "" {
			return errors.Errorf("target %s is invalid", name)
		}
		if _, ok := m.Histories[name]; !ok {
			return errors.Errorf("target %s has no history", name)
		}
		s.targets.set(name, t)
		// Appending in the order of names avoids the copy that putTarget makes of the list.
		s.cache.setTargets(t.Service, append(s.cache.targetLists[t.Service], t))
	}
	return nil
}

func (t *table[V]) setAll(items map[string]V) {
	for key, v := range items {
		t.set(key, v)
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
