package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/poison"
	"wasabirelay/registry"
)

// forgetControlAfter is the time without a poll after which a control host is no longer
// listed.
const forgetControlAfter = time.Minute

// Hub serves the poll requests of hosts. It runs on control hosts. Exported fields are set
// before use. It is safe for concurrent use.
type Hub struct {
	Self  Host
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Silence is the time without a heartbeat after which a target counts as silent.
	Silence time.Duration
	// Detached, if set, reports whether this host may lack the newest routing state.
	Detached func() bool
	// OnControlHost, if set, is called with each control host that polls.
	OnControlHost func(Host)

	mu       sync.Mutex
	started  time.Time
	starting bool
	targets  registry.Table
	members  map[string]*member
	// all is the list that control hosts receive, selected the one that entry hosts receive.
	all, selected hostList
	entries       int
	routingState  control.RoutingState
	sizer         sizer
	duty          DutyHolder
	// crashes holds the requests that may crash targets, as entry hosts have published them.
	crashes poison.Ledger
	// allResponses and selectedResponses cache the encoded responses with these lists.
	allResponses, selectedResponses responseCache
	// changed is closed at the next change, listChanged also at a change that is sent only to
	// control hosts.
	changed, listChanged chan struct{}
}

// Init prepares the hub. It is called before any other use.
func (h *Hub) Init() {
	h.targets.SilenceTimeout = h.Silence
	h.started, h.starting = h.Clock.Now(), true
	h.members = map[string]*member{}
	h.changed, h.listChanged = make(chan struct{}), make(chan struct{})
}

// Run expires targets and hosts until ctx ends.
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
	if h.starting && now.Sub(h.started) >= startingTime {
		h.starting = false
		h.all.sendComplete()
		h.selected.sendComplete()
		h.wake()
	}
}

// wake ends the wait of all poll requests. The caller holds h.mu.
func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
	h.wakeControl()
}

// wakeControl ends the wait of the poll requests of control hosts. The caller holds h.mu.
func (h *Hub) wakeControl() {
	close(h.listChanged)
	h.listChanged = make(chan struct{})
}

// Announce handles an announcement of a target. It reports whether it changed the table.
func (h *Hub) Announce(a registry.Announcement) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.targets.Announce(h.Clock.Now(), a)
	if changed {
		h.Log.Info().Str("target", a.Target).Int64("born", a.StartUnixMilli).Uint64("sequence", a.Sequence).Str("service", a.Service).
			Str("state", string(a.State)).Dur("cold", a.ColdRemaining).Msg("target changed")
		h.wake()
	}
	return changed
}

// Connected reports whether an entry host has polled within Expiry. Otherwise the
// announcements of targets reach no entry host from here.
func (h *Hub) Connected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	for _, m := range h.members {
		if !m.IsControl() && !m.restored && now.Sub(m.lastPoll) < Expiry {
			return true
		}
	}
	return false
}

// SetRoutingState publishes the routing state if it is newer than the current one.
func (h *Hub) SetRoutingState(s control.RoutingState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision > h.routingState.Revision {
		h.routingState = s
		h.wake()
	}
}

// SetDutyHolder publishes the holder of the duty if it is later than the current one.
func (h *Hub) SetDutyHolder(d DutyHolder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Token > h.duty.Token {
		h.duty = d
		h.wake()
	}
}

// MergeCrashes merges records of requests that may crash targets, and sends what is new to all hosts.
func (h *Hub) MergeCrashes(records []poison.Record) {
	if !h.crashes.Merge(h.Clock.Now(), records) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wake()
}

// RoutingState returns the current routing state.
func (h *Hub) RoutingState() control.RoutingState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.routingState
}

// Drain notifies all hosts that this one is shutting down.
func (h *Hub) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Self.Draining = true
	h.all.revision++
	h.selected.revision++
	h.wake()
}

// Members returns the number of hosts that have polled recently, including hosts from the
// cached state that have not expired.
func (h *Hub) Members() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.members)
}

// Active returns the number of entry hosts that callers are to be sent to, or 0 directly
// after the start.
func (h *Hub) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sizer.count
}

// Targets returns the number of targets in the table.
func (h *Hub) Targets() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.targets.Len()
}
