package control

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"wasabirelay/document"
	"wasabirelay/inventory"
)

const (
	// maxChanges is the number of change outcomes that are kept. At 1,200 changes
	// per day it covers more than three days of resends.
	maxChanges = 4096
	// maxText bounds an inventory in bytes, as the operator interface does.
	maxText = 1 << 20
	// maxListed bounds the differences and faults of a refusal, which are kept
	// with the outcome.
	maxListed = 64
	// maxValue bounds a listed value in bytes.
	maxValue = 120
)

// changeOutcome is the outcome of an operator's change.
type changeOutcome struct {
	Change string `json:"change"`
	// Sum identifies the content of the change, so that an identity that is used
	// for two different changes is recognized.
	Sum    uint64 `json:"sum"`
	Result Result `json:"result"`
}

// once returns the first outcome of the change, or runs apply and keeps its
// outcome. Refusals are kept as well: an identity has one outcome.
func (s *State) once(change, content string, apply func() Result) Result {
	if change == "" {
		return s.refused(Invalid, "a change needs an identity")
	}
	sum := xxhash.Sum64String(content)
	if old, ok := s.changes.get(change); ok {
		if old.Sum != sum {
			return s.refused(Invalid, "the change identity "+change+" belongs to another change")
		}
		return old.Result
	}
	r := apply()
	s.changes.set(change, changeOutcome{Change: change, Sum: sum, Result: r})
	s.changeOrder = append(s.changeOrder, change)
	for len(s.changeOrder) > maxChanges {
		s.changes.remove(s.changeOrder[0])
		s.changeOrder = s.changeOrder[1:]
	}
	return r
}

func (s *State) refused(kind RefusalKind, detail string) Result {
	return Result{Index: s.index, Version: s.accepted.Version, Refusal: &Refusal{Kind: kind, Detail: detail}}
}

// applyInventory replaces the inventory. A resend may carry another base: only
// the text identifies the content.
func (s *State) applyInventory(a *ApplyInventory) Result {
	return s.once(a.Change, "inventory\x00"+a.Text, func() Result {
		r := Result{Index: s.index}
		r.Refusal = s.replaceInventory(a)
		r.Version = s.accepted.Version
		return r
	})
}

func (s *State) replaceInventory(a *ApplyInventory) *Refusal {
	if len(a.Text) > maxText {
		return &Refusal{Kind: Invalid, Detail: fmt.Sprintf("the document has %d bytes, allowed are %d", len(a.Text), maxText)}
	}
	d, err := inventory.Parse("inventory", []byte(a.Text))
	if err != nil {
		return faulty(err)
	}
	if a.Base != s.accepted.Version {
		return s.conflict(a, d)
	}
	previous := s.document
	longest := d.Rules.Lease
	longest.Duration = max(longest.Duration, s.View().LongestLease(s.clock))
	s.accept(AcceptedInventory{
		Version: a.Base + 1, Index: s.index, Change: a.Change, Operator: a.Operator, At: s.clock, Lease: longest, Text: a.Text,
	}, d)
	s.updateMoves()
	s.updateSince(previous)
	return nil
}

// accept sets the current inventory.
func (s *State) accept(a AcceptedInventory, d *inventory.Document) {
	s.accepted, s.document = a, d
	s.acceptedSum = checksum("inventory", a)
	s.cache.hosts = nil
}

func faulty(err error) *Refusal {
	r := &Refusal{Kind: Invalid, Detail: "the document has faults"}
	var f *document.FaultsError
	if !errors.As(err, &f) {
		r.Detail = err.Error()
		return r
	}
	r.Faults = f.Faults[:min(len(f.Faults), maxListed)]
	if len(f.Faults) > maxListed {
		r.Detail = fmt.Sprintf("the document has %d faults, the first %d are listed", len(f.Faults), maxListed)
	}
	return r
}

func (s *State) conflict(a *ApplyInventory, d *inventory.Document) *Refusal {
	r := &Refusal{
		Kind: Conflict, Operator: s.accepted.Operator, Change: s.accepted.Change,
		Detail: fmt.Sprintf("the change is based on version %d, the inventory has version %d", a.Base, s.accepted.Version),
	}
	differences := inventory.Diff(s.document, d)
	if len(differences) > maxListed {
		r.Detail += fmt.Sprintf("; %d fields differ, the first %d are listed", len(differences), maxListed)
		differences = differences[:maxListed]
	}
	for _, c := range differences {
		r.Differences = append(r.Differences, inventory.Change{Field: clip(c.Field), From: clip(c.From), To: clip(c.To)})
	}
	return r
}

func clip(text string) string {
	if len(text) <= maxValue {
		return text
	}
	runes := []rune(text)
	return string(runes[:min(len(runes), maxValue)]) + "..."
}
