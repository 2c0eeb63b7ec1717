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

// Open opens the journal in the folder, which it creates if necessary, and
// returns what was saved. A blank journal gives a zero Saved and no identity.
// The errors are *CorruptError, *LockedError and those of the file system.
func Open(dir string) (*Journal, consensus.SavedState, error) {
	if err := create(dir); err != nil {
		return nil, consensus.SavedState{}, errors.Wrap(err, "create folder")
	}
	folder, err := lock(dir)
	if err != nil {
		return nil, consensus.SavedState{}, err
	}
	j := &Journal{dir: dir, folder: folder, sync: (*os.File).Sync}
	saved, err := j.recover()
	if err != nil {
		folder.Close()
		if j.file != nil {
			j.file.Close()
		}
		return nil, consensus.SavedState{}, err
	}
	return j, saved, nil
}

// create creates the folder and makes its entry in the parent folder durable.
func create(dir string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	return SyncDirectory(filepath.Dir(filepath.Clean(dir)))
}

// files lists the indexes in the names of the files, in increasing order: the
// snapshot's own, and for a segment the one that it follows.
type files struct{ snapshots, segments []uint64 }

func (f files) empty() bool { return len(f.snapshots)+len(f.segments) == 0 }

// list finds the segments and snapshots, and removes their temporary files.
func list(dir string) (files, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return files{}, err
	}
	var found files
	for _, entry := range names {
		name := entry.Name()
		if unfinished(name) {
			if err := os.Remove(filepath.Join(dir, name)); err != nil {
				return files{}, err
			}
		}
		if index, ok := number(name, snapshotPrefix); ok {
			found.snapshots = append(found.snapshots, index)
		}
		if index, ok := number(name, segmentPrefix); ok {
			found.segments = append(found.segments, index-1)
		}
	}
	slices.Sort(found.snapshots)
	slices.Sort(found.segments)
	return found, nil
}

// unfinished reports whether place was interrupted while it wrote the file.
func unfinished(name string) bool {
	name, ok := strings.CutSuffix(name, temporary)
	_, snapshot := number(name, snapshotPrefix)
	_, segment := number(name, segmentPrefix)
	return ok && (snapshot || segment || name == identityFile)
}

// number returns the positive number that follows the prefix in a file name.
func number(name, prefix string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, prefix)
	index, err := strconv.ParseUint(text, 10, 64)
	return index, ok && err == nil && index > 0
}

// recover reads the newest snapshot and segment.
func (j *Journal) recover() (consensus.SavedState, error) {
	identity, known, err := ReadIdentity(j.dir)
	if err != nil {
		return consensus.SavedState{}, err
	}
	j.identity = identity
	found, err := list(j.dir)
	if err != nil {
		return consensus.SavedState{}, errors.Wrap(err, "list folder")
	}
	if found.empty() && !known {
		return consensus.SavedState{}, j.newSegment()
	}
	snapshot, err := j.readNewest(found)
	if err != nil {
		return consensus.SavedState{}, err
	}
	saved := consensus.SavedState{Hard: j.hard, Snapshot: snapshot, Entries: slices.Clone(j.entries)}
	blank := saved.Hard == consensus.HardState{} && snapshot == nil && len(saved.Entries) == 0
	if !known && !blank {
		return consensus.SavedState{}, j.corrupt(identityFile, 0, "the file is missing, but the log is not empty")
	}
	return saved, nil
}

// readNewest reads the newest snapshot and segment into the journal. A segment
// that starts before the snapshot is left by a crash between the two renames of
// SaveSnapshot, which is completed.
func (j *Journal) readNewest(found files) (*consensus.Snapshot, error) {
	snapshot, err := j.readSnapshot(found.snapshots)
	if err != nil {
		return nil, err
	}
	if len(found.segments) == 0 {
		return nil, j.corrupt(segmentPrefix+"*", 0, "the log is missing")
	}
	if err := j.readSegment(found.segments[len(found.segments)-1]); err != nil {
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
		return nil, j.corrupt(snapshotName(j.after), 0, "the file is missing")
	case j.after < index:
		return snapshot, j.begin(snapshot)
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
	b, err := j.read(name)
	if err != nil {
		return nil, err
	}
	r, ok := decode(b)
	if !ok || r.kind != typeSnapshot || r.size != len(b) {
		return nil, j.corrupt(name, 0, "the snapshot is incomplete or its checksum does not match")
	}
	s := &consensus.Snapshot{}
	if err := json.Unmarshal(r.payload, s); err != nil {
		return nil, j.corrupt(name, 0, err.Error())
	}
	if s.Index != index {
		return nil, j.corrupt(name, 0, "the index in the file differs from its name")
	}
	return s, nil
}

func (j *Journal) read(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(j.dir, name))
	j.recovery.Bytes += int64(len(b))
	return b, errors.Wrap(err, "read "+name)
}

// readSegment replays a segment and opens it for writing.
func (j *Journal) readSegment(after uint64) error {
	name := segmentName(after)
	b, err := j.read(name)
	if err != nil {
		return err
	}
	offset, mended := 0, -1
	for offset < len(b) {
		r, ok := decode(b[offset:])
		if !ok && mended < 0 && mend(b[offset:]) {
			mended = offset
			continue
		}
		if !ok {
			break
		}
		if err := j.replay(r, offset); err != nil {
			return j.corrupt(name, offset, err.Error())
		}
		offset += r.size
		j.recovery.Records++
	}
	switch {
	case offset == 0:
		return j.corrupt(name, 0, "the first record is incomplete or its checksum does not match")
	case len(b)%block != 0:
		return j.corrupt(name, len(b), "the file is cut off")
	case j.after != after:
		return j.corrupt(name, 0, "the index in the file differs from its name")
	case !torn(b[offset:]):
		return j.corrupt(name, offset, "the checksum of the record does not match")
	}
	if err := j.openSegment(name, int64(offset)); err != nil {
		return err
	}
	j.size = int64(len(b))
	if mended >= 0 {
		if _, err := j.file.WriteAt(b[mended:offset], int64(mended)); err != nil {
			return errors.Wrap(err, "complete the last record")
		}
	}
	return j.erase(len(bytes.TrimRight(b[offset:], "\x00")))
}

// replay applies one record of a segment.
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
	if err := j.follows(s.Entries); err != nil {
		return err
	}
	j.apply(s)
	return nil
}

// erase removes a torn record of so many bytes after the end of the open segment.
func (j *Journal) erase(size int) error {
	j.recovery.Torn = int64(size)
	if size == 0 {
		return nil
	}
	if _, err := j.file.WriteAt(make([]byte, size), j.end); err != nil {
		return errors.Wrap(err, "erase torn record")
	}
	return errors.Wrap(j.sync(j.file), "sync log")
}

func (j *Journal) corrupt(name string, offset int, reason string) error {
	return &CorruptError{File: filepath.Join(j.dir, name), Offset: int64(offset), Reason: reason}
}
