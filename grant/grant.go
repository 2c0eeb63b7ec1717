// Package grant holds this host's grants: parts of allowances that all hosts
// share, such as the work that a cold target bears.
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
	// term is the length of a grant. A failed holder blocks its part this long.
	term = 5 * time.Second
	// minRemaining is the time that a grant must last when work starts under it, so that
	// the work ends before another host can be granted the same part.
	minRemaining = 2 * time.Second
	// retryDelay is the pause after a grant was refused.
	retryDelay = 250 * time.Millisecond
	// idleTimeout is how long an unused grant is kept before it is released.
	idleTimeout = time.Second
)

// Manager acquires, uses and releases grants. Exported fields are set before use.
// It is safe for concurrent use.
type Manager struct {
	Host    string
	Clock   clockwork.Clock
	Log     zerolog.Logger
	Propose func(ctx context.Context, c control.Command) (control.Result, error)
	// Spawn runs f in the background; nil stands for a goroutine.
	Spawn func(f func())

	mu     sync.Mutex
	grants map[string]*grantState
}

type grantState struct {
	limit, amount, used int
	expiry, lastWanted  time.Time
	nextRequest         time.Time
	requesting          bool
	// index is the log index of the grant, which a release names so that a late
	// release does not end a later grant.
	index uint64
}

// AllowanceName returns the name of the allowance of a cold target's incarnation.
func AllowanceName(t *control.Target) string { return "cold/" + t.Name + "/" + t.Incarnation }

// Granted reports whether work may start on the cold target now. If this host
// holds no grant, it asks for one in the background.
func (m *Manager) Granted(v *control.View, t *control.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.ensure(t, coldLimit(v, t))
	return m.available(h)
}

// Reserve takes one place of the grant for a sub-request. release returns it.
func (m *Manager) Reserve(t *control.Target) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.grants[AllowanceName(t)]
	if h == nil || !m.available(h) {
		return nil, false
	}
	h.used++
	var once sync.Once
	return func() {
		once.Do(func() {
			m.mu.Lock()
			h.used--
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
			return s.Bears
		}
	}
	return 1
}

func (m *Manager) available(h *grantState) bool {
	return h.used < h.amount && h.expiry.Sub(m.Clock.Now()) > minRemaining
}

// ensure notes that the grant is wanted and asks for it, or for more time.
func (m *Manager) ensure(t *control.Target, limit int) *grantState {
	if m.grants == nil {
		m.grants = map[string]*grantState{}
	}
	name, now := AllowanceName(t), m.Clock.Now()
	h := m.grants[name]
	if h == nil {
		h = &grantState{limit: limit}
		m.grants[name] = h
	}
	h.lastWanted = now
	if !h.requesting && !now.Before(h.nextRequest) && h.expiry.Sub(now) < term/2+minRemaining/2 {
		h.requesting = true
		m.spawn(func() { m.acquire(name, h) })
	}
	return h
}

func (m *Manager) spawn(f func()) {
	if m.Spawn != nil {
		m.Spawn(f)
		return
	}
	go f()
}

// acquire proposes the grant. Its end counts from the send time, so that it ends here
// before it ends in the control state.
func (m *Manager) acquire(name string, h *grantState) {
	sent := m.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), term)
	defer cancel()
	result, err := m.Propose(ctx, control.Command{Grant: &control.AcquireGrant{
		Name: name, Limit: h.limit, Amount: h.limit, Holder: m.Host, Term: term,
	}})
	m.mu.Lock()
	defer m.mu.Unlock()
	h.requesting = false
	h.nextRequest = m.Clock.Now().Add(retryDelay)
	if err != nil {
		m.Log.Debug().Err(err).Str("grant", name).Msg("grant not acquired")
		return
	}
	if result.Refusal == nil && result.Granted > 0 {
		h.amount, h.expiry, h.index = result.Granted, sent.Add(term), result.Index
	}
}

// Sweep releases grants that were not wanted for a while and have no work under
// them. It is called regularly.
func (m *Manager) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	for name, h := range m.grants {
		if h.used > 0 || h.requesting || now.Sub(h.lastWanted) < idleTimeout {
			continue
		}
		delete(m.grants, name)
		if h.amount > 0 && h.expiry.After(now) {
			index := h.index
			m.spawn(func() { m.release(name, index) })
		}
	}
}

func (m *Manager) release(name string, index uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), term)
	defer cancel()
	_, err := m.Propose(ctx, control.Command{Release: &control.ReleaseGrant{Name: name, Holder: m.Host, Index: index}})
	if err != nil {
		m.Log.Debug().Err(err).Str("grant", name).Msg("grant not released, it ends by itself")
	}
}
