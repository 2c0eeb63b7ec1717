package journal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/consensus"
)

// Guards against a record whose sync has failed and that is read back as durable, and against a
// journal that is opened again before the disk takes data.
func TestDiscardAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	is.NoErr(j.Save(&consensus.HardState{Term: 1}, entries(1, 2, 1)))
	cause := errors.New("disk failure")
	sync := j.sync
	j.sync = func(*os.File) error { return cause }
	is.True(errors.Is(j.Save(&consensus.HardState{Term: 2, Vote: "h2/b"}, entries(3, 3, 2)), cause))
	is.True(errors.Is(j.Discard(), cause))
	j.sync = sync
	is.True(errors.Is(j.Save(nil, entries(3, 3, 2)), cause)) // not before it is opened again
	is.NoErr(j.Discard())
	j, saved := reopen(t, j, dir)
	is.Equal(saved.Hard, consensus.HardState{Term: 1})
	is.Equal(len(saved.Entries), 2)
	is.NoErr(j.Save(nil, entries(3, 3, 1)))
}

// Guards against lost entries if the disk is full at any write of a series of saves and snapshots.
func TestFullDiskAtEachWrite(t *testing.T) {
	cause := errors.New("no space left on device")
	for failing := range 40 {
		is := is.New(t)
		dir := filepath.Join(t.TempDir(), "data")
		writes, full := 0, false
		disk := &Disk{Fault: func() error {
			if writes++; writes == failing {
				full = true
			}
			if full {
				return cause
			}
			return nil
		}}
		var j *Journal
		next := uint64(1)
		for next <= 12 {
			if j == nil {
				opened, saved, err := disk.Open(dir)
				if err != nil {
					is.True(errors.Is(err, cause))
					full = false
					continue
				}
				j = opened
				last := uint64(0)
				if saved.Snapshot != nil {
					last = saved.Snapshot.Index
				}
				is.True(last+uint64(len(saved.Entries))+1 >= next) // nothing that was saved is lost
				next = last + uint64(len(saved.Entries)) + 1
			}
			err := func() error {
				if _, ok := j.Identity(); !ok {
					if err := j.WriteIdentity(member); err != nil {
						return err
					}
				}
				if err := j.Save(&consensus.HardState{Term: 1}, entries(next, next, 1)); err != nil {
					return err
				}
				next++
				if (next-1)%4 == 0 {
					return j.SaveSnapshot(snapshot(next-1, 1))
				}
				return nil
			}()
			if err != nil {
				is.True(errors.Is(err, cause))
				is.True(j.Discard() != nil)
				full = false
				is.NoErr(j.Discard())
				is.NoErr(j.Close())
				j = nil
			}
		}
		if j != nil {
			is.NoErr(j.Close())
		}
	}
}

// Guards against a loss of power that takes back the newest snapshot after the one before it was
// removed: the process had ended before it synced the directory.
func TestOlderFilesStayUntilTheNewestAreDurable(t *testing.T) {
	is := is.New(t)
	j, dir := newJournal(t)
	is.NoErr(j.Save(&consensus.HardState{Term: 1}, entries(1, 4, 1)))
	is.NoErr(j.SaveSnapshot(snapshot(2, 1)))
	cause, directorySyncs := errors.New("killed"), 0
	j.sync = func(f *os.File) error {
		if f != j.directory {
			return f.Sync()
		}
		if directorySyncs++; directorySyncs == 2 { // after the rename of the new segment
			return cause
		}
		return f.Sync()
	}
	is.True(errors.Is(j.SaveSnapshot(snapshot(4, 1)), cause))
	is.NoErr(j.Close())
	older, syncs := filepath.Join(dir, snapshotName(2)), 0
	j, saved, err := (&Disk{sync: func(f *os.File) error {
		if f.Name() == dir {
			syncs++
			_, err := os.Stat(older)
			is.NoErr(err)
		}
		return f.Sync()
	}}).Open(dir)
	is.NoErr(err)
	is.Equal(saved.Snapshot.Index, uint64(4))
	is.Equal(syncs, 1)
	_, err = os.Stat(older)
	is.True(os.IsNotExist(err))
	is.NoErr(j.Close())
}
