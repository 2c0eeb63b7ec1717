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

// shared is a control state that keepers of several hosts propose to.
type shared struct {
	state control.State
	index uint64
	clock *clockwork.FakeClock
	fail  bool
}

func (s *shared) propose(_ context.Context, c control.Command) (control.Result, error) {
	if s.fail {
		return control.Result{}, errors.New("no quorum")
	}
	s.index++
	c.At = s.clock.Now()
	return s.state.Apply(s.index, c), nil
}

func (s *shared) keeper(host string) *Manager {
	return &Manager{
		Host: host, Clock: s.clock, Log: zerolog.Nop(), Propose: s.propose, Spawn: func(f func()) {
			// Manager spawns with its lock held; the proposal runs after it.
			go f()
		},
	}
}

func newShared() *shared { return &shared{clock: clockwork.NewFakeClock()} }

// asked lets the keeper ask and waits for the result.
func asked(k *Manager, v *control.View, t *control.Target) bool {
	k.Granted(v, t)
	for range 1000 {
		k.mu.Lock()
		asking := k.held[AllowanceName(t)] != nil && k.held[AllowanceName(t)].asking
		k.mu.Unlock()
		if !asking {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return k.Granted(v, t)
}

// Guards against several hosts that each send a cold target all that it bears.
func TestOneHostHoldsTheGrant(t *testing.T) {
	is := is.New(t)
	s := newShared()
	target := &control.Target{Name: "t", Incarnation: "i", Service: "desk", State: control.Cold, ColdLimit: 2}
	one, two := s.keeper("h1"), s.keeper("h2")
	v := &control.View{}
	is.Equal(asked(one, v, target), true)
	is.Equal(asked(two, v, target), false)

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

// Guards against work under a grant that another host may hold already: a grant
// that can't be renewed is not used in its last seconds.
func TestGrantThatIsNotRenewedEndsHereFirst(t *testing.T) {
	is := is.New(t)
	s := newShared()
	target := &control.Target{Name: "t", Incarnation: "i", State: control.Cold, ColdLimit: 1}
	one, two := s.keeper("h1"), s.keeper("h2")
	v := &control.View{}
	is.True(asked(one, v, target))
	s.fail = true
	s.clock.Advance(term - reserve)
	is.Equal(asked(one, v, target), false)
	s.fail = false
	is.Equal(asked(two, v, target), false) // still granted to h1 in the control state
	s.clock.Advance(reserve + control.GrantMargin + time.Second)
	is.Equal(asked(two, v, target), true)
	_, ok := one.Reserve(target)
	is.Equal(ok, false)
}

// Guards against an allowance that an idle host keeps from the others.
func TestIdleGrantIsReleased(t *testing.T) {
	is := is.New(t)
	s := newShared()
	target := &control.Target{Name: "t", Incarnation: "i", State: control.Cold, ColdLimit: 1}
	one, two := s.keeper("h1"), s.keeper("h2")
	one.Spawn = func(f func()) { go f() }
	v := &control.View{}
	is.True(asked(one, v, target))
	s.clock.Advance(idle)
	released := make(chan struct{})
	one.Spawn = func(f func()) { go func() { f(); close(released) }() }
	one.Sweep()
	<-released
	is.Equal(asked(two, v, target), true)
}
