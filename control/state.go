// Package control is the replicated state machine of wasabirelay. It is
// deterministic: control replicas and entry hosts that apply the same commands
// hold the same state.
package control

import (
	"sort"

	"wasabirelay/inventory"
)

// State is the control state. It is not safe for concurrent use: one goroutine
// owns it and publishes views.
type State struct {
	index    uint64
	version  uint64
	text     string
	document *inventory.Document
	targets  map[string]*Target
}

// Apply applies the command at the log index.
func (s *State) Apply(index uint64, c Command) Result {
	s.index = index
	r := Result{Index: index}
	switch {
	case c.Inventory != nil:
		r.Refusal = s.applyInventory(c.Inventory)
	case c.Announce != nil:
		r.Refusal = s.announce(c.Announce)
	case c.Leave != nil:
		r.Refusal = s.leave(c.Leave)
	}
	r.Version = s.version
	return r
}

func (s *State) applyInventory(a *ApplyInventory) *Refusal {
	if a.Base != s.version {
		return &Refusal{Kind: Conflict, Detail: "the inventory has changed since the version that this change is based on"}
	}
	d, err := inventory.Parse("inventory", []byte(a.Text))
	if err != nil {
		return &Refusal{Kind: Invalid, Detail: err.Error()}
	}
	s.document, s.text = d, a.Text
	s.version++
	return nil
}

func (s *State) announce(a *Announce) *Refusal {
	if s.targets == nil {
		s.targets = map[string]*Target{}
	}
	t := a.Target
	if old, ok := s.targets[t.Name]; ok && old.Service != t.Service {
		return &Refusal{Kind: Taken, Detail: "the name " + t.Name + " belongs to a target of service " + old.Service}
	}
	s.targets[t.Name] = &t
	return nil
}

func (s *State) leave(l *Leave) *Refusal {
	t, ok := s.targets[l.Target]
	if !ok || t.Incarnation != l.Incarnation {
		return &Refusal{Kind: Absent, Detail: "no such incarnation of target " + l.Target}
	}
	delete(s.targets, l.Target)
	return nil
}

// View returns an immutable picture of the state.
func (s *State) View() *View {
	v := &View{Revision: s.index, Version: s.version, Inventory: s.document, Targets: map[string][]*Target{}}
	for _, t := range s.targets {
		v.Targets[t.Service] = append(v.Targets[t.Service], t)
	}
	for _, list := range v.Targets {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	return v
}
