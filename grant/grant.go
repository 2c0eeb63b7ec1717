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
	// reserve is the time that a grant must last when work starts under it, so that
	// the work ends before another host can be granted the same part.
	reserve = 2 * time.Second
	// retry is the pause after a grant was refused.
	retry = 250 * time.Millisecond
	// idle is how long an unused grant is kept before it is released.
	idle = time.Second
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

	mu   sync.Mutex
	held map[string]*held
}

type held struct {
	limit, amount, used int
	until, wanted       time.Time
	next                time.Time
	asking              bool
	// index is the log index of the grant, which a release names so that a late
	// release does not end a later grant.
	index uint64
}

// AllowanceName returns the name of the allowance of a cold target's incarnation.
func AllowanceName(t *control.Target) string { return "cold/" + t.Name + "/" + t.Incarnation }

// Granted reports whether work may start on the cold target now. If this host
// holds no grant, it asks for one in the background.
func (k *Manager) Granted(v *control.View, t *control.Target) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.want(t, bears(v, t))
	return k.free(h)
}

// Reserve takes one place of the grant for a sub-request. release returns it.
func (k *Manager) Reserve(t *control.Target) (release func(), ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.held[AllowanceName(t)]
	if h == nil || !k.free(h) {
		return nil, false
	}
	h.used++
	var once sync.Once
	return func() {
		once.Do(func() {
			k.mu.Lock()
			h.used--
			k.mu.Unlock()
		})
	}, true
}

func bears(v *control.View, t *control.Target) int {
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

func (k *Manager) free(h *held) bool {
	return h.used < h.amount && h.until.Sub(k.Clock.Now()) > reserve
}

// want notes that the grant is wanted and asks for it, or for more time.
func (k *Manager) want(t *control.Target, limit int) *held {
	if k.held == nil {
		k.held = map[string]*held{}
	}
	name, now := AllowanceName(t), k.Clock.Now()
	h := k.held[name]
	if h == nil {
		h = &held{limit: limit}
		k.held[name] = h
	}
	h.wanted = now
	if !h.asking && !now.Before(h.next) && h.until.Sub(now) < term/2+reserve/2 {
		h.asking = true
		k.spawn(func() { k.ask(name, h) })
	}
	return h
}

func (k *Manager) spawn(f func()) {
	if k.Spawn != nil {
		k.Spawn(f)
		return
	}
	go f()
}

// ask proposes the grant. Its end counts from the send time, so that it ends here
// before it ends in the control state.
func (k *Manager) ask(name string, h *held) {
	sent := k.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), term)
	defer cancel()
	result, err := k.Propose(ctx, control.Command{Grant: &control.AcquireGrant{
		Name: name, Limit: h.limit, Amount: h.limit, Holder: k.Host, Term: term,
	}})
	k.mu.Lock()
	defer k.mu.Unlock()
	h.asking = false
	h.next = k.Clock.Now().Add(retry)
	if err != nil {
		k.Log.Debug().Err(err).Str("grant", name).Msg("grant not acquired")
		return
	}
	if result.Refusal == nil && result.Granted > 0 {
		h.amount, h.until, h.index = result.Granted, sent.Add(term), result.Index
	}
}

// Sweep releases grants that were not wanted for a while and have no work under
// them. It is called regularly.
func (k *Manager) Sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock.Now()
	for name, h := range k.held {
		if h.used > 0 || h.asking || now.Sub(h.wanted) < idle {
			continue
		}
		delete(k.held, name)
		if h.amount > 0 && h.until.After(now) {
			index := h.index
			k.spawn(func() { k.release(name, index) })
		}
	}
}

func (k *Manager) release(name string, index uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), term)
	defer cancel()
	_, err := k.Propose(ctx, control.Command{Release: &control.ReleaseGrant{Name: name, Holder: k.Host, Index: index}})
	if err != nil {
		k.Log.Debug().Err(err).Str("grant", name).Msg("grant not released, it ends by itself")
	}
}
