// Package grant manages the grants of this host: its shares of allowances that are
// divided between all hosts, such as the cold limit of a target.
package grant

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/control"
)

const (
	// grantDuration is the length of a grant. A failed holder blocks its share for this long.
	grantDuration = 5 * time.Second
	// minRemaining is the time that a grant must still last when work starts under it, so
	// that the work ends before another host can be granted the same share.
	minRemaining = 2 * time.Second
	// retryDelay is the minimum time between the end of a request and the next one.
	retryDelay = 250 * time.Millisecond
	// idleTimeout is the time after which an unused grant is released, also while it is wanted:
	// a host that prefers other targets would renew it for as long as it has requests, and a host
	// that would use it never gets it. The grant is not requested again for the same time.
	idleTimeout = time.Second
)

// Manager acquires, uses and releases grants. The caller sets the exported fields
// before use. It is safe for concurrent use.
type Manager struct {
	Host    string
	Clock   clockwork.Clock
	Log     zerolog.Logger
	Propose func(ctx context.Context, c control.Command) (control.Result, error)
	// Spawn runs f in the background; if it is nil, f runs in a new goroutine. Spawn must
	// not wait for f, because f acquires the lock that the Manager holds during the call.
	Spawn func(f func())

	mu     sync.Mutex
	grants map[string]*grantState
}

type grantState struct {
	limit, amount, used int
	expiry, lastWanted  time.Time
	// lastUsed is when work last started under the grant or, if it came later, when it was granted.
	lastUsed    time.Time
	nextRequest time.Time
	requesting  bool
	// index is the log index of the grant. A release contains it, so that a delayed
	// release does not end a later grant.
	index uint64
}

// AllowanceName returns the name of the allowance of a cold target, which is specific to
// its incarnation.
func AllowanceName(t *control.Target) string { return "cold/" + t.Name + "/" + t.Incarnation }

// Granted reports whether work may start on the cold target now. If this host holds
// no grant, or one that ends soon, it requests one in the background.
func (m *Manager) Granted(v *control.View, t *control.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.ensure(t, coldLimit(v, t))
	return m.available(g)
}

// Reserve reserves one unit of the grant for a sub-request. ok is false if none is
// available; release returns the unit.
func (m *Manager) Reserve(t *control.Target) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.grants[AllowanceName(t)]
	if g == nil || !m.available(g) {
		return nil, false
	}
	g.used++
	g.lastUsed = m.Clock.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			m.mu.Lock()
			g.used--
			m.mu.Unlock()
		})
	}, true
}

func coldLimit(v *control.View, t *control.Target) int {
	if t.ColdLimit > 0 {
		return t.ColdLimit
	}
	if v.Inventory != nil {
		if s, ok := v.Inventory.Services[t.Service]; ok {
			return s.ColdLimit
		}
	}
	return 1
}

func (m *Manager) available(g *grantState) bool {
	return g.used < min(g.amount, g.limit) && g.expiry.Sub(m.Clock.Now()) > minRemaining
}

// ensure records that the grant is wanted, and requests or renews the grant if necessary.
func (m *Manager) ensure(t *control.Target, limit int) *grantState {
	if m.grants == nil {
		m.grants = map[string]*grantState{}
	}
	name, now := AllowanceName(t), m.Clock.Now()
	g := m.grants[name]
	if g == nil {
		g = &grantState{}
		m.grants[name] = g
	}
	g.limit, g.lastWanted = limit, now
	if !g.requesting && !now.Before(g.nextRequest) && g.expiry.Sub(now) < grantDuration/2+minRemaining/2 {
		g.requesting = true
		m.spawn(func() { m.acquire(name, g, limit) })
	}
	return g
}

func (m *Manager) spawn(f func()) {
	if m.Spawn != nil {
		m.Spawn(f)
		return
	}
	go f()
}

// acquire proposes the grant. The grant is measured from the send time, so that it ends
// on this host before it ends in the control state.
func (m *Manager) acquire(name string, g *grantState, limit int) {
	sent := m.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), grantDuration)
	defer cancel()
	result, err := m.Propose(ctx, control.Command{Grant: &control.AcquireGrant{
		Name: name, Limit: limit, Amount: limit, Holder: m.Host, Term: grantDuration,
	}})
	m.mu.Lock()
	defer m.mu.Unlock()
	g.requesting = false
	g.nextRequest = m.Clock.Now().Add(retryDelay)
	if err != nil {
		m.Log.Debug().Err(err).Str("grant", name).Msg("failed to acquire the grant")
		return
	}
	if result.Refusal == nil && result.Granted > 0 {
		if g.amount == 0 {
			g.lastUsed = m.Clock.Now()
		}
		g.amount, g.expiry, g.index = result.Granted, sent.Add(grantDuration), result.Index
	}
}

// Sweep releases the grants under which no work has started for idleTimeout, and forgets those
// that are not wanted. The caller calls it periodically.
func (m *Manager) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	for name, g := range m.grants {
		if g.used > 0 || g.requesting {
			continue
		}
		unwanted := now.Sub(g.lastWanted) >= idleTimeout
		if !unwanted && (g.amount == 0 || now.Sub(g.lastUsed) < idleTimeout) {
			continue
		}
		if g.amount > 0 && g.expiry.After(now) {
			index := g.index
			m.spawn(func() { m.release(name, index) })
		}
		g.amount, g.expiry, g.nextRequest = 0, time.Time{}, now.Add(idleTimeout)
		if unwanted {
			delete(m.grants, name)
		}
	}
}

func (m *Manager) release(name string, index uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), grantDuration)
	defer cancel()
	_, err := m.Propose(ctx, control.Command{Release: &control.ReleaseGrant{Name: name, Holder: m.Host, Index: index}})
	if err != nil {
		m.Log.Debug().Err(err).Str("grant", name).Msg("failed to release the grant; it will expire")
	}
}
