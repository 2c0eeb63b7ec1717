package journal

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"wasabirelay/consensus"
)

// Open opens the journal in the directory, which it creates if necessary, and
// returns the saved state. A new journal has a zero SavedState and no identity. The
// errors are *CorruptError, *LockedError and those of the file system.
func Open(dir string) (*Journal, consensus.SavedState, error) { return (&Disk{}).Open(dir) }

// Open is like the function Open.
func (d *Disk) Open(dir string) (*Journal, consensus.SavedState, error) {
	sync := d.sync
	if sync == nil {
		sync = (*os.File).Sync
	}
	if err := createDirectory(dir); err != nil {
		return nil, consensus.SavedState{}, errors.Wrap(err, "create directory")
	}
	directory, err := lockDirectory(dir)
	if err != nil {
		return nil, consensus.SavedState{}, err
	}
	j := &Journal{dir: dir, directory: directory, sync: sync, fault: d.Fault}
	saved, err := j.recover()
	if err != nil {
		directory.Close()
		if j.file != nil {
			j.file.Close()
		}
		return nil, consensus.SavedState{}, err
	}
	return j, saved, nil
}

// createDirectory creates the directory and makes its name in the parent directory durable.
func createDirectory(dir string) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	return SyncDirectory(filepath.Dir(filepath.Clean(dir)))
}

// files holds the snapshots and segments of a directory in increasing order: the indexes of
// the snapshots, and for each segment the index that it starts after.
type files struct{ snapshots, segments []uint64 }

func (f files) empty() bool { return len(f.snapshots)+len(f.segments) == 0 }

// listFiles lists the segments and snapshots, and removes temporary files.
func listFiles(dir string) (files, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return files{}, err
	}
	var existing files
	for _, entry := range names {
		name := entry.Name()
		if isTemporary(name) {
			if err := os.Remove(filepath.Join(dir, name)); err != nil {
				return files{}, err
			}
		}
		if index, ok := indexFromName(name, snapshotPrefix); ok {
			existing.snapshots = append(existing.snapshots, index)
		}
		if index, ok := indexFromName(name, segmentPrefix); ok {
			existing.segments = append(existing.segments, index-1)
		}
	}
	slices.Sort(existing.snapshots)
	slices.Sort(existing.segments)
	return existing, nil
}

// isTemporary reports whether the file is left from an interrupted writeFile or Discard.
func isTemporary(name string) bool {
	name, ok := strings.CutSuffix(name, temporarySuffix)
	_, snapshot := indexFromName(name, snapshotPrefix)
	_, segment := indexFromName(name, segmentPrefix)
	return ok && (snapshot || segment || name == identityFile || name == trialFile)
}

// indexFromName returns the positive index that follows the prefix in a file name.
func indexFromName(name, prefix string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, prefix)
	index, err := strconv.ParseUint(text, 10, 64)
	return index, ok && err == nil && index > 0
}

// recover reads the identity and the newest snapshot and segment, and removes older files.
func (j *Journal) recover() (consensus.SavedState, error) {
	identity, hasIdentity, err := ReadIdentity(j.dir)
	if err != nil {
		return consensus.SavedState{}, err
	}
	j.identity = identity
	existing, err := listFiles(j.dir)
	if err != nil {
		return consensus.SavedState{}, errors.Wrap(err, "list directory")
	}
	if existing.empty() && !hasIdentity {
		return consensus.SavedState{}, j.newSegment()
	}
	snapshot, err := j.readNewest(existing)
	if err != nil {
		return consensus.SavedState{}, err
	}
	saved := consensus.SavedState{Hard: j.hard, Snapshot: snapshot, Entries: slices.Clone(j.entries)}
	empty := saved.Hard == consensus.HardState{} && snapshot == nil && len(saved.Entries) == 0
	if !hasIdentity && !empty {
		return consensus.SavedState{}, j.corruptError(identityFile, 0, "the file is missing, but the log is not empty")
	}
	return saved, nil
}

// readNewest reads the newest snapshot and segment into the journal. A segment that
// starts before the snapshot is left from a crash between the two renames of
// SaveSnapshot; readNewest then completes SaveSnapshot.
func (j *Journal) readNewest(existing files) (*consensus.Snapshot, error) {
	snapshot, err := j.readSnapshot(existing.snapshots)
	if err != nil {
		return nil, err
	}
	if len(existing.segments) == 0 {
		return nil, j.corruptError(segmentPrefix+"*", 0, "the log is missing")
	}
	if err := j.readSegment(existing.segments[len(existing.segments)-1]); err != nil {
		return nil, err
	}
	j.recovery.Entries = len(j.entries)
	var index uint64
	if snapshot != nil {
		index = snapshot.Index
		j.recovery.Snapshot = index
	}
	switch {
	case j.after > index:
		return nil, j.corruptError(snapshotName(j.after), 0, "the file is missing")
	case j.after < index:
		return snapshot, j.startSegment(snapshot)
	}
	if len(existing.segments) > 1 || len(existing.snapshots) > 1 {
		// The names of the newest files may not be durable yet: the process may have ended before
		// it synced the directory.
		if err := j.sync(j.directory); err != nil {
			return nil, errors.Wrap(err, "sync directory")
		}
	}
	return snapshot, j.removeOlder()
}

// readSnapshot reads the newest snapshot, or returns nil if there is none.
func (j *Journal) readSnapshot(indexes []uint64) (*consensus.Snapshot, error) {
	if len(indexes) == 0 {
		return nil, nil
	}
	index := indexes[len(indexes)-1]
	name := snapshotName(index)
	b, err := j.readFile(name)
	if err != nil {
		return nil, err
	}
	r, ok := decode(b)
	if !ok || r.kind != typeSnapshot || r.size != len(b) {
		return nil, j.corruptError(name, 0, "the snapshot is incomplete or its checksum does not match")
	}
	s := &consensus.Snapshot{}
	if err := json.Unmarshal(r.payload, s); err != nil {
		return nil, j.corruptError(name, 0, err.Error())
	}
	if s.Index != index {
		return nil, j.corruptError(name, 0, "the index in the file differs from its name")
	}
	return s, nil
}

func (j *Journal) readFile(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(j.dir, name))
	j.recovery.Bytes += int64(len(b))
	return b, errors.Wrap(err, "read "+name)
}

// readSegment replays a segment and opens it for writing. It completes a truncated checksum of
// the last record, removes a torn last record and syncs the file: the process may have ended
// between the write of the last record and its sync, and from now on others rely on that record.
func (j *Journal) readSegment(after uint64) error {
	name := segmentName(after)
	b, err := j.readFile(name)
	if err != nil {
		return err
	}
	offset, completed := 0, -1
	for offset < len(b) {
		r, ok := decode(b[offset:])
		if !ok && completed < 0 && completeChecksum(b[offset:]) {
			completed = offset
			continue
		}
		if !ok {
			break
		}
		if err := j.replay(r, offset); err != nil {
			return j.corruptError(name, offset, err.Error())
		}
		offset += r.size
		j.recovery.Records++
	}
	switch {
	case offset == 0:
		return j.corruptError(name, 0, "the first record is incomplete or its checksum does not match")
	case len(b)%segmentBlock != 0:
		return j.corruptError(name, len(b), "the file is truncated")
	case j.after != after:
		return j.corruptError(name, 0, "the index in the file differs from its name")
	case !isTorn(b[offset:]):
		return j.corruptError(name, offset, "the checksum of the record does not match")
	}
	if err := j.openSegment(name, int64(offset)); err != nil {
		return err
	}
	j.size = int64(len(b))
	if completed >= 0 {
		if _, err := j.file.WriteAt(b[completed:offset], int64(completed)); err != nil {
			return errors.Wrap(err, "complete the last record")
		}
	}
	if err := j.eraseTorn(len(bytes.TrimRight(b[offset:], "\x00"))); err != nil {
		return err
	}
	return errors.Wrap(j.sync(j.file), "sync log")
}

// replay applies the record at an offset of a segment.
func (j *Journal) replay(r record, offset int) error {
	switch {
	case r.kind == typeSegment && offset == 0:
		var s segment
		if err := json.Unmarshal(r.payload, &s); err != nil {
			return err
		}
		j.after = s.After
		return j.replaySave(save{Hard: &s.Hard, Entries: s.Entries})
	case r.kind == typeSave && offset > 0:
		var s save
		if err := json.Unmarshal(r.payload, &s); err != nil {
			return err
		}
		return j.replaySave(s)
	}
	return errors.Errorf("unexpected record type %d", r.kind)
}

func (j *Journal) replaySave(s save) error {
	if err := j.checkSequence(s.Entries); err != nil {
		return err
	}
	j.apply(s)
	return nil
}

// eraseTorn overwrites a torn record of the given size at the end of the open segment with
// zeros. The caller syncs the file.
func (j *Journal) eraseTorn(size int) error {
	j.recovery.Torn = int64(size)
	if size == 0 {
		return nil
	}
	_, err := j.file.WriteAt(make([]byte, size), j.end)
	return errors.Wrap(err, "erase torn record")
}

func (j *Journal) corruptError(name string, offset int, reason string) error {
	return &CorruptError{File: filepath.Join(j.dir, name), Offset: int64(offset), Reason: reason}
}
