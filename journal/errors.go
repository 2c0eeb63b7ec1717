package journal

import "fmt"

// CorruptError reports damage that a crash cannot cause. The member must not
// start: it may have lost entries that it has acknowledged.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// SequenceError reports entries or a snapshot that do not follow the contents of
// the journal. Nothing was written.
type SequenceError struct {
	Index  uint64
	Reason string
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("journal index %d: %s", e.Index, e.Reason)
}

// IdentityError reports an attempt to save state before the identity is written, to
// replace the identity or to write an incomplete one.
type IdentityError struct{ Dir, Reason string }

func (e *IdentityError) Error() string { return e.Dir + ": " + e.Reason }

// LockedError reports that the journal is already open, usually in another process.
type LockedError struct{ Dir string }

func (e *LockedError) Error() string { return e.Dir + ": in use by another process" }
