package portion

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/peer"
)

const (
	// avoidTime is how long a host that failed to work on a portion gets no others. It is about
	// the time after which control hosts no longer list a host that died.
	avoidTime = 2500 * time.Millisecond
	// replyMargin is how long after its timeout the last frame of a portion may arrive: the host
	// may have to wait for its processor.
	replyMargin = 200 * time.Millisecond
)

// Host is an entry host that takes portions.
type Host struct {
	Name    string
	Address netip.AddrPort
}

// Helpers leaves portions to other hosts. Exported fields are set before use. It is safe for
// concurrent use.
type Helpers struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration

	mu    sync.Mutex
	hosts map[string]*helper
	next  atomic.Uint64
	// epoch counts the changes of which hosts are avoided, of which there are avoided.
	epoch   uint64
	avoided int
}

// helper is one of the other hosts. Its fields below client belong to Helpers.mu.
type helper struct {
	Host
	client *peer.Client
	// receivers holds the functions that receive the frames of portions in progress, by ID.
	receivers  map[uint64]func(*Frame, error)
	avoidUntil time.Time
}

// Collection is a portion in progress at another host.
type Collection struct {
	// Host is the name of that host.
	Host string
	// Cancel ends it because its replies are not needed any more.
	Cancel func()
	// Suspect reports that no frame has arrived for long. The host gets no other portions for a
	// while, unless a frame of it arrives.
	Suspect func()
}

// Set replaces the hosts.
func (h *Helpers) Set(hosts []Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[string]*helper, len(hosts))
	for _, host := range hosts {
		one := h.hosts[host.Name]
		if one == nil || one.Host != host {
			one = h.newHelper(host)
		}
		next[host.Name] = one
	}
	for name, one := range h.hosts {
		if next[name] != one {
			h.endAvoiding(one)
			h.closeUnused(one)
		}
	}
	h.hosts = next
}

func (h *Helpers) newHelper(host Host) *helper {
	one := &helper{Host: host, receivers: map[uint64]func(*Frame, error){}}
	one.client = &peer.Client{
		Address: host.Address, DialTimeout: h.DialTimeout, Log: h.Log,
		Handlers: map[string]peer.Handler{MethodFrame: func(_ context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
			var f Frame
			if err := peer.Decode(params, &f); err != nil {
				return nil, err
			}
			h.reinstate(one)
			if receive := h.receiver(one, f.ID); receive != nil {
				receive(&f, nil)
			}
			return nil, nil
		}},
	}
	return one
}

func (h *Helpers) receiver(one *helper, id uint64) func(*Frame, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return one.receivers[id]
}

// pick returns the host of the list that works on the fewest portions of this host, and registers
// the receiver of one more. It returns nil if none can be used.
func (h *Helpers) pick(hosts []string, id uint64, receive func(*Frame, error)) *helper {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *helper
	ties := 0
	for _, name := range hosts {
		one := h.hosts[name]
		if one == nil || !one.avoidUntil.IsZero() {
			continue
		}
		switch {
		case best == nil || len(one.receivers) < len(best.receivers):
			best, ties = one, 1
		case len(one.receivers) == len(best.receivers):
			if ties++; rand.IntN(ties) == 0 {
				best = one
			}
		}
	}
	if best != nil {
		best.receivers[id] = receive
	}
	return best
}

// Collect sends a portion to one of the hosts. Each frame is passed to receive, in order.
// An error is passed to receive as the last call: a *RefusedError if no host works on the portion,
// or a *LostError. receive must not block. Collect returns a *RefusedError if no
// host can be used.
func (h *Helpers) Collect(hosts []string, r *Request, receive func(*Frame, error)) (*Collection, error) {
	r.ID = h.next.Add(1)
	one := h.pick(hosts, r.ID, receive)
	if one == nil {
		return nil, &RefusedError{Reason: "no host of the team can be used"}
	}
	go h.call(one, r)
	return &Collection{
		Host:    one.Name,
		Cancel:  func() { h.cancel(one, r.ID) },
		Suspect: func() { h.avoid(one) },
	}, nil
}

// cancel tells the host that a portion is not needed any more, unless it has ended.
func (h *Helpers) cancel(one *helper, id uint64) {
	if h.remove(one, id) == nil {
		return
	}
	go func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), h.Clock, replyMargin)
		defer cancel()
		if err := one.client.Notify(ctx, MethodCancel, cancelRequest{ID: id}); err != nil {
			h.Log.Debug().Err(err).Str("helper", one.Name).Msg("failed to cancel a portion")
		}
	}()
}

// call sends the portion and passes the last frame on. It continues after the portion was
// cancelled: other portions use the same connection, which a call that is given up would close.
func (h *Helpers) call(one *helper, r *Request) {
	if h.receiver(one, r.ID) == nil {
		return // cancelled before anything was sent
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), h.Clock, r.Timeout+replyMargin)
	defer cancel()
	var last Frame
	err := one.client.Call(ctx, MethodCollect, r, &last)
	switch {
	case err != nil:
		h.avoid(one)
		err = callError(one, err)
	case last.Refused != "":
		err = &RefusedError{Host: one.Name, Reason: last.Refused}
	default:
		h.reinstate(one)
	}
	if receive := h.remove(one, r.ID); receive != nil {
		receive(&last, err)
	}
}

// callError distinguishes a portion that no host has worked on from a lost one.
func callError(one *helper, err error) error {
	var connect *peer.ConnectError
	var remote *peer.RemoteError
	if errors.As(err, &connect) || errors.As(err, &remote) && remote.Code != peer.CodeInternal {
		return &RefusedError{Host: one.Name, Reason: err.Error()}
	}
	return &LostError{Host: one.Name, Err: err}
}

// remove ends the reception of a portion. It returns its receiver, or nil if it had ended before.
func (h *Helpers) remove(one *helper, id uint64) func(*Frame, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	receive := one.receivers[id]
	delete(one.receivers, id)
	if h.hosts[one.Name] != one {
		h.closeUnused(one)
	}
	return receive
}

// closeUnused closes the connection to a host that is gone once its last portion has ended. The
// caller holds h.mu.
func (h *Helpers) closeUnused(one *helper) {
	if len(one.receivers) == 0 {
		go one.client.Close() // it waits for a connection that is being opened
	}
}

// avoid keeps portions away from the host for a while.
func (h *Helpers) avoid(one *helper) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hosts[one.Name] != one {
		return // it has left
	}
	if one.avoidUntil.IsZero() {
		h.avoided++
		h.epoch++
	}
	one.avoidUntil = h.Clock.Now().Add(avoidTime)
}

// reinstate ends the time for which the host is avoided.
func (h *Helpers) reinstate(one *helper) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endAvoiding(one)
}

// endAvoiding is reinstate. The caller holds h.mu.
func (h *Helpers) endAvoiding(one *helper) {
	if !one.avoidUntil.IsZero() {
		one.avoidUntil = time.Time{}
		h.avoided--
		h.epoch++
	}
}

// Epoch returns a number that changes with the hosts that are avoided.
func (h *Helpers) Epoch() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.avoided > 0 {
		now := h.Clock.Now()
		for _, one := range h.hosts {
			if !now.Before(one.avoidUntil) {
				h.endAvoiding(one)
			}
		}
	}
	return h.epoch
}

// Usable reports whether the host takes portions and is not avoided.
func (h *Helpers) Usable(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := h.hosts[host]
	return one != nil && one.avoidUntil.IsZero()
}
