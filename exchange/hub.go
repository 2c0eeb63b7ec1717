package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/registry"
)

// forgetControl is after which time without a word a control host is no longer
// named to others.
const forgetControl = time.Minute

// Hub answers the questions of hosts. It runs on control hosts. Exported fields are
// set before use. It is safe for concurrent use.
type Hub struct {
	Self  Host
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Silence is after which time without a heartbeat a target counts as silent.
	Silence time.Duration
	// OnControlHost, if set, is called with each control host that asks.
	OnControlHost func(Host)

	mu      sync.Mutex
	started time.Time
	young   bool
	targets registry.Table
	members map[string]*member
	// all is the list for control hosts, selected the one for entry hosts.
	all, selected hostList
	entries       int
	shared        control.RoutingState
	sizing        sizing
	// allReplies and selectedReplies are encoded answers with these lists.
	allReplies, selectedReplies replies
	// news is closed at the next change, listNews also at a change that concerns only
	// control hosts.
	news, listNews chan struct{}
}

// Init prepares the hub. It is called before any other use.
func (h *Hub) Init() {
	h.targets.SilenceTimeout = h.Silence
	h.started, h.young = h.Clock.Now(), true
	h.members = map[string]*member{}
	h.news, h.listNews = make(chan struct{}), make(chan struct{})
}

// Run looks after the age of targets and hosts until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	ticker := h.Clock.NewTicker(Expiry / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			h.tick()
		}
	}
}

func (h *Hub) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if h.targets.Tick(now) {
		h.wake()
	}
	h.expire(now)
	h.resize(now)
	if h.young && now.Sub(h.started) >= youngTime {
		h.young = false
		h.all.renew()
		h.selected.renew()
		h.wake()
	}
}

// wake ends the wait of all questions. The hub is locked.
func (h *Hub) wake() {
	close(h.news)
	h.news = make(chan struct{})
	h.wakeControl()
}

// wakeControl ends the wait of the questions of control hosts. The hub is locked.
func (h *Hub) wakeControl() {
	close(h.listNews)
	h.listNews = make(chan struct{})
}

// Announce takes an announcement of a target.
func (h *Hub) Announce(a registry.Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets.Announce(h.Clock.Now(), a) {
		h.Log.Info().Str("target", a.Target).Int64("born", a.StartUnixMilli).Uint64("sequence", a.Sequence).Str("service", a.Service).
			Str("state", string(a.State)).Dur("cold", a.ColdRemaining).Msg("target changed")
		h.wake()
	}
}

// Connected reports whether entry hosts have asked lately. Without them, what a
// target announces here reaches nobody.
func (h *Hub) Connected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	for _, m := range h.members {
		if !m.IsControl() && !m.restored && now.Sub(m.heard) < Expiry {
			return true
		}
	}
	return false
}

// SetRoutingState publishes the shared control state.
func (h *Hub) SetRoutingState(s control.RoutingState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision > h.shared.Revision {
		h.shared = s
		h.wake()
	}
}

// RoutingState returns the shared control state.
func (h *Hub) RoutingState() control.RoutingState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shared
}

// Drain tells all hosts that this one stops.
func (h *Hub) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Self.Draining = true
	h.all.version++
	h.selected.version++
	h.wake()
}

// Members returns the number of hosts that asked lately.
func (h *Hub) Members() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.members)
}

// Active returns the number of entry hosts that callers are to be sent to, 0 directly
// after the start.
func (h *Hub) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sizing.count
}

// Targets returns the number of targets that were heard here lately.
func (h *Hub) Targets() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.targets.Len()
}
