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

// format is the number of the snapshot format.
const format = 1

// image is the JSON form of the state. Maps have sorted keys, so that equal
// states have equal snapshots.
type image struct {
	Format    int                         `json:"format"`
	Index     uint64                      `json:"index"`
	Clock     time.Time                   `json:"clock"`
	Accepted  AcceptedInventory           `json:"accepted"`
	Changes   []changeOutcome             `json:"changes,omitempty"`
	Targets   map[string]*Target          `json:"targets,omitempty"`
	Histories map[string][]incarnation    `json:"histories,omitempty"`
	Known     map[string]map[uint64]int   `json:"known,omitempty"`
	Grants    map[string]map[string]grant `json:"grants,omitempty"`
	Suspects  map[string]suspect          `json:"suspects,omitempty"`
	Moves     map[string]MoveRecord       `json:"moves,omitempty"`
	Since     map[string]time.Time        `json:"since,omitempty"`
	Routing   Routing                     `json:"routing,omitzero"`
	Out       map[string]bool             `json:"out,omitempty"`
	Revision  uint64                      `json:"revision,omitempty"`
	// ClaimClock and Claims are absent in the part that entry hosts hold.
	ClaimClock time.Time    `json:"claimclock,omitzero"`
	Claims     []keyedClaim `json:"claims,omitempty"`
}

type keyedClaim struct {
	Key string `json:"key"`
	claim
}

// Digest returns the xxhash of the part of the state that entry hosts hold. It
// is equal on all replicas and hosts that applied the same commands. The index
// and claims are not part of it.
func (s *State) Digest() uint64 {
	var clock uint64
	if !s.clock.IsZero() {
		clock = uint64(s.clock.UnixNano())
	}
	var d xxhash.Digest
	d.Reset()
	for _, sum := range []uint64{
		clock, s.acceptedSum, s.changes.sum, s.targets.sum, s.histories.sum, s.known.sum,
		s.grants.sum, s.suspects.sum, s.moves.sum, s.since.sum, s.routingSum, s.out.sum,
	} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, sum))
	}
	return d.Sum64()
}

// Snapshot returns the whole state as JSON.
func (s *State) Snapshot() ([]byte, error) {
	m := s.shared()
	m.ClaimClock = s.claimClock
	for _, key := range s.claimOrder {
		m.Claims = append(m.Claims, keyedClaim{key, s.claims[key]})
	}
	data, err := json.Marshal(m)
	return data, errors.Wrap(err, "encode the control state")
}

// SharedSnapshot returns the part of the state that entry hosts hold, without
// claims, as JSON that Restore accepts.
func (s *State) SharedSnapshot() ([]byte, error) {
	data, err := json.Marshal(s.shared())
	return data, errors.Wrap(err, "encode the control state")
}

func (s *State) shared() *image {
	m := &image{
		Format: format, Index: s.index, Clock: s.clock, Accepted: s.accepted, Targets: s.targets.items,
		Histories: s.histories.items, Known: s.known.items, Grants: s.grants.items, Suspects: s.suspects.items,
		Moves: s.moves.items, Since: s.since.items, Routing: s.routing, Out: s.out.items, Revision: s.revision,
	}
	for _, change := range s.changeOrder {
		o, _ := s.changes.get(change)
		m.Changes = append(m.Changes, o)
	}
	return m
}

// Restore replaces the state by a snapshot. The state is unchanged if the
// snapshot can't be read.
func (s *State) Restore(data []byte) error {
	var m image
	if err := json.Unmarshal(data, &m); err != nil {
		return errors.Wrap(err, "decode the control state")
	}
	if m.Format != format {
		return errors.Errorf("the control state has format %d, known is %d", m.Format, format)
	}
	var next State
	if err := next.load(&m); err != nil {
		return errors.Wrap(err, "restore the control state")
	}
	*s = next
	return nil
}

func (s *State) load(m *image) error {
	for _, t := range []time.Time{m.Clock, m.ClaimClock} {
		if !t.IsZero() && (t.Before(earliest) || t.After(latest)) {
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
	s.known.fill(m.Known)
	s.moves.fill(m.Moves)
	s.out.fill(m.Out)
	if len(m.Routing.Source) > 0 {
		s.setRouting(m.Routing)
	}
	s.revision = m.Revision
	s.since.fill(m.Since)
	for name, live := range m.Grants {
		s.setGrants(name, live)
	}
	for fingerprint, v := range m.Suspects {
		s.setSuspect(fingerprint, v)
	}
	return nil
}

// loadOrdered loads the parts that are kept in the order of their age.
func (s *State) loadOrdered(m *image) error {
	for _, o := range m.Changes {
		if _, ok := s.changes.get(o.Change); ok {
			return errors.Errorf("change %s is repeated", o.Change)
		}
		s.changes.set(o.Change, o)
		s.changeOrder = append(s.changeOrder, o.Change)
	}
	s.claims = make(map[string]claim, len(m.Claims))
	for _, c := range m.Claims {
		if _, ok := s.claims[c.Key]; ok {
			return errors.Errorf("claim %s is repeated", c.Key)
		}
		s.claims[c.Key] = c.claim
		s.claimOrder = append(s.claimOrder, c.Key)
	}
	return nil
}

func (s *State) loadTargets(m *image) error {
	s.histories.fill(m.Histories)
	for name, history := range m.Histories {
		if len(history) == 0 {
			return errors.Errorf("target %s has an empty history", name)
		}
		if last := history[len(history)-1]; !last.Gone.IsZero() {
			s.departures = append(s.departures, departure{name, last.Gone})
		}
	}
	slices.SortFunc(s.departures, func(a, b departure) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.name, b.name))
	})
	for _, name := range sortedKeys(m.Targets) {
		t := m.Targets[name]
		if t == nil || t.Name != name || badTarget(t) != "" {
			return errors.Errorf("target %s is invalid", name)
		}
		if _, ok := m.Histories[name]; !ok {
			return errors.Errorf("target %s has no history", name)
		}
		s.targets.set(name, t)
		// Appended in the order of names, because putTarget copies the list.
		s.cache.putService(t.Service, append(s.cache.services[t.Service], t))
	}
	return nil
}

// fill sets all items of the map.
func (t *table[V]) fill(items map[string]V) {
	for key, v := range items {
		t.set(key, v)
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
