package node

import (
	"context"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/consensus"
	"wasabirelay/journal"
)

// Guards against a control host that fails at every start because its control state is
// damaged, against one that continues under its old identity, and against old directories that
// fill the disk.
func TestDamagedState(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	clock := clockwork.NewFakeClock()
	identities := map[string]bool{}
	for range 3 {
		c := controlHost(clock, Settings{Peer: netip.MustParseAddrPort("10.0.0.1:1"), DataDir: dir})
		is.NoErr(c.prepare())
		id, ok, err := journal.ReadIdentity(dir)
		is.NoErr(err)
		is.True(ok)
		is.True(!identities[id.Incarnation])
		identities[id.Incarnation] = true
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		is.NoErr(c.replica.Run(ended)) // closes the data directory
		writeDamagedLog(t, dir)
		clock.Advance(time.Second)
	}
	damagedLogs, err := filepath.Glob(filepath.Join(dir, damagedPrefix+"*", "log-1"))
	is.NoErr(err)
	is.Equal(len(damagedLogs), 1)
}

// writeDamagedLog leaves a log in dir that has an entry but no bootstrap members.
func writeDamagedLog(t *testing.T, dir string) {
	t.Helper()
	is := is.New(t)
	j, _, err := journal.Open(dir)
	is.NoErr(err)
	is.NoErr(j.Save(&consensus.HardState{Term: 1}, []consensus.Entry{{Index: 1, Term: 1, Data: []byte("lost")}}))
	is.NoErr(j.Close())
}
