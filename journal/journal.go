package journal

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"

	"github.com/pkg/errors"

	"wasabirelay/consensus"
)

const (
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"

	directoryMode = 0o750
	fileMode      = 0o600

	// segmentBlock is the size in bytes that segments are padded to a multiple of. The
	// zeros distinguish a truncated segment from one whose last record was not written.
	// The size is a small share of the available disks, which have 128 MB.
	segmentBlock = 64 << 10

	// trialFile is the temporary file with which Discard checks the disk.
	trialFile = "trial"
)

// paddedSize returns the file size of a segment whose records end at end.
func paddedSize(end int64) int64 { return (end + segmentBlock - 1) / segmentBlock * segmentBlock }

// Journal is an open journal. It is not safe for concurrent use. After a failed
// write every later write returns the same error, because the contents of the file
// are unknown until the journal is opened again.
type Journal struct {
	dir       string
	directory *os.File
	file      *os.File
	// end is the offset of the next record in the segment, size the size of its file.
	end, size int64
	identity  Identity
	hard      consensus.HardState
	// after is the index of the snapshot; entries are the entries after it.
	after    uint64
	entries  []consensus.Entry
	recovery Recovery
	failed   error

	// sync makes a file or directory durable. Tests replace it.
	sync func(*os.File) error
	// fault is called before each operation that changes the disk; nil if there is none.
	fault func() error
}

// Disk opens journals. The zero value uses the file system as it is.
type Disk struct {
	// Fault, if set, is called before each operation that changes the disk. Its error is
	// returned instead of the result of the operation.
	Fault func() error

	// sync replaces (*os.File).Sync in tests.
	sync func(*os.File) error
}

// checkFault returns the error of a fault.
func (j *Journal) checkFault() error {
	if j.fault == nil {
		return nil
	}
	return j.fault()
}

// Discard erases what may have been written after the last record that is known to be durable, and
// checks that the disk takes new data. It is called after an operation has failed, until it
// succeeds; the journal has to be opened again then. Without it, a record whose sync has failed
// would be read back from memory and taken for durable.
func (j *Journal) Discard() error {
	if err := j.checkFault(); err != nil {
		return err
	}
	path := filepath.Join(j.dir, trialFile+temporarySuffix)
	if err := writeSynced(path, make([]byte, segmentBlock), j.sync); err != nil {
		return errors.Wrap(err, "write trial file")
	}
	if err := os.Remove(path); err != nil {
		return errors.Wrap(err, "remove trial file")
	}
	info, err := j.file.Stat()
	if err != nil {
		return errors.Wrap(err, "read size of log")
	}
	if _, err := j.file.WriteAt(make([]byte, max(0, info.Size()-j.end)), j.end); err != nil {
		return errors.Wrap(err, "erase the end of the log")
	}
	return errors.Wrap(j.sync(j.file), "sync log")
}

// Recovery describes what Open has read and repaired.
type Recovery struct {
	// Snapshot is the index of the snapshot. Records and Entries are the numbers of
	// records and entries read from the log. Bytes is the size of both files.
	Snapshot uint64
	Records  int
	Entries  int
	Bytes    int64
	// Torn is the size in bytes of the incomplete last record that was removed.
	Torn int64
}

// Recovery returns what Open has read and repaired.
func (j *Journal) Recovery() Recovery { return j.recovery }

// Close closes the journal and unlocks its directory. All saved state is already durable.
func (j *Journal) Close() error {
	err := j.file.Close()
	if directoryErr := j.directory.Close(); err == nil {
		err = directoryErr
	}
	return errors.Wrap(err, "close journal")
}

// Save appends the hard state, unless it is nil, and the entries as one record,
// and returns after the sync. An entry replaces all saved entries with the same or
// a larger index. The errors are *IdentityError, *SequenceError and those of the
// file system.
func (j *Journal) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := j.checkWritable(); err != nil {
		return err
	}
	if err := j.checkSequence(entries); err != nil {
		return err
	}
	b, err := encode(typeSave, save{Hard: hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := j.append(b); err != nil {
		return err
	}
	j.apply(save{Hard: hard, Entries: entries})
	return nil
}

// append writes a record to the end of the segment and syncs the file.
func (j *Journal) append(b []byte) error {
	if err := j.checkFault(); err != nil {
		return j.fail(err, "write log")
	}
	if size := paddedSize(j.end + int64(len(b))); size > j.size {
		if err := j.file.Truncate(size); err != nil {
			return j.fail(err, "extend log")
		}
		j.size = size
	}
	if _, err := j.file.WriteAt(b, j.end); err != nil {
		return j.fail(err, "write log")
	}
	if err := j.sync(j.file); err != nil {
		return j.fail(err, "sync log")
	}
	j.end += int64(len(b))
	return nil
}

// SaveSnapshot makes the snapshot durable and removes the log up to its index.
// Later entries are kept if the log contains the last entry of the snapshot. If it
// does not, the snapshot comes from a leader whose log differs, and replaces the
// entire log. The errors are *IdentityError, *SequenceError if the journal has this
// or a newer snapshot, and those of the file system.
func (j *Journal) SaveSnapshot(s *consensus.Snapshot) error {
	if err := j.checkWritable(); err != nil {
		return err
	}
	if s.Index <= j.after {
		return &SequenceError{Index: s.Index, Reason: "the journal has this or a newer snapshot"}
	}
	b, err := encode(typeSnapshot, s)
	if err != nil {
		return err
	}
	if err := j.writeFile(snapshotName(s.Index), b); err != nil {
		return err
	}
	return j.startSegment(s)
}

// Persist saves the hard state, the entries and the snapshot of an output of package
// consensus. Once it returns without an error, the messages of the output may be sent
// and its committed entries applied. The errors are those of Save and SaveSnapshot.
func (j *Journal) Persist(out consensus.Output) error {
	if err := j.Save(out.Hard, out.Entries); err != nil {
		return err
	}
	if out.Snapshot == nil {
		return nil
	}
	return j.SaveSnapshot(out.Snapshot)
}

// startSegment replaces the segment with one that starts after the snapshot.
func (j *Journal) startSegment(s *consensus.Snapshot) error {
	j.entries, j.after = entriesAfter(j.entries, s), s.Index
	if err := j.newSegment(); err != nil {
		return err
	}
	return j.removeOlder()
}

// entriesAfter returns the entries that remain valid after the snapshot.
func entriesAfter(entries []consensus.Entry, s *consensus.Snapshot) []consensus.Entry {
	for i, e := range entries {
		if e.Index == s.Index && e.Term == s.Term {
			return append([]consensus.Entry(nil), entries[i+1:]...)
		}
	}
	return nil
}

// newSegment creates and opens the segment that starts after the snapshot.
func (j *Journal) newSegment() error {
	b, err := encode(typeSegment, segment{After: j.after, Hard: j.hard, Entries: j.entries})
	if err != nil {
		return err
	}
	name, end := segmentName(j.after), int64(len(b))
	if err := j.writeFile(name, append(b, make([]byte, paddedSize(end)-end)...)); err != nil {
		return err
	}
	return j.openSegment(name, end)
}

// openSegment opens a segment whose records end at end.
func (j *Journal) openSegment(name string, end int64) error {
	file, err := os.OpenFile(filepath.Join(j.dir, name), os.O_WRONLY, fileMode)
	if err != nil {
		return j.fail(err, "open segment")
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.end, j.size = file, end, paddedSize(end)
	return nil
}

// writeFile writes a file atomically: after a crash it is either complete or absent.
func (j *Journal) writeFile(name string, content []byte) error {
	if err := j.checkFault(); err != nil {
		return j.fail(err, "write "+name)
	}
	path := filepath.Join(j.dir, name)
	if err := replaceFile(path, content, j.directory, j.sync); err != nil {
		return j.fail(err, "write "+name)
	}
	return nil
}

// removeOlder removes the snapshots and segments before the current ones.
func (j *Journal) removeOlder() error {
	existing, err := listFiles(j.dir)
	if err != nil {
		return j.fail(err, "list directory")
	}
	for _, index := range existing.segments {
		if index < j.after {
			err = firstError(err, os.Remove(filepath.Join(j.dir, segmentName(index))))
		}
	}
	for _, index := range existing.snapshots {
		if index < j.after {
			err = firstError(err, os.Remove(filepath.Join(j.dir, snapshotName(index))))
		}
	}
	if err != nil {
		return j.fail(err, "remove older files")
	}
	return nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// checkWritable returns an error if the journal cannot be written to.
func (j *Journal) checkWritable() error {
	if j.failed != nil {
		return j.failed
	}
	if _, ok := j.Identity(); !ok {
		return &IdentityError{Dir: j.dir, Reason: "the identity has not been written"}
	}
	return nil
}

// fail records the error of a failed operation, which all later writes return.
func (j *Journal) fail(err error, operation string) error {
	j.failed = errors.Wrap(err, operation)
	return j.failed
}

// lastIndex returns the index of the last saved entry.
func (j *Journal) lastIndex() uint64 { return j.after + uint64(len(j.entries)) }

// checkSequence checks that the entries are contiguous and leave no gap after the saved
// entries.
func (j *Journal) checkSequence(entries []consensus.Entry) error {
	for i, e := range entries {
		switch {
		case i > 0 && e.Index != entries[i-1].Index+1, e.Index > j.lastIndex()+uint64(i)+1:
			return &SequenceError{Index: e.Index, Reason: "an entry is missing before this one"}
		case e.Index <= j.after:
			return &SequenceError{Index: e.Index, Reason: "the snapshot already contains this entry"}
		}
	}
	return nil
}

// apply updates the state in memory. The entries must have passed checkSequence.
func (j *Journal) apply(s save) {
	if s.Hard != nil {
		j.hard = *s.Hard
	}
	if len(s.Entries) == 0 {
		return
	}
	if kept := s.Entries[0].Index - j.after - 1; kept < uint64(len(j.entries)) {
		j.entries = slices.Clip(j.entries[:kept])
	}
	j.entries = append(j.entries, s.Entries...)
}

// segmentName returns the name of the segment that starts after the index.
func segmentName(after uint64) string { return segmentPrefix + strconv.FormatUint(after+1, 10) }

func snapshotName(index uint64) string { return snapshotPrefix + strconv.FormatUint(index, 10) }

// lockDirectory opens the directory and locks it for this process. Two processes with the
// same journal could vote twice in one term.
func lockDirectory(dir string) (*os.File, error) {
	directory, err := os.Open(dir)
	if err != nil {
		return nil, errors.Wrap(err, "open directory")
	}
	if err := syscall.Flock(int(directory.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		directory.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &LockedError{Dir: dir}
		}
		return nil, errors.Wrap(err, "lock directory")
	}
	return directory, nil
}
