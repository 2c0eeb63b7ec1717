package exchange

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/peer"
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
	// Heard, if set, is called with each control host that asks.
	Heard func(Host)

	mu      sync.Mutex
	started time.Time
	young   bool
	targets registry.Table
	members map[string]*member
	// all is the list for control hosts, selected the one for entry hosts.
	all, selected hostList
	entries       int
	shared        control.Shared
	sizing        sizing
	// allReplies and selectedReplies are encoded answers with these lists.
	allReplies, selectedReplies replies
	// news is closed at the next change, listNews also at a change that concerns only
	// control hosts.
	news, listNews chan struct{}
}

type member struct {
	Host
	heard time.Time
	load  float64
	// restored states that the host has not asked this run yet.
	restored bool
}

// Init prepares the hub. It is called before any other use.
func (h *Hub) Init() {
	h.targets.Silence = h.Silence
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

// resize adapts the number of active hosts to their load. The hub is locked.
func (h *Hub) resize(now time.Time) {
	load := 0.0
	for _, m := range h.members {
		load += m.load
	}
	before := h.sizing.count
	if after := h.sizing.step(now, load); after != before {
		h.Log.Info().Int("active", after).Int("before", before).Float64("load", load).Msg("number of active entry hosts changed")
		h.selectHosts()
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

// selectHosts computes the list for entry hosts. With the lists of other control hosts
// they select the same hosts as Active would among all. The hub is locked.
func (h *Hub) selectHosts() {
	var control, entries []Host
	for _, m := range h.members {
		if m.IsControl() {
			control = append(control, m.Host)
		} else {
			entries = append(entries, m.Host)
		}
	}
	h.entries = len(entries)
	if h.selected.replace(append(control, Active(entries, max(leastActive, h.sizing.count))...)) {
		h.wake()
	}
}

// Announce takes an announcement of a target.
func (h *Hub) Announce(a registry.Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets.Announce(h.Clock.Now(), a) {
		h.Log.Info().Str("target", a.Target).Int64("born", a.Born).Uint64("sequence", a.Sequence).Str("service", a.Service).
			Str("state", string(a.State)).Dur("cold", a.Cold).Msg("target changed")
		h.wake()
	}
}

// Known is what a control host keeps over a restart, so that hosts that restart at the
// same time can serve before a leader is elected and before targets and hosts are heard.
type Known struct {
	Targets []registry.Record `json:"targets"`
	// Hosts are the entry hosts, Shared is the control state that was in force.
	Hosts  []Host         `json:"hosts"`
	Shared control.Shared `json:"shared"`
}

// Restore takes what an earlier run knew. Targets count as silent after length unless
// they announce themselves, hosts are gone after Expiry unless they ask.
func (h *Hub) Restore(k *Known, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.targets.Restore(now, k.Targets, length)
	for _, host := range k.Hosts {
		h.members[host.Name] = &member{Host: host, heard: now, restored: true}
		h.all.set(host)
	}
	h.young = len(k.Hosts) == 0
	h.shared = k.Shared
	h.selectHosts()
	h.wake()
}

// Known returns what is worth keeping, and a number that changes with it.
func (h *Hub) Known() (k *Known, revision [3]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k = &Known{Targets: h.targets.Since(h.Clock.Now(), 0), Shared: h.shared}
	for _, m := range h.members {
		if !m.IsControl() && !m.Draining {
			k.Hosts = append(k.Hosts, m.Host)
		}
	}
	return k, h.revision()
}

// Changed reports whether there is more to keep than at a revision of Known.
func (h *Hub) Changed(revision [3]uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision() != revision
}

// revision identifies what Known returns. The hub is locked.
func (h *Hub) revision() [3]uint64 {
	return [3]uint64{h.targets.Revision(), h.all.version, h.shared.Revision}
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

// SetShared publishes the shared control state.
func (h *Hub) SetShared(s control.Shared) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision > h.shared.Revision {
		h.shared = s
		h.wake()
	}
}

// Shared returns the shared control state.
func (h *Hub) Shared() control.Shared {
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

// note records the host that asks. The hub is locked.
func (h *Hub) note(now time.Time, from *Host, load float64) {
	m := h.members[from.Name]
	if m != nil {
		if from.Start < m.Start && now.Sub(m.heard) < Wait+answerTimeout {
			// A question of an earlier run that was held up. A run that is silent has
			// ended; its clock may have been ahead.
			return
		}
		m.heard, m.load, m.restored = now, load, false
		if m.Host == *from {
			return
		}
	}
	h.members[from.Name] = &member{Host: *from, heard: now, load: load}
	h.all.set(*from)
	h.wakeControl()
	if m != nil && m.restarted(from) {
		// The selection stays the same. After a loss of power, all hosts come at once.
		if h.selected.has(from.Name) && h.selected.set(*from) {
			h.wake()
		}
		return
	}
	h.selectHosts()
}

// restarted reports whether the host differs from what was known in its run only.
func (m *member) restarted(from *Host) bool {
	known := m.Host
	known.Start = from.Start
	return known == *from
}

// expire removes hosts that have not asked lately. The hub is locked.
func (h *Hub) expire(now time.Time) {
	before := len(h.members)
	for name, m := range h.members {
		age, bound := now.Sub(m.heard), Expiry
		if m.IsControl() {
			bound = forgetControl
		}
		if age < bound {
			continue
		}
		h.Log.Warn().Str("member", name).Dur("age", age).Msg("host not heard from, no longer named to callers")
		delete(h.members, name)
		h.all.remove(name)
	}
	if len(h.members) < before {
		h.wakeControl()
		h.selectHosts()
	}
}

// Serve answers a question of another host.
func (h *Hub) Serve(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q Question
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	if q.From.Name == "" {
		return nil, &peer.RemoteError{Code: peer.CodeInvalid, Message: "the question does not name its host"}
	}
	if q.From.IsControl() && h.Heard != nil {
		h.Heard(q.From)
	}
	timer := h.Clock.NewTimer(min(q.Wait, Wait))
	defer timer.Stop()
	first := true
	for {
		reply, news, err := h.answer(&q, first)
		if reply != nil || err != nil {
			return reply, err
		}
		first = false
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.Chan():
			q.Wait = 0
		case <-news:
			h.Clock.Sleep(settleTime)
		}
	}
}

// answer returns the encoded answer, or nil and a channel that is closed at the next
// change.
func (h *Hub) answer(q *Question, first bool) (json.RawMessage, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if first {
		h.note(now, &q.From, q.Load)
	}
	list, replies, news := &h.selected, &h.selectedReplies, h.news
	if q.From.IsControl() {
		list, replies, news = &h.all, &h.allReplies, h.listNews
	}
	if q.Run != h.Self.Start {
		q.Targets, q.Hosts = 0, 0
	}
	if q.Run == h.Self.Start && q.Wait > 0 && q.Targets >= h.targets.Revision() && q.Hosts == list.version && q.Shared >= h.shared.Revision {
		return nil, news, nil
	}
	state := replyState{
		targets: h.targets.Revision(), hosts: list.version, shared: h.shared.Revision, active: h.sizing.count,
		entries: h.entries, draining: h.Self.Draining, young: h.young,
	}
	key := replyKey{document: q.Document, targets: q.Targets, hosts: q.Hosts, shared: q.Shared, routing: q.Routing}
	reply, err := replies.get(now, state, key, func() *Answer { return h.build(now, q, list) })
	return reply, nil, err
}

// build computes an answer. The hub is locked.
func (h *Hub) build(now time.Time, q *Question, list *hostList) *Answer {
	a := &Answer{
		From: h.Self, Targets: h.targets.Revision(), Hosts: list.version, Active: h.sizing.count, Entries: h.entries, Young: h.young,
	}
	if q.Targets < a.Targets {
		a.Changes = h.targets.Since(now, q.Targets)
	}
	if q.Hosts != a.Hosts {
		list.tell(a, q.Hosts)
	}
	if h.shared.Revision > q.Shared {
		shared := h.shared
		if !q.Document || shared.Routing.Version <= q.Routing {
			shared.Routing.Source = nil
		}
		a.Shared = &shared
	}
	return a
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
