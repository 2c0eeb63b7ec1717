package journal

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/consensus"
)

var member = Identity{Host: "h1", Incarnation: "a"}

// reopen closes the journal and opens it again, as after a restart.
func reopen(t testing.TB, j *Journal, dir string) (*Journal, consensus.SavedState) {
	t.Helper()
	if j != nil {
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	}
	j, saved, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, saved
}

// newJournal opens a new journal with an identity.
func newJournal(t testing.TB) (*Journal, string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	j, _ := reopen(t, nil, dir)
	if err := j.WriteIdentity(member); err != nil {
		t.Fatal(err)
	}
	return j, dir
}

func entries(from, to, term uint64) []consensus.Entry {
	var list []consensus.Entry
	for i := from; i <= to; i++ {
		list = append(list, consensus.Entry{Index: i, Term: term, Data: []byte("change")})
	}
	return list
}

func snapshot(index, term uint64) *consensus.Snapshot {
	return &consensus.Snapshot{Index: index, Term: term, Members: consensus.Members{Voters: []string{"h1/a"}}, Data: []byte("state")}
}

// saveEntries saves entries one by one and saves a snapshot after every 256 entries, in the
// same order as a control replica.
func saveEntries(t testing.TB, j *Journal, count uint64) {
	t.Helper()
	hard := &consensus.HardState{Term: 1, Vote: "h1/a"}
	for i := uint64(1); i <= count; i++ {
		if err := j.Save(hard, entries(i, i, 1)); err != nil {
			t.Fatal(err)
		}
		if hard = nil; i%256 == 0 {
			if err := j.SaveSnapshot(snapshot(i, 1)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against a restart that loses state or restores replaced entries.
func TestRestart(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	is.NoErr(j.Save(&consensus.HardState{Term: 1}, entries(1, 5, 1)))
	is.NoErr(j.Save(&consensus.HardState{Term: 3, Vote: "h2/b"}, nil))
	is.NoErr(j.Save(nil, entries(4, 4, 3)))
	j, saved := reopen(t, j, dir)
	is.Equal(saved.Hard, consensus.HardState{Term: 3, Vote: "h2/b"})
	is.Equal(saved.Entries, append(entries(1, 3, 1), entries(4, 4, 3)...))
	is.True(saved.Snapshot == nil)
	got, ok := j.Identity()
	is.True(ok)
	is.Equal(got, member)
	is.True(errors.As(j.WriteIdentity(NewIdentity("h1")), new(*IdentityError)))
	_, _, err := Open(dir)
	is.True(errors.As(err, new(*LockedError))) // two processes could vote twice in one term
}

// Guards against a write after which the log cannot be replayed.
func TestSequence(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	is.NoErr(j.Save(nil, entries(1, 5, 1)))
	is.NoErr(j.SaveSnapshot(snapshot(3, 1)))
	for _, list := range [][]consensus.Entry{entries(7, 8, 1), entries(3, 4, 1), append(entries(6, 6, 1), entries(8, 8, 1)...)} {
		is.True(errors.As(j.Save(nil, list), new(*SequenceError)))
	}
	is.True(errors.As(j.SaveSnapshot(snapshot(3, 1)), new(*SequenceError)))
	_, saved := reopen(t, j, dir)
	is.Equal(saved.Entries, entries(4, 5, 1))
}

// Guards against a snapshot that loses the entries after it, and against a snapshot from a
// leader that leaves conflicting entries in the log.
func TestSaveSnapshot(t *testing.T) {
	tests := map[string]struct {
		snapshot *consensus.Snapshot
		kept     []consensus.Entry
	}{
		"own":                     {snapshot(3, 1), entries(4, 5, 1)},
		"own, entire log":         {snapshot(5, 1), nil},
		"from a leader, ahead":    {snapshot(900, 4), nil},
		"from a leader, conflict": {snapshot(3, 2), nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j, dir := newJournal(t)
			out := consensus.Output{Hard: &consensus.HardState{Term: 4}, Entries: entries(1, 5, 1), Snapshot: test.snapshot}
			is.NoErr(j.Persist(out))
			next := entries(j.lastIndex()+1, j.lastIndex()+1, 4)
			is.NoErr(j.Save(nil, next))
			_, saved := reopen(t, j, dir)
			is.Equal(saved.Hard.Term, uint64(4))
			is.Equal(saved.Snapshot, test.snapshot)
			is.Equal(saved.Entries, append(test.kept, next...))
		})
	}
}

// Guards against a restart time that grows with the number of changes.
func TestRestartIsBounded(t *testing.T) {
	is := is.New(t)
	read := func(count uint64) Recovery {
		j, dir := newJournal(t)
		saveEntries(t, j, count)
		j, _ = reopen(t, j, dir)
		return j.Recovery()
	}
	few, many := read(10), read(4*256+10)
	is.Equal(many.Entries, few.Entries)
	is.Equal(many.Records, few.Records)
	is.Equal(read(1000).Entries, 1000-3*256)
}

// Guards against a Save that returns before the record is synced, and against a Save that
// succeeds after a failed sync.
func TestSaveSyncs(t *testing.T) {
	is := is.New(t)
	j, _ := newJournal(t)
	var synced int64
	j.sync = func(f *os.File) error {
		info, err := f.Stat()
		synced = info.Size()
		return err
	}
	is.NoErr(j.Save(nil, entries(1, 1, 1)))
	info, err := j.file.Stat()
	is.NoErr(err)
	is.Equal(synced, info.Size())
	cause := errors.New("disk failure")
	j.sync = func(*os.File) error { return cause }
	is.True(errors.Is(j.Save(nil, entries(2, 2, 1)), cause))
	j.sync = (*os.File).Sync
	is.True(errors.Is(j.Save(nil, entries(2, 2, 1)), cause))
	is.True(errors.Is(j.SaveSnapshot(snapshot(1, 1)), cause))
}

// flipBits inverts bits of one byte. A negative offset counts from the end.
func flipBits(offset int, bits byte) func(b []byte) []byte {
	return func(b []byte) []byte {
		b[(offset+len(b))%len(b)] ^= bits
		return b
	}
}

func truncateBy(size int) func(b []byte) []byte {
	return func(b []byte) []byte { return b[:len(b)-size] }
}

// zeroEnd sets the last bytes of the records to zero, as before they were written.
func zeroEnd(size int) func(b []byte) []byte {
	return func(b []byte) []byte {
		clear(b[recordsEnd(b)-size:])
		return b
	}
}

// recordsEnd returns the offset at which the records of a segment end.
func recordsEnd(b []byte) int { return len(bytes.TrimRight(b, "\x00")) }

// flipBitsInRecords is flipBits for the records of a segment, without the zeros after them.
func flipBitsInRecords(offset int, bits byte) func(b []byte) []byte {
	return func(b []byte) []byte {
		flipBits(offset, bits)(b[:recordsEnd(b)])
		return b
	}
}

func truncateTo(size int) func(b []byte) []byte {
	return func(b []byte) []byte { return b[:size] }
}

func addZeros(b []byte) []byte { return append(b, make([]byte, segmentBlock)...) }
func empty([]byte) []byte      { return []byte{} }
func removed([]byte) []byte    { return nil }

// Guards against a journal that opens with damaged files, and against one that does not
// open after a crash. The journal holds a snapshot at index 256 and 44 entries.
func TestDamage(t *testing.T) {
	const log, snap = "log-257", "snapshot-256"
	b, _ := encode(typeSave, save{Entries: entries(300, 300, 1)})
	last := len(b)
	tests := map[string]struct {
		file   string
		damage func(b []byte) []byte
		want   string // damaged file that Open reports, or "" if the journal must open
		lost   int    // number of lost entries, which Save has not acknowledged
	}{
		"torn in the payload":      {file: log, damage: zeroEnd(20), lost: 1},
		"torn in the header":       {file: log, damage: zeroEnd(last - 3), lost: 1},
		"torn in the length":       {file: log, damage: zeroEnd(last - 1), lost: 1},
		"torn in the checksum":     {file: log, damage: zeroEnd(8), lost: 1},
		"zeros after the end":      {file: log, damage: addZeros},
		"flip in the middle":       {file: log, damage: flipBits(1000, 4), want: log},
		"flip in a length":         {file: log, damage: flipBitsInRecords(-2*last+2, 1), want: log},
		"flip in the last length":  {file: log, damage: flipBitsInRecords(-last+2, 1), want: log},
		"truncated in a record":    {file: log, damage: truncateTo(1000), want: log},
		"truncated after a record": {file: log, damage: func(b []byte) []byte { return b[:recordsEnd(b)-last] }, want: log},
		"truncated in the zeros":   {file: log, damage: truncateBy(1), want: log},
		"empty log":                {file: log, damage: empty, want: log},
		"log missing":              {file: log, damage: removed, want: "log-*"},
		"snapshot truncated":       {file: snap, damage: truncateBy(1), want: snap},
		"snapshot flip":            {file: snap, damage: flipBits(30, 1), want: snap},
		"snapshot missing":         {file: snap, damage: removed, want: snap},
		"identity missing":         {file: identityFile, damage: removed, want: identityFile},
		"identity damaged":         {file: identityFile, damage: truncateBy(5), want: identityFile},
		"identity flip":            {file: identityFile, damage: flipBits(15, 1), want: identityFile},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j, dir := newJournal(t)
			saveEntries(t, j, 300)
			is.NoErr(j.Close())
			path := filepath.Join(dir, test.file)
			b := test.damage(readFiles(t, dir)[test.file])
			is.NoErr(os.Remove(path))
			if b != nil {
				is.NoErr(os.WriteFile(path, b, fileMode))
			}
			j, saved, err := Open(dir)
			if test.want != "" {
				var corrupt *CorruptError
				is.True(errors.As(err, &corrupt))
				is.Equal(corrupt.File, filepath.Join(dir, test.want))
				return
			}
			is.NoErr(err)
			is.Equal(saved.Entries, entries(257, 300-uint64(test.lost), 1))
			is.NoErr(j.Save(nil, entries(j.lastIndex()+1, j.lastIndex()+1, 1)))
			_, saved = reopen(t, j, dir)
			is.Equal(len(saved.Entries), 44-test.lost+1)
		})
	}
}

// Guards against a bit flip in the log that is treated as a torn write, and against a bit
// flip after the end of the log that loses an entry.
func TestEveryBitFlip(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	saveEntries(t, j, 3)
	is.NoErr(j.Close())
	path := filepath.Join(dir, "log-1")
	b, err := os.ReadFile(path)
	is.NoErr(err)
	end := recordsEnd(b)
	for at := range (end + 2*recordOverhead) * 8 {
		b[at/8] ^= 1 << (at % 8)
		is.NoErr(os.WriteFile(path, b, fileMode))
		j, saved, err := Open(dir)
		if err == nil {
			is.NoErr(j.Close())
		}
		if !errors.As(err, new(*CorruptError)) && (at/8 < end || len(saved.Entries) != 3) {
			t.Fatalf("bit %d: %v", at, err)
		}
		b[at/8] ^= 1 << (at % 8)
	}
}

// Guards against a log that cannot grow beyond the current size of its file.
func TestExtendLog(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	want := entries(1, 9, 1)
	for i := range want {
		want[i].Data = bytes.Repeat([]byte("x"), segmentBlock/3)
		is.NoErr(j.Save(nil, want[i:i+1]))
	}
	j, saved := reopen(t, j, dir)
	is.Equal(saved.Entries, want)
	is.NoErr(j.Save(nil, entries(10, 10, 1)))
	_, saved = reopen(t, j, dir)
	is.Equal(len(saved.Entries), 10)
}

// readFiles returns the contents of the files in a directory by name.
func readFiles(t *testing.T, dir string) map[string][]byte {
	files := map[string][]byte{}
	paths, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files[filepath.Base(path)] = b
	}
	return files
}

// Guards against the loss of entries if a crash interrupts SaveSnapshot. Each case holds the
// files that a crash at one point leaves in the directory.
func TestCrashDuringSnapshot(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	is.NoErr(j.Save(&consensus.HardState{Term: 2}, entries(1, 9, 1)))
	before := readFiles(t, dir)
	is.NoErr(j.SaveSnapshot(snapshot(6, 1)))
	after := readFiles(t, dir)
	partial, complete := after["snapshot-6"][:9], after["snapshot-6"]
	for _, crash := range []struct {
		left map[string][]byte
		from uint64
	}{
		{map[string][]byte{"log-1": before["log-1"], "snapshot-6.tmp": partial}, 1},
		{map[string][]byte{"log-1": before["log-1"], "snapshot-6": complete}, 7},
		{map[string][]byte{"log-1": before["log-1"], "snapshot-6": complete, "log-7.tmp": after["log-7"][:9]}, 7},
		{map[string][]byte{"log-1": before["log-1"], "snapshot-6": complete, "log-7": after["log-7"]}, 7},
	} {
		dir := t.TempDir()
		crash.left[identityFile] = after[identityFile]
		for name, b := range crash.left {
			is.NoErr(os.WriteFile(filepath.Join(dir, name), b, fileMode))
		}
		_, saved := reopen(t, nil, dir)
		is.Equal(saved.Hard.Term, uint64(2))
		is.Equal(saved.Entries, entries(crash.from, 9, 1))
		is.True(len(readFiles(t, dir)) <= len(after))
	}
}

// Guards against a member that keeps its identity after its directory was deleted.
func TestDeletedDirectory(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	saveEntries(t, j, 10)
	is.NoErr(j.Close())
	is.NoErr(os.RemoveAll(dir))
	j, saved := reopen(t, nil, dir)
	_, ok := j.Identity()
	is.True(!ok)
	is.Equal(saved, consensus.SavedState{})
	is.True(errors.As(j.Save(nil, entries(1, 1, 1)), new(*IdentityError)))
	first, second := NewIdentity("h1"), NewIdentity("h1")
	is.True(first != second)
}

// Guards against a decoder that panics, or that accepts records which encode cannot write.
func FuzzDecode(f *testing.F) {
	b, _ := encode(typeSave, save{Entries: entries(1, 2, 1)})
	for _, seed := range [][]byte{nil, b, b[:20], append(b[:len(b):len(b)], b...), make([]byte, 64)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, ok := decode(b)
		if !ok {
			isTorn(b)
			if completeChecksum(b) {
				_, ok = decode(b)
			}
			if !ok {
				return
			}
			r, _ = decode(b)
		}
		if r.size > len(b) || len(r.payload)+recordOverhead != r.size {
			t.Fatalf("record of %d bytes in %d", r.size, len(b))
		}
		j := &Journal{}
		_ = j.replay(r, 0)
		_ = j.replay(r, 1)
	})
}

func BenchmarkSave(b *testing.B) {
	j, _ := newJournal(b)
	for i := uint64(1); b.Loop(); i++ {
		if err := j.Save(nil, entries(i, i, 1)); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a vote or an entry that a restarted member relies on and a later loss of power
// takes back: the process had ended between writing and syncing the record.
func TestOpenSyncsTheLastRecord(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	is.NoErr(j.Save(nil, entries(1, 1, 1)))
	j.sync = func(*os.File) error { return nil } // the process ends before the sync
	is.NoErr(j.Save(&consensus.HardState{Term: 2, Vote: "h2/b"}, entries(2, 2, 2)))
	is.NoErr(j.Close())
	synced := map[string]bool{}
	j, saved, err := (&Disk{sync: func(f *os.File) error {
		synced[filepath.Base(f.Name())] = true
		return f.Sync()
	}}).Open(dir)
	is.NoErr(err)
	is.Equal(saved.Hard, consensus.HardState{Term: 2, Vote: "h2/b"})
	is.True(synced[segmentName(0)])

	cause := errors.New("disk failure")
	is.NoErr(j.Close())
	_, _, err = (&Disk{sync: func(*os.File) error { return cause }}).Open(dir)
	is.True(errors.Is(err, cause)) // it is not relied on unless it is synced
}
