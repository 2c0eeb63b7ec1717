package exchange

import (
	"context"
	"encoding/json"
	"time"

	"wasabirelay/peer"
)

// Serve answers a question of another host.
func (h *Hub) Serve(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q PollRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	if q.From.Name == "" {
		return nil, &peer.RemoteError{Code: peer.CodeInvalid, Message: "the question does not name its host"}
	}
	if q.From.IsControl() && h.OnControlHost != nil {
		h.OnControlHost(q.From)
	}
	timer := h.Clock.NewTimer(min(q.Wait, PollWait))
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
func (h *Hub) answer(q *PollRequest, first bool) (json.RawMessage, chan struct{}, error) {
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
	if q.Run == h.Self.Start && q.Wait > 0 && q.Targets >= h.targets.Revision() && q.Hosts == list.version && q.RoutingState >= h.shared.Revision {
		return nil, news, nil
	}
	state := replyState{
		targets: h.targets.Revision(), hosts: list.version, shared: h.shared.Revision, active: h.sizing.count,
		entries: h.entries, draining: h.Self.Draining, young: h.young,
	}
	key := replyKey{document: q.Document, targets: q.Targets, hosts: q.Hosts, shared: q.RoutingState, routing: q.Routing}
	reply, err := replies.get(now, state, key, func() *PollResponse { return h.build(now, q, list) })
	return reply, nil, err
}

// build computes an answer. The hub is locked.
func (h *Hub) build(now time.Time, q *PollRequest, list *hostList) *PollResponse {
	a := &PollResponse{
		From: h.Self, Targets: h.targets.Revision(), Hosts: list.version, Active: h.sizing.count, Entries: h.entries, Starting: h.young,
	}
	if q.Targets < a.Targets {
		a.Changes = h.targets.Since(now, q.Targets)
	}
	if q.Hosts != a.Hosts {
		list.tell(a, q.Hosts)
	}
	if h.shared.Revision > q.RoutingState {
		shared := h.shared
		if !q.Document || shared.Routing.Version <= q.Routing {
			shared.Routing.Source = nil
		}
		a.RoutingState = &shared
	}
	return a
}
