package consensus

import "fmt"

// NotLeaderError is returned for a request that only the leader can handle. Leader
// is empty if the node does not know the leader.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; the leader is unknown"
	}
	return "not the leader; the leader is " + e.Leader
}

// TransferringError is returned while a leadership transfer to To is in progress.
type TransferringError struct{ To string }

func (e *TransferringError) Error() string { return "leadership is being transferred to " + e.To }

// TransferError is returned for a leadership transfer that is not possible.
type TransferError struct{ To, Reason string }

func (e *TransferError) Error() string {
	return fmt.Sprintf("cannot transfer leadership to %q: %s", e.To, e.Reason)
}

// NotReadyError is returned for a membership change before the leader has committed
// an entry of its own term.
type NotReadyError struct{ Term uint64 }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("the leader has not committed an entry of its term %d yet", e.Term)
}

// PendingChangeError is returned for a membership change while the one at Index is
// still in progress.
type PendingChangeError struct{ Index uint64 }

func (e *PendingChangeError) Error() string {
	return fmt.Sprintf("the membership change at index %d is not committed yet", e.Index)
}

// MembershipError is returned for a membership change that is not valid for the
// current configuration or the reachable members.
type MembershipError struct {
	Change MembershipChange
	Reason string
}

func (e *MembershipError) Error() string {
	return fmt.Sprintf("cannot %s %q: %s", e.Change.Action, e.Change.ID, e.Reason)
}

// BehindError is returned for the promotion of a learner that is unreachable, or
// whose log ends too far behind the leader's.
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

// CompactError is returned for a compaction at an index that is not applied yet, or
// that the log or its newest snapshot has already compacted.
type CompactError struct{ Index, First, Applied uint64 }

func (e *CompactError) Error() string {
	return fmt.Sprintf("cannot compact to index %d: outside %d to %d", e.Index, e.First, e.Applied)
}

// FieldError is returned for a Node field with an invalid value.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return fmt.Sprintf("consensus.Node.%s %s", e.Field, e.Reason) }

// SavedStateError is returned for an inconsistent saved state.
type SavedStateError struct {
	Index  uint64
	Reason string
}

func (e *SavedStateError) Error() string {
	return fmt.Sprintf("saved log at index %d: %s", e.Index, e.Reason)
}
