package exchange

import (
	"context"
	"encoding/json"
	"time"

	"wasabirelay/peer"
)

// Serve handles a poll request of another host. It responds when there is a change, or when
// the wait time of the request ends.
func (h *Hub) Serve(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var request PollRequest
	if err := peer.Decode(params, &request); err != nil {
		return nil, err
	}
	if request.From.Name == "" {
		return nil, &peer.RemoteError{Code: peer.CodeInvalidParams, Message: "the question does not name its host"}
	}
	if request.From.IsControl() && h.OnControlHost != nil {
		h.OnControlHost(request.From)
	}
	h.MergeCrashes(request.Crashes)
	timer := h.Clock.NewTimer(min(request.Wait, PollWait))
	defer timer.Stop()
	first := true
	for {
		response, changed, err := h.respond(&request, first)
		if response != nil || err != nil {
			return response, err
		}
		first = false
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.Chan():
			request.Wait = 0
		case <-changed:
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-h.Clock.After(settle(&request)):
		}
	}
}

// settle returns how long to wait for further changes after a change or, if the wait time of the
// request has ended, not at all.
func settle(request *PollRequest) time.Duration {
	if request.Wait == 0 {
		return 0
	}
	return settleTime
}

// respond returns the encoded poll response. If nothing has changed and the request may wait,
// it returns nil and a channel that is closed at the next change.
func (h *Hub) respond(request *PollRequest, first bool) (json.RawMessage, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if first {
		h.recordHost(now, &request.From, request.Load)
	}
	list, cache, changed := &h.selected, &h.selectedResponses, h.changed
	if request.From.IsControl() {
		list, cache, changed = &h.all, &h.allResponses, h.listChanged
	}
	if request.Run != h.Self.Start {
		request.Targets, request.Hosts, request.Known = 0, 0, min(request.Known, 1)
	}
	crashes := h.crashes.Revision()
	news := request.Known > 0 && request.Known <= crashes
	if request.Run == h.Self.Start && request.Wait > 0 && request.Targets >= h.targets.Revision() && request.Hosts == list.revision && request.RoutingState >= h.routingState.Revision && !news && !h.isNewHolder(request) {
		return nil, changed, nil
	}
	state := responseState{
		targets: h.targets.Revision(), hosts: list.revision, routingState: h.routingState.Revision, active: h.sizer.count,
		entries: h.entries, draining: h.Self.Draining, starting: h.starting, crashes: crashes, duty: h.duty.Token,
		detached: h.Detached != nil && h.Detached(),
	}
	key := responseKey{document: request.Document, targets: request.Targets, hosts: request.Hosts, routingState: request.RoutingState, routing: request.Routing, known: request.Known, duty: request.Duty}
	encoded, err := cache.get(now, state, key, func() *PollResponse {
		response := h.build(now, request, list)
		response.Detached = state.detached
		return response
	})
	return encoded, nil, err
}

// isNewHolder reports whether the polling host knows no holder of the duty as late as the one here. The caller
// holds h.mu.
func (h *Hub) isNewHolder(request *PollRequest) bool {
	return request.Duty > 0 && request.Duty <= h.duty.Token
}

// build computes a poll response. The caller holds h.mu.
func (h *Hub) build(now time.Time, request *PollRequest, list *hostList) *PollResponse {
	response := &PollResponse{
		From: h.Self, Targets: h.targets.Revision(), Hosts: list.revision, Active: h.sizer.count, Entries: h.entries, Starting: h.starting,
	}
	if request.Targets < response.Targets {
		response.Changes = h.targets.Since(now, request.Targets)
	}
	if request.Hosts != response.Hosts {
		list.addChanges(response, request.Hosts)
	}
	if h.routingState.Revision > request.RoutingState {
		state := h.routingState
		if !request.Document || state.Routing.Version <= request.Routing {
			state.Routing.Source = nil
		}
		response.RoutingState = &state
	}
	if request.Duty > 0 {
		response.UnixMicro = now.UnixMicro()
	}
	if h.isNewHolder(request) {
		holder := h.duty
		response.Duty = &holder
	}
	if request.Known > 0 {
		response.Crashes, response.Known = h.crashes.Since(now, request.Known-1)
	}
	return response
}
