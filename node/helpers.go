package node

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"wasabirelay/exchange"
	"wasabirelay/peer"
	"wasabirelay/relay"
)

// methodPortion is the method of the peer interface by which an entry host lets another
// one collect a portion.
const methodPortion = "relay.portion"

// avoidTime is for how long a host that did not answer is not asked: it is about the time
// after which control hosts no longer name a host that died.
const avoidTime = exchange.Expiry

// replyMargin is how long a reply may take beyond the time that the host has for the
// portion: it may wait for its processor.
const replyMargin = 200 * time.Millisecond

// helpers are the other entry hosts that collect portions. Exported fields are set before
// use. It is safe for concurrent use.
type helpers struct {
	Clock clockwork.Clock

	mu    sync.Mutex
	known map[string]*helper
}

// helper is one of them.
type helper struct {
	address netip.AddrPort
	client  *peer.Client
	// avoid is until when it is not asked.
	avoid time.Time
}

// set replaces the hosts. It returns their names.
func (h *helpers) set(hosts []exchange.Host) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names, next := make([]string, 0, len(hosts)), make(map[string]*helper, len(hosts))
	for _, host := range hosts {
		names = append(names, host.Name)
		old := h.known[host.Name]
		if old == nil || old.address != host.Helper {
			old = &helper{address: host.Helper, client: &peer.Client{Address: host.Helper, Dial: exchange.DialTimeout}}
		}
		next[host.Name] = old
	}
	for name, old := range h.known {
		if next[name] != old {
			old.client.Close()
		}
	}
	h.known = next
	return names
}

// pick returns one of the hosts that are not avoided.
func (h *helpers) pick(names []string) (*helper, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	var usable []*helper
	for _, name := range names {
		if one := h.known[name]; one != nil && !now.Before(one.avoid) {
			usable = append(usable, one)
		}
	}
	if len(usable) == 0 {
		return nil, false
	}
	return usable[rand.IntN(len(usable))], true
}

func (h *helpers) avoid(one *helper) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one.avoid = h.Clock.Now().Add(avoidTime)
}

// ask lets one of the hosts collect a portion. A host that can't be reached is replaced by
// another one.
func (h *helpers) ask(ctx context.Context, names []string, q *relay.PortionRequest) (*relay.PortionReply, error) {
	for {
		one, ok := h.pick(names)
		if !ok {
			return nil, &relay.NotAskedError{Reason: "no host of the team can be reached"}
		}
		reply, err := h.call(ctx, one, q)
		var connect *peer.ConnectError
		switch {
		case err == nil && reply.Refused != "":
			return nil, &relay.NotAskedError{Reason: reply.Refused}
		case err == nil:
			return reply, nil
		case !errors.As(err, &connect) || ctx.Err() != nil:
			return nil, errors.Wrap(err, "portion")
		}
	}
}

// call asks one host. It goes on when ctx ends, because others use the same connection,
// which a call that is given up would close.
func (h *helpers) call(ctx context.Context, one *helper, q *relay.PortionRequest) (*relay.PortionReply, error) {
	type outcome struct {
		reply relay.PortionReply
		err   error
	}
	done := make(chan *outcome, 1)
	go func() {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), q.Left+replyMargin)
		defer cancel()
		var o outcome
		if o.err = one.client.Call(call, methodPortion, q, &o.reply); o.err != nil {
			h.avoid(one)
		}
		done <- &o
	}()
	select {
	case o := <-done:
		return &o.reply, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// servePortion collects a portion for another host.
func (e *Entry) servePortion(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var q relay.PortionRequest
	if err := peer.Decode(params, &q); err != nil {
		return nil, err
	}
	return e.relay.Collect(ctx, &q), nil
}

// near returns the hosts of this data centre that may collect portions, in order of their
// names.
func (e *Entry) near(active []exchange.Host) []exchange.Host {
	var list []exchange.Host
	for _, h := range active {
		if h.Centre == e.Settings.Centre && h.Helper.IsValid() {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b exchange.Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
