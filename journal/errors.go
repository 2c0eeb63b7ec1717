package journal

import "fmt"

// CorruptError reports damage that no crash explains. The member must not
// start: it may have lost entries that it has promised to keep.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// SequenceError refuses entries or a snapshot that do not follow what the
// journal holds. Nothing was written.
type SequenceError struct {
	Index  uint64
	Reason string
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("journal index %d: %s", e.Index, e.Reason)
}

// IdentityError refuses to save state before the identity is written, or to
// replace the identity.
type IdentityError struct{ Dir, Reason string }

func (e *IdentityError) Error() string { return e.Dir + ": " + e.Reason }

// LockedError reports that another process has the journal open.
type LockedError struct{ Dir string }

func (e *LockedError) Error() string { return e.Dir + ": in use by another process" }
