package grant

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/control"
)

// sharedState is a control state to which the managers of several hosts propose.
type sharedState struct {
	mu    sync.Mutex // the managers propose in the background
	state control.State
	index uint64
	clock *clockwork.FakeClock
	fail  bool
}

func (s *sharedState) propose(_ context.Context, c control.Command) (control.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return control.Result{}, errors.New("no quorum")
	}
	s.index++
	c.At = s.clock.Now()
	return s.state.Apply(s.index, c), nil
}

func (s *sharedState) manager(host string) *Manager {
	return &Manager{
		Host: host, Clock: s.clock, Log: zerolog.Nop(), Propose: s.propose, Spawn: func(f func()) {
			// Manager calls Spawn with its lock held, so f must not run synchronously.
			go f()
		},
	}
}

func newSharedState() *sharedState { return &sharedState{clock: clockwork.NewFakeClock()} }

// acquire makes the manager request a grant, waits for the result and reports whether it is
// granted.
func acquire(m *Manager, v *control.View, t *control.Target) bool {
	m.Granted(v, t)
	awaitResult(m, t)
	return m.Granted(v, t)
}

// awaitResult waits until the manager has no request for a grant in progress.
func awaitResult(m *Manager, t *control.Target) {
	for range 1000 {
		m.mu.Lock()
		requesting := m.grants[AllowanceName(t)] != nil && m.grants[AllowanceName(t)].requesting
		m.mu.Unlock()
		if !requesting {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against several hosts that each use the complete cold limit of a target.
func TestOneHostHoldsTheGrant(t *testing.T) {
	is := is.New(t)
	s := newSharedState()
	target := &control.Target{Name: "t", Incarnation: "i", Service: "desk", State: control.Cold, ColdLimit: 2}
	one, two := s.manager("h1"), s.manager("h2")
	v := &control.View{}
	is.Equal(acquire(one, v, target), true)
	is.Equal(acquire(two, v, target), false)

	first, ok := one.Reserve(target)
	is.True(ok)
	_, ok = one.Reserve(target)
	is.True(ok)
	_, ok = one.Reserve(target)
	is.Equal(ok, false) // two sub-requests at a time
	first()
	first() // a second release has no effect
	_, ok = one.Reserve(target)
	is.True(ok)
	_, ok = one.Reserve(target)
	is.Equal(ok, false)
}

// Guards against work under a grant that another host may already hold: a grant that
// cannot be renewed must not be used in its last seconds.
func TestUnrenewedGrantEndsLocallyFirst(t *testing.T) {
	is := is.New(t)
	s := newSharedState()
	target := &control.Target{Name: "t", Incarnation: "i", State: control.Cold, ColdLimit: 1}
	one, two := s.manager("h1"), s.manager("h2")
	v := &control.View{}
	is.True(acquire(one, v, target))
	s.fail = true
	s.clock.Advance(grantDuration - minRemaining)
	is.Equal(acquire(one, v, target), false)
	s.fail = false
	is.Equal(acquire(two, v, target), false) // still granted to h1 in the control state
	s.clock.Advance(minRemaining + control.GrantMargin + time.Second)
	is.Equal(acquire(two, v, target), true)
	_, ok := one.Reserve(target)
	is.Equal(ok, false)
}

// Guards against an idle host that holds an allowance while other hosts need it.
func TestIdleGrantIsReleased(t *testing.T) {
	is := is.New(t)
	s := newSharedState()
	target := &control.Target{Name: "t", Incarnation: "i", State: control.Cold, ColdLimit: 1}
	one, two := s.manager("h1"), s.manager("h2")
	one.Spawn = func(f func()) { go f() }
	v := &control.View{}
	is.True(acquire(one, v, target))
	s.clock.Advance(idleTimeout)
	released := make(chan struct{})
	one.Spawn = func(f func()) { go func() { f(); close(released) }() }
	one.Sweep()
	<-released
	is.Equal(acquire(two, v, target), true)
}

// Guards against a cold target that gets no work for as long as a host that prefers other
// targets renews the grant for it.
func TestGrantThatIsWantedButNotUsedPassesOn(t *testing.T) {
	is := is.New(t)
	s := newSharedState()
	target := &control.Target{Name: "t", Incarnation: "i", State: control.Cold, ColdLimit: 1}
	idle, busy := s.manager("h1"), s.manager("h2")
	v := &control.View{}
	is.True(acquire(idle, v, target))
	const step = 50 * time.Millisecond
	used := 0
	for at := time.Duration(0); at < 4*grantDuration; at += step {
		s.clock.Advance(step)
		idle.Granted(v, target)
		if busy.Granted(v, target) {
			release, ok := busy.Reserve(target)
			is.True(ok)
			release()
			used++
		}
		awaitResult(idle, target)
		awaitResult(busy, target)
		if at%time.Second == 0 {
			idle.Sweep()
			busy.Sweep()
			time.Sleep(5 * time.Millisecond) // a release runs in the background
		}
	}
	is.True(used > int(2*grantDuration/step)) // for half of the time or more
}

// Guards against a lower cold limit that a host with a grant ignores, and a higher one that it
// asks for only after it was idle.
func TestChangedColdLimit(t *testing.T) {
	is := is.New(t)
	s := newSharedState()
	target := &control.Target{Name: "t", Incarnation: "i", State: control.Cold, ColdLimit: 2}
	m, v := s.manager("h1"), &control.View{}
	is.True(acquire(m, v, target))
	lower := *target
	lower.ColdLimit = 1
	m.Granted(v, &lower)
	_, ok := m.Reserve(&lower)
	is.True(ok)
	_, ok = m.Reserve(&lower)
	is.Equal(ok, false)
	higher := *target
	higher.ColdLimit = 3
	s.clock.Advance(grantDuration / 2) // the next use renews the grant
	acquire(m, v, &higher)
	_, ok = m.Reserve(&higher)
	is.True(ok)
	_, ok = m.Reserve(&higher)
	is.True(ok)
}
