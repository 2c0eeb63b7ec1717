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
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = ".tmp"

	folderMode = 0o750
	fileMode   = 0o600

	// block is the unit of the size of segments in bytes. A segment is filled up with
	// zeros, so that one that was cut off does not look like one whose last record was
	// not written; it is a small part of the disks at hand, which have 128 MB.
	block = 64 << 10
)

// filled returns the size of a segment whose records end at end.
func filled(end int64) int64 { return (end + block - 1) / block * block }

// Journal is an open journal. It is not safe for concurrent use. After a failed
// write every later write returns the same error, because the state of the file
// is unknown until the journal is opened again.
type Journal struct {
	dir    string
	folder *os.File
	file   *os.File
	// end is where the next record goes in the segment, size the size of its file.
	end, size int64
	identity  Identity
	hard      consensus.HardState
	// after is the index of the snapshot; entries are those that follow it.
	after    uint64
	entries  []consensus.Entry
	recovery Recovery
	failed   error

	// sync makes a file or folder durable. Tests replace it.
	sync func(*os.File) error
}

// Recovery tells what Open has read.
type Recovery struct {
	// Snapshot is the index of the snapshot, Records and Entries are the number
	// of records and entries read from the log, Bytes the size of both files.
	Snapshot uint64
	Records  int
	Entries  int
	Bytes    int64
	// Torn is the size of the incomplete last record that was removed.
	Torn int64
}

// Recovery returns what Open has read.
func (j *Journal) Recovery() Recovery { return j.recovery }

// Close releases the folder. Everything that was saved is already durable.
func (j *Journal) Close() error {
	err := j.file.Close()
	if folderErr := j.folder.Close(); err == nil {
		err = folderErr
	}
	return errors.Wrap(err, "close journal")
}

// Save appends the hard state, unless it is nil, and the entries as one record,
// and returns after the sync. An entry replaces any saved entry with the same or
// a larger index. The errors are *IdentityError, *SequenceError and those of the
// file system.
func (j *Journal) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := j.writable(); err != nil {
		return err
	}
	if err := j.follows(entries); err != nil {
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

// append makes a record durable at the end of the segment.
func (j *Journal) append(b []byte) error {
	if size := filled(j.end + int64(len(b))); size > j.size {
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
// Later entries are kept if the log holds the snapshot's last entry; otherwise
// the snapshot comes from a leader whose log differs, and replaces the whole
// log. The errors are *IdentityError, *SequenceError if the journal has this or
// a newer snapshot, and those of the file system.
func (j *Journal) SaveSnapshot(s *consensus.Snapshot) error {
	if err := j.writable(); err != nil {
		return err
	}
	if s.Index <= j.after {
		return &SequenceError{Index: s.Index, Reason: "the journal has this or a newer snapshot"}
	}
	b, err := encode(typeSnapshot, s)
	if err != nil {
		return err
	}
	if err := j.place(snapshotName(s.Index), b); err != nil {
		return err
	}
	return j.begin(s)
}

// Persist saves what an output of consensus asks for. After it returns, the
// messages of the output may be sent and its entries applied. The errors are
// those of Save and SaveSnapshot.
func (j *Journal) Persist(out consensus.Output) error {
	if err := j.Save(out.Hard, out.Entries); err != nil {
		return err
	}
	if out.Snapshot == nil {
		return nil
	}
	return j.SaveSnapshot(out.Snapshot)
}

// begin replaces the segment with one that starts after the snapshot.
func (j *Journal) begin(s *consensus.Snapshot) error {
	j.entries, j.after = following(j.entries, s), s.Index
	if err := j.newSegment(); err != nil {
		return err
	}
	return j.removeOlder()
}

// following returns the entries that remain valid after the snapshot.
func following(entries []consensus.Entry, s *consensus.Snapshot) []consensus.Entry {
	for i, e := range entries {
		if e.Index == s.Index && e.Term == s.Term {
			return append([]consensus.Entry(nil), entries[i+1:]...)
		}
	}
	return nil
}

// newSegment writes the segment that follows the snapshot and opens it.
func (j *Journal) newSegment() error {
	b, err := encode(typeSegment, segment{After: j.after, Hard: j.hard, Entries: j.entries})
	if err != nil {
		return err
	}
	name, end := segmentName(j.after), int64(len(b))
	if err := j.place(name, append(b, make([]byte, filled(end)-end)...)); err != nil {
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
	j.file, j.end, j.size = file, end, filled(end)
	return nil
}

// place writes a file so that after a crash it is either complete or absent.
func (j *Journal) place(name string, content []byte) error {
	path := filepath.Join(j.dir, name)
	if err := replaceFile(path, content, j.folder, j.sync); err != nil {
		return j.fail(err, "write "+name)
	}
	return nil
}

// removeOlder removes the snapshots and segments that the current ones replace.
func (j *Journal) removeOlder() error {
	found, err := list(j.dir)
	if err != nil {
		return j.fail(err, "list folder")
	}
	for _, index := range found.segments {
		if index < j.after {
			err = firstError(err, os.Remove(filepath.Join(j.dir, segmentName(index))))
		}
	}
	for _, index := range found.snapshots {
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

// writable returns an error if the journal cannot be written.
func (j *Journal) writable() error {
	if j.failed != nil {
		return j.failed
	}
	if _, ok := j.Identity(); !ok {
		return &IdentityError{Dir: j.dir, Reason: "the identity has not been written"}
	}
	return nil
}

func (j *Journal) fail(err error, doing string) error {
	j.failed = errors.Wrap(err, doing)
	return j.failed
}

func (j *Journal) last() uint64 { return j.after + uint64(len(j.entries)) }

// follows checks that the entries are contiguous and leave no gap.
func (j *Journal) follows(entries []consensus.Entry) error {
	for i, e := range entries {
		switch {
		case i > 0 && e.Index != entries[i-1].Index+1, e.Index > j.last()+uint64(i)+1:
			return &SequenceError{Index: e.Index, Reason: "an entry is missing before this one"}
		case e.Index <= j.after:
			return &SequenceError{Index: e.Index, Reason: "the snapshot already contains this entry"}
		}
	}
	return nil
}

// apply updates the state in memory. The entries must follow it.
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

func segmentName(after uint64) string { return segmentPrefix + strconv.FormatUint(after+1, 10) }

func snapshotName(index uint64) string { return snapshotPrefix + strconv.FormatUint(index, 10) }

// lock opens the folder and reserves it for this process. Two processes with
// the same journal could vote twice in one term.
func lock(dir string) (*os.File, error) {
	folder, err := os.Open(dir)
	if err != nil {
		return nil, errors.Wrap(err, "open folder")
	}
	if err := syscall.Flock(int(folder.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		folder.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &LockedError{Dir: dir}
		}
		return nil, errors.Wrap(err, "lock folder")
	}
	return folder, nil
}
