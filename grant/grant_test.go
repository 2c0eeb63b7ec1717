package grant

import (
	"context"
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
	state control.State
	index uint64
	clock *clockwork.FakeClock
	fail  bool
}

func (s *sharedState) propose(_ context.Context, c control.Command) (control.Result, error) {
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
	for range 1000 {
		m.mu.Lock()
		requesting := m.grants[AllowanceName(t)] != nil && m.grants[AllowanceName(t)].requesting
		m.mu.Unlock()
		if !requesting {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return m.Granted(v, t)
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
