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

// blank opens a new journal with an identity.
func blank(t testing.TB) (*Journal, string) {
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

// fill saves entries one by one, with a snapshot every 256 as the control
// replica takes them.
func fill(t testing.TB, j *Journal, count uint64) {
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

// Guards against state that is lost, or replaced entries that come back, over a
// restart.
func TestRestart(t *testing.T) {
	is := is.New(t)
	j, dir := blank(t)
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
	is.True(errors.As(err, new(*LockedError))) // a second process could vote twice
}

// Guards against a write that the log could not be replayed from.
func TestSequence(t *testing.T) {
	is := is.New(t)
	j, dir := blank(t)
	is.NoErr(j.Save(nil, entries(1, 5, 1)))
	is.NoErr(j.SaveSnapshot(snapshot(3, 1)))
	for _, list := range [][]consensus.Entry{entries(7, 8, 1), entries(3, 4, 1), append(entries(6, 6, 1), entries(8, 8, 1)...)} {
		is.True(errors.As(j.Save(nil, list), new(*SequenceError)))
	}
	is.True(errors.As(j.SaveSnapshot(snapshot(3, 1)), new(*SequenceError)))
	_, saved := reopen(t, j, dir)
	is.Equal(saved.Entries, entries(4, 5, 1))
}

// Guards against a snapshot that loses the entries after it, and against one
// from a leader that leaves entries which contradict it.
func TestSaveSnapshot(t *testing.T) {
	tests := map[string]struct {
		snapshot *consensus.Snapshot
		kept     []consensus.Entry
	}{
		"own":                     {snapshot(3, 1), entries(4, 5, 1)},
		"own, whole log":          {snapshot(5, 1), nil},
		"from a leader, ahead":    {snapshot(900, 4), nil},
		"from a leader, conflict": {snapshot(3, 2), nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j, dir := blank(t)
			out := consensus.Output{Hard: &consensus.HardState{Term: 4}, Entries: entries(1, 5, 1), Snapshot: test.snapshot}
			is.NoErr(j.Persist(out))
			next := entries(j.last()+1, j.last()+1, 4)
			is.NoErr(j.Save(nil, next))
			_, saved := reopen(t, j, dir)
			is.Equal(saved.Hard.Term, uint64(4))
			is.Equal(saved.Snapshot, test.snapshot)
			is.Equal(saved.Entries, append(test.kept, next...))
		})
	}
}

// Guards against a restart that takes longer the more changes there were.
func TestRestartIsBounded(t *testing.T) {
	is := is.New(t)
	read := func(count uint64) Recovery {
		j, dir := blank(t)
		fill(t, j, count)
		j, _ = reopen(t, j, dir)
		return j.Recovery()
	}
	few, many := read(10), read(4*256+10)
	is.Equal(many.Entries, few.Entries)
	is.Equal(many.Records, few.Records)
	is.Equal(read(1000).Entries, 1000-3*256)
}

// Guards against a promise before the sync: when Save returns, the record was
// in the file before the last sync, and a failed sync fails this and every
// later Save.
func TestSaveSyncs(t *testing.T) {
	is := is.New(t)
	j, _ := blank(t)
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

// flip inverts bits of one byte, counted from the end if at is negative.
func flip(at int, bits byte) func(b []byte) []byte {
	return func(b []byte) []byte {
		b[(at+len(b))%len(b)] ^= bits
		return b
	}
}

func cut(size int) func(b []byte) []byte {
	return func(b []byte) []byte { return b[:len(b)-size] }
}

// unwritten leaves the last bytes of the records as they were before they were written.
func unwritten(size int) func(b []byte) []byte {
	return func(b []byte) []byte {
		clear(b[written(b)-size:])
		return b
	}
}

// written returns where the records of a segment end.
func written(b []byte) int { return len(bytes.TrimRight(b, "\x00")) }

// flipWritten is flip within the records of a segment.
func flipWritten(at int, bits byte) func(b []byte) []byte {
	return func(b []byte) []byte {
		flip(at, bits)(b[:written(b)])
		return b
	}
}

func cutTo(size int) func(b []byte) []byte {
	return func(b []byte) []byte { return b[:size] }
}

func addZeros(b []byte) []byte { return append(b, make([]byte, block)...) }
func empty([]byte) []byte      { return []byte{} }
func removed([]byte) []byte    { return nil }

// Guards against a start with damaged files, and against a refusal to start
// after a mere crash. The journal holds a snapshot at 256 and 44 entries.
func TestDamage(t *testing.T) {
	const log, snap = "log-257", "snapshot-256"
	b, _ := encode(typeSave, save{Entries: entries(300, 300, 1)})
	last := len(b)
	tests := map[string]struct {
		file   string
		damage func(b []byte) []byte
		want   string // damaged file, or "" if the journal must open
		lost   int    // unacknowledged entries
	}{
		"torn in the payload":     {file: log, damage: unwritten(20), lost: 1},
		"torn in the head":        {file: log, damage: unwritten(last - 3), lost: 1},
		"torn in the length":      {file: log, damage: unwritten(last - 1), lost: 1},
		"torn in the checksum":    {file: log, damage: unwritten(8), lost: 1},
		"zeros after the end":     {file: log, damage: addZeros},
		"flip in the middle":      {file: log, damage: flip(1000, 4), want: log},
		"flip in a length":        {file: log, damage: flipWritten(-2*last+2, 1), want: log},
		"flip in the last length": {file: log, damage: flipWritten(-last+2, 1), want: log},
		"cut off in a record":     {file: log, damage: cutTo(1000), want: log},
		"cut off after a record":  {file: log, damage: func(b []byte) []byte { return b[:written(b)-last] }, want: log},
		"cut off in the zeros":    {file: log, damage: cut(1), want: log},
		"empty log":               {file: log, damage: empty, want: log},
		"log missing":             {file: log, damage: removed, want: "log-*"},
		"snapshot truncated":      {file: snap, damage: cut(1), want: snap},
		"snapshot flip":           {file: snap, damage: flip(30, 1), want: snap},
		"snapshot missing":        {file: snap, damage: removed, want: snap},
		"identity missing":        {file: identityFile, damage: removed, want: identityFile},
		"identity damaged":        {file: identityFile, damage: cut(5), want: identityFile},
		"identity flip":           {file: identityFile, damage: flip(15, 1), want: identityFile},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j, dir := blank(t)
			fill(t, j, 300)
			is.NoErr(j.Close())
			path := filepath.Join(dir, test.file)
			b := test.damage(contents(t, dir)[test.file])
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
			is.NoErr(j.Save(nil, entries(j.last()+1, j.last()+1, 1)))
			_, saved = reopen(t, j, dir)
			is.Equal(len(saved.Entries), 44-test.lost+1)
		})
	}
}

// Guards against a bit flip anywhere in the log that is taken for a torn write, and
// against one after its end that costs an entry.
func TestEveryFlip(t *testing.T) {
	is := is.New(t)
	j, dir := blank(t)
	fill(t, j, 3)
	is.NoErr(j.Close())
	path := filepath.Join(dir, "log-1")
	b, err := os.ReadFile(path)
	is.NoErr(err)
	end := written(b)
	for at := range (end + 2*overhead) * 8 {
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

// Guards against a log that does not grow beyond the size of its file.
func TestExtend(t *testing.T) {
	is := is.New(t)
	j, dir := blank(t)
	want := entries(1, 9, 1)
	for i := range want {
		want[i].Data = bytes.Repeat([]byte("x"), block/3)
		is.NoErr(j.Save(nil, want[i:i+1]))
	}
	j, saved := reopen(t, j, dir)
	is.Equal(saved.Entries, want)
	is.NoErr(j.Save(nil, entries(10, 10, 1)))
	_, saved = reopen(t, j, dir)
	is.Equal(len(saved.Entries), 10)
}

// contents reads the files of a folder.
func contents(t *testing.T, dir string) map[string][]byte {
	found := map[string][]byte{}
	paths, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		found[filepath.Base(path)] = b
	}
	return found
}

// Guards against a loss of entries at any point of SaveSnapshot where a crash
// can occur. Each case is the folder as the crash leaves it.
func TestCrashDuringSnapshot(t *testing.T) {
	is := is.New(t)
	j, dir := blank(t)
	is.NoErr(j.Save(&consensus.HardState{Term: 2}, entries(1, 9, 1)))
	before := contents(t, dir)
	is.NoErr(j.SaveSnapshot(snapshot(6, 1)))
	after := contents(t, dir)
	part, whole := after["snapshot-6"][:9], after["snapshot-6"]
	for _, crash := range []struct {
		left map[string][]byte
		from uint64
	}{
		{map[string][]byte{"log-1": before["log-1"], "snapshot-6.tmp": part}, 1},
		{map[string][]byte{"log-1": before["log-1"], "snapshot-6": whole}, 7},
		{map[string][]byte{"log-1": before["log-1"], "snapshot-6": whole, "log-7.tmp": after["log-7"][:9]}, 7},
		{map[string][]byte{"log-1": before["log-1"], "snapshot-6": whole, "log-7": after["log-7"]}, 7},
	} {
		dir := t.TempDir()
		crash.left[identityFile] = after[identityFile]
		for name, b := range crash.left {
			is.NoErr(os.WriteFile(filepath.Join(dir, name), b, fileMode))
		}
		_, saved := reopen(t, nil, dir)
		is.Equal(saved.Hard.Term, uint64(2))
		is.Equal(saved.Entries, entries(crash.from, 9, 1))
		is.True(len(contents(t, dir)) <= len(after))
	}
}

// Guards against a member that keeps its identity after its folder was deleted.
func TestDeletedFolder(t *testing.T) {
	is := is.New(t)
	j, dir := blank(t)
	fill(t, j, 10)
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

// Guards against a decoder that panics, or accepts what encode does not write.
func FuzzDecode(f *testing.F) {
	b, _ := encode(typeSave, save{Entries: entries(1, 2, 1)})
	for _, seed := range [][]byte{nil, b, b[:20], append(b[:len(b):len(b)], b...), make([]byte, 64)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, ok := decode(b)
		if !ok {
			torn(b)
			if mend(b) {
				_, ok = decode(b)
			}
			if !ok {
				return
			}
			r, _ = decode(b)
		}
		if r.size > len(b) || len(r.payload)+overhead != r.size {
			t.Fatalf("record of %d bytes in %d", r.size, len(b))
		}
		j := &Journal{}
		_ = j.replay(r, 0)
		_ = j.replay(r, 1)
	})
}

func BenchmarkSave(b *testing.B) {
	j, _ := blank(b)
	for i := uint64(1); b.Loop(); i++ {
		if err := j.Save(nil, entries(i, i, 1)); err != nil {
			b.Fatal(err)
		}
	}
}
