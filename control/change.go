package control

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"wasabirelay/document"
	"wasabirelay/inventory"
)

const (
	// maxChangeOutcomes is the number of change outcomes that are stored. At 1,200 changes
	// per day, a change can be resent for more than three days.
	maxChangeOutcomes = 4096
	// maxInventoryBytes is the same limit that the operator API applies to an inventory.
	maxInventoryBytes = 1 << 20
	// maxListedItems limits the differences and the faults of a refusal, because both are
	// stored with the outcome.
	maxListedItems = 64
	// maxValueLength is the length in bytes above which a listed value is truncated, and the
	// number of characters that are left of it.
	maxValueLength = 120
)

// changeOutcome is the outcome of an operator's change.
type changeOutcome struct {
	Change string `json:"change"`
	// Sum is a hash of the content. It detects an identity that is used for two
	// different changes.
	Sum    uint64 `json:"sum"`
	Result Result `json:"result"`
}

// applyOnce returns the stored outcome of the change. If there is none, it runs apply and
// stores its outcome. Refusals are stored as well, so an identity has only one outcome.
func (s *State) applyOnce(change, content string, apply func() Result) Result {
	if change == "" {
		return s.refusedResult(Invalid, "a change needs an identity")
	}
	sum := xxhash.Sum64String(content)
	if old, ok := s.changes.get(change); ok {
		if old.Sum != sum {
			return s.refusedResult(Invalid, "the change identity "+change+" belongs to another change")
		}
		return old.Result
	}
	r := apply()
	s.changes.set(change, changeOutcome{Change: change, Sum: sum, Result: r})
	s.changeOrder = append(s.changeOrder, change)
	for len(s.changeOrder) > maxChangeOutcomes {
		s.changes.remove(s.changeOrder[0])
		s.changeOrder = s.changeOrder[1:]
	}
	return r
}

func (s *State) refusedResult(kind RefusalKind, detail string) Result {
	return Result{Index: s.index, Version: s.accepted.Version, Refusal: &Refusal{Kind: kind, Detail: detail}}
}

// applyInventory replaces the inventory. A resend may have another base version, so only
// the text identifies the content.
func (s *State) applyInventory(a *ApplyInventory) Result {
	return s.applyOnce(a.Change, "inventory\x00"+a.Text, func() Result {
		r := Result{Index: s.index}
		r.Refusal = s.replaceInventory(a)
		r.Version = s.accepted.Version
		return r
	})
}

func (s *State) replaceInventory(a *ApplyInventory) *Refusal {
	if len(a.Text) > maxInventoryBytes {
		return &Refusal{Kind: Invalid, Detail: fmt.Sprintf("the document has %d bytes, allowed are %d", len(a.Text), maxInventoryBytes)}
	}
	d, err := inventory.Parse("inventory", []byte(a.Text))
	if err != nil {
		return faultsRefusal(err)
	}
	if a.Base != s.accepted.Version {
		return s.conflictRefusal(a, d)
	}
	previous := s.document
	longest := d.Rules.Lease
	longest.Duration = max(longest.Duration, s.View().LongestLease(s.clock))
	s.accept(AcceptedInventory{
		Version: a.Base + 1, Index: s.index, Change: a.Change, Operator: a.Operator, At: s.clock, Lease: longest, Text: a.Text,
	}, d)
	s.updateMoves()
	s.updateConditions(previous)
	return nil
}

// accept makes the document the current inventory.
func (s *State) accept(a AcceptedInventory, d *inventory.Document) {
	s.accepted, s.document = a, d
	s.acceptedSum = checksum("inventory", a)
	s.cache.hosts = nil
}

func faultsRefusal(err error) *Refusal {
	r := &Refusal{Kind: Invalid, Detail: "the document has faults"}
	var f *document.FaultsError
	if !errors.As(err, &f) {
		r.Detail = err.Error()
		return r
	}
	r.Faults = f.Faults[:min(len(f.Faults), maxListedItems)]
	if len(f.Faults) > maxListedItems {
		r.Detail = fmt.Sprintf("the document has %d faults, the first %d are listed", len(f.Faults), maxListedItems)
	}
	return r
}

func (s *State) conflictRefusal(a *ApplyInventory, d *inventory.Document) *Refusal {
	r := &Refusal{
		Kind: Conflict, Operator: s.accepted.Operator, Change: s.accepted.Change,
		Detail: fmt.Sprintf("the change is based on version %d, the inventory has version %d", a.Base, s.accepted.Version),
	}
	differences := inventory.Diff(s.document, d)
	if len(differences) > maxListedItems {
		r.Detail += fmt.Sprintf("; %d fields differ, the first %d are listed", len(differences), maxListedItems)
		differences = differences[:maxListedItems]
	}
	for _, c := range differences {
		r.Differences = append(r.Differences, inventory.Change{Field: truncateValue(c.Field), From: truncateValue(c.From), To: truncateValue(c.To)})
	}
	return r
}

func truncateValue(text string) string {
	if len(text) <= maxValueLength {
		return text
	}
	runes := []rune(text)
	return string(runes[:min(len(runes), maxValueLength)]) + "..."
}
