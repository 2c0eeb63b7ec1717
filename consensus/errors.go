package consensus

import "fmt"

// NotLeaderError refuses a request that only the leader can handle. Leader is
// the leader that the node knows, or empty.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; the leader is unknown"
	}
	return "not the leader; the leader is " + e.Leader
}

// TransferringError refuses a request because leadership is being handed over.
type TransferringError struct{ To string }

func (e *TransferringError) Error() string { return "leadership is being transferred to " + e.To }

// TransferError refuses a leadership transfer.
type TransferError struct{ To, Reason string }

func (e *TransferError) Error() string {
	return fmt.Sprintf("cannot transfer leadership to %q: %s", e.To, e.Reason)
}

// NotReadyError refuses a membership change because the leader has not yet
// committed an entry of its own term.
type NotReadyError struct{ Term uint64 }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("the leader has not committed an entry of its term %d yet", e.Term)
}

// PendingChangeError refuses a membership change because the one at Index is
// not committed yet.
type PendingChangeError struct{ Index uint64 }

func (e *PendingChangeError) Error() string {
	return fmt.Sprintf("the membership change at index %d is not committed yet", e.Index)
}

// MembershipError refuses a membership change that does not fit the
// configuration.
type MembershipError struct {
	Change MembershipChange
	Reason string
}

func (e *MembershipError) Error() string {
	return fmt.Sprintf("cannot %s %q: %s", e.Change.Action, e.Change.ID, e.Reason)
}

// BehindError refuses to promote a learner that is silent, or whose log ends
// too far behind the leader's.
type BehindError struct {
	ID          string
	Match, Last uint64
	Unreachable bool
}

func (e *BehindError) Error() string {
	if e.Unreachable {
		return fmt.Sprintf("learner %q has not been heard from within the election timeout", e.ID)
	}
	return fmt.Sprintf("learner %q is at index %d, more than %d entries behind index %d", e.ID, e.Match, MaxPromotionLag, e.Last)
}

// CompactError refuses a compaction outside the range of applied entries that
// the log still holds.
type CompactError struct{ Index, First, Applied uint64 }

func (e *CompactError) Error() string {
	return fmt.Sprintf("cannot compact to index %d: outside %d to %d", e.Index, e.First, e.Applied)
}

// FieldError reports a Node field with an unusable value.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return fmt.Sprintf("consensus.Node.%s %s", e.Field, e.Reason) }

// SavedStateError reports a saved state that is not consistent.
type SavedStateError struct {
	Index  uint64
	Reason string
}

func (e *SavedStateError) Error() string {
	return fmt.Sprintf("saved log at index %d: %s", e.Index, e.Reason)
}
