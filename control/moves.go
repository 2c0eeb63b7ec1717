package control

import (
	"fmt"
	"strings"

	"wasabirelay/inventory"
)

// updateMoves updates the move records to match the rules of a new inventory.
func (s *State) updateMoves() {
	for _, service := range s.moves.keys() {
		if _, ok := s.document.Rules.Moves[service]; !ok {
			s.moves.remove(service)
			s.cache.moves = nil
		}
	}
	for service, rule := range s.document.Rules.Moves {
		old, ok := s.moves.get(service)
		next := old
		next.Deadline, next.TrialShare = rule.Deadline.UTC(), rule.TrialShare
		if !ok || isNewMove(&old, rule) {
			next = MoveRecord{
				Service: service, Version: rule.Version, Deadline: rule.Deadline.UTC(), TrialShare: rule.TrialShare,
				Step: StepNew, Started: s.clock, Since: s.clock,
			}
		}
		if !ok || next != old {
			s.setMove(next)
		}
	}
}

// isNewMove reports whether the rule requires another move than the record. A reverted
// move starts again when the rule gets another deadline.
func isNewMove(old *MoveRecord, rule inventory.Move) bool {
	return old.Version != rule.Version || old.Reverted && !old.Deadline.Equal(rule.Deadline)
}

func (s *State) setMove(m MoveRecord) {
	s.moves.set(m.Service, m)
	s.revision = s.index
	s.cache.moves = nil
}

// stepMove changes the step of a move. A revert by an operator has one outcome per change
// identity, like a change of the inventory.
func (s *State) stepMove(m *StepMove) Result {
	apply := func() Result {
		r := Result{Index: s.index, Version: s.accepted.Version}
		r.Refusal = s.changeMove(m)
		return r
	}
	if m.Operator == "" && m.Change == "" {
		return apply()
	}
	if !m.Revert || m.Operator == "" {
		return s.refusedResult(Invalid, "a step by an operator is a revert and names the operator")
	}
	return s.applyOnce(m.Change, strings.Join([]string{"revert", m.Service, m.Version}, "\x00"), apply)
}

func (s *State) changeMove(m *StepMove) *Refusal {
	old, ok := s.moves.get(m.Service)
	switch {
	case !ok:
		return &Refusal{Kind: Absent, Detail: "service " + m.Service + " has no move"}
	case old.Version != m.Version:
		return &Refusal{Kind: Stale, Detail: "the move of service " + m.Service + " is to version " + old.Version}
	case old.Reverted:
		return &Refusal{
			Kind: Stale, Detail: "the move of service " + m.Service + " was reverted",
			Operator: old.Operator, Change: old.Change,
		}
	case m.From != "" && m.From != old.Step:
		return &Refusal{Kind: Stale, Detail: "the move of service " + m.Service + " is at step " + old.Step}
	case !(m.Share >= 0 && m.Share <= 1):
		return &Refusal{Kind: Invalid, Detail: fmt.Sprintf("a share is from 0 to 1, not %g", m.Share)}
	}
	next := old
	next.Step, next.Share, next.Reason = m.Step, m.Share, m.Reason
	if m.Revert {
		next.Share, next.Reverted, next.Operator, next.Change = 0, true, m.Operator, m.Change
		if m.Step == "" {
			next.Step = StepReverted
		}
	}
	if next.Step == "" {
		return &Refusal{Kind: Invalid, Detail: "a step needs a name"}
	}
	if next.Step != old.Step {
		next.Since = s.clock
	}
	s.setMove(next)
	return nil
}
