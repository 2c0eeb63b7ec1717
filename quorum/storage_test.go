package quorum

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/journal"
	"wasabirelay/peer"
)

// diskGroup is a group of three replicas that run in this process, with disks that can be full.
type diskGroup struct {
	t        *testing.T
	replicas [3]*Replica
	full     [3]atomic.Bool
	ended    chan error
	version  uint64
}

func newDiskGroup(t *testing.T, faultAfter func(i int) func() error) *diskGroup {
	t.Helper()
	g := &diskGroup{t: t, ended: make(chan error, 3)}
	ctx, cancel := context.WithCancel(t.Context())
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := (&peer.Server{Address: netip.MustParseAddrPort("127.0.0.1:0")}).Listen(ctx)
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
	}
	for i := range g.replicas {
		peers := &Peers{Self: fmt.Sprintf("h%d", i)}
		for k, l := range listeners {
			peers.Set(fmt.Sprintf("h%d", k), netip.MustParseAddrPort(l.Addr().String()))
		}
		fault := func() error {
			if g.full[i].Load() {
				return syscall.ENOSPC
			}
			return nil
		}
		if faultAfter != nil {
			fault = faultAfter(i)
		}
		r := &Replica{
			Host: peers.Self, Dir: t.TempDir(), Disk: journal.Disk{Fault: fault}, Peers: peers, NoLease: true, MinVoters: 3,
			Clock: clockwork.NewRealClock(), Rand: rand.New(rand.NewPCG(uint64(i), 7)), Log: zerolog.Nop(),
		}
		if err := r.Open(); err != nil {
			t.Fatal(err)
		}
		g.replicas[i] = r
		go func() { _ = (&peer.Server{Handlers: r.Handlers(), Log: zerolog.Nop()}).Run(ctx, listeners[i]) }()
		go func() { g.ended <- r.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range g.replicas {
			if err := <-g.ended; err != nil {
				t.Error(err)
			}
		}
	})
	return g
}

// commit commits a new routing document through any replica, within the time. It reports whether
// that succeeded.
func (g *diskGroup) commit(within time.Duration) bool {
	g.version++
	command := control.Command{Routing: &control.ApplyRouting{Version: g.version, Source: []byte("{}")}}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		for _, r := range g.replicas {
			ctx, cancel := context.WithTimeout(g.t.Context(), 400*time.Millisecond)
			_, err := r.Commit(ctx, command)
			cancel()
			if err == nil {
				return true
			}
		}
	}
	return false
}

// awaitLeader waits until the replica can read through the leader. It returns the last error if it can't within the time.
func (g *diskGroup) awaitLeader(r *Replica, within time.Duration) (err error) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, err = r.Read(g.t.Context()); err == nil {
			return nil
		}
	}
	return err
}

func (g *diskGroup) read() (uint64, error) {
	var last error
	for range 20 {
		for _, r := range g.replicas {
			state, err := r.Read(g.t.Context())
			if err == nil {
				return state.Routing.Version, nil
			}
			last = err
		}
	}
	return 0, last
}

// leader returns the index of the leader, or -1.
func (g *diskGroup) leader() int {
	for i := range g.replicas {
		if s, err := g.status(i); err == nil && s.Leader {
			return i
		}
	}
	return -1
}

func (g *diskGroup) status(i int) (LocalStatus, error) {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	return g.replicas[i].LocalStatus(ctx)
}

// awaitVoter waits until a replica takes part in the group.
func (g *diskGroup) awaitVoter(i int) {
	g.t.Helper()
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		s, err := g.status(i)
		if err == nil && !s.DiskFailing && s.Voter && s.Applied > 0 {
			return
		}
		if time.Now().After(deadline) {
			g.t.Fatalf("replica %d takes no part again: %+v %v", i, s, err)
		}
	}
}

// Guards against a control host that ends or leads on while its disk is full, and against changes
// that are refused after the disks of all hosts were full one after another.
func TestDisksFullInTurn(t *testing.T) {
	is := is.New(t)
	g := newDiskGroup(t, nil)
	is.True(g.commit(10 * time.Second))
	for range 2 {
		for i := range g.replicas {
			led := g.leader() == i
			g.full[i].Store(true)
			is.True(g.commit(5 * time.Second)) // the others go on
			is.True(!led || g.leader() != i)
			g.full[i].Store(false)
			g.awaitVoter(i)
		}
	}
	is.True(g.commit(2 * time.Second))
	version, err := g.read()
	is.NoErr(err)
	is.Equal(version, g.version)
}

// Guards against acknowledged changes that are lost, or a group that stops, if writes of any
// replica fail at any moment; snapshots and identities are written meanwhile.
func TestFailingWritesLoseNothing(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			var active atomic.Bool
			g := newDiskGroup(t, func(i int) func() error {
				random, left := rand.New(rand.NewPCG(seed, uint64(i))), 0
				return func() error { // called on the control goroutine of the replica
					switch {
					case !active.Load():
						return nil
					case left > 0:
						left--
						return syscall.ENOSPC
					case random.IntN(40) == 0:
						left = random.IntN(3)
						return syscall.EIO
					}
					return nil
				}
			})
			is.True(g.commit(10 * time.Second))
			active.Store(true)
			acknowledged := uint64(0)
			for range 60 {
				if g.commit(time.Second) {
					acknowledged = g.version
				}
			}
			active.Store(false)
			is.True(acknowledged > 0)
			is.True(g.commit(5 * time.Second))
			version, err := g.read()
			is.NoErr(err)
			is.Equal(version, g.version)
			for i := range g.replicas {
				g.awaitVoter(i)
			}
		})
	}
}
