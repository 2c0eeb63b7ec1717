package exchange

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/peer"
	"wasabirelay/registry"
)

const (
	// retryPause is the pause after a failed question; it doubles up to lastPause.
	retryPause = 100 * time.Millisecond
	lastPause  = time.Second
	// fetchPause is how long a host waits for a document that it is getting from another
	// control host: some round trips.
	fetchPause = 20 * time.Millisecond
	// forgetHost is after which time a control host that does not answer and that no
	// other names is no longer asked.
	forgetHost = 30 * time.Second
	// keepTargets is for how long what a control host knew before its restart counts:
	// some heartbeats, after which its targets have announced themselves again.
	keepTargets = 5 * time.Second
)

// Client asks all control hosts and merges their answers. Exported fields are set
// before Run. It is safe for concurrent use.
type Client struct {
	// Self returns what this host tells about itself.
	Self func() Host
	// Seeds returns the peer addresses to start from. They may change.
	Seeds func() []netip.AddrPort
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Load, if set, returns the share of its processor that this host uses to relay
	// requests.
	Load func() float64
	// OnControlHost, if set, is called with each control host that answers.
	OnControlHost func(Host)
	// Changed is called after news of targets, hosts or the shared state.
	Changed func()

	mu       sync.Mutex
	contacts map[netip.AddrPort]*contact
	targets  registry.MergedTable
	shared   control.RoutingState
	// fetching states that a control host has been asked for a routing document.
	fetching bool
	// settled states that a control host that is no longer young has answered.
	settled bool
	started context.Context
}

// contact is a control host that is asked.
type contact struct {
	client *peer.Client
	cancel context.CancelFunc
	// host is the last answer's sender; its name is empty before the first answer.
	host Host
	list map[string]Host
	// active is the number of active hosts that it decided on, entries that of all entry
	// hosts.
	active, entries int
	// told is the newest revision of the shared state that it told of.
	told  uint64
	q     PollRequest
	heard time.Time
	named time.Time
	lost  bool
}

// Run asks until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.started = ctx
	c.mu.Unlock()
	ticker := c.Clock.NewTicker(lastPause)
	defer ticker.Stop()
	for {
		c.sweep()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// sweep starts to ask new control hosts and stops to ask those that are gone.
func (c *Client) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	for _, seed := range c.Seeds() {
		c.add(now, seed)
	}
	for address, k := range c.contacts {
		if now.Sub(k.named) > forgetHost && now.Sub(k.heard) > forgetHost {
			c.Log.Info().Stringer("address", address).Str("control", k.host.Name).Msg("control host forgotten")
			k.cancel()
			k.client.Close()
			delete(c.contacts, address)
			c.targets.Drop(k.host.Name)
		}
	}
}

// add starts to ask a control host. The client is locked.
func (c *Client) add(now time.Time, address netip.AddrPort) {
	if k := c.contacts[address]; k != nil {
		k.named = now
		return
	}
	if c.contacts == nil {
		c.contacts = map[netip.AddrPort]*contact{}
	}
	ctx, cancel := context.WithCancel(c.started)
	k := &contact{client: &peer.Client{Address: address, Dial: DialTimeout}, cancel: cancel, named: now}
	c.contacts[address] = k
	go c.follow(ctx, k)
}

// follow asks one control host again and again.
func (c *Client) follow(ctx context.Context, k *contact) {
	pause := retryPause
	for ctx.Err() == nil {
		err := c.ask(ctx, k, PollRequest{Wait: PollWait})
		if err == nil {
			pause = retryPause
			c.fetch(ctx, k)
			continue
		}
		c.noteLost(ctx, k, err)
		select {
		case <-ctx.Done():
		case <-c.Clock.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, lastPause)
	}
}

func (c *Client) noteLost(ctx context.Context, k *contact, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !k.lost && ctx.Err() == nil {
		k.lost = true
		c.Log.Warn().Err(err).Str("control", k.host.Name).Stringer("address", k.client.Address).Msg("control host lost")
	}
}

// fetch asks a control host for the routing document that its last answer told of. If
// another one is being asked, it waits a moment: the host would have the same news again.
func (c *Client) fetch(ctx context.Context, k *contact) {
	c.mu.Lock()
	wanted := k.told > c.shared.Revision
	first := wanted && !c.fetching
	c.fetching = c.fetching || first
	c.mu.Unlock()
	switch {
	case first:
		if err := c.ask(ctx, k, PollRequest{Document: true}); err != nil {
			c.noteLost(ctx, k, err)
		}
		c.mu.Lock()
		c.fetching = false
		c.mu.Unlock()
	case wanted:
		select {
		case <-ctx.Done():
		case <-c.Clock.After(fetchPause):
		}
	}
}

// ask completes a question, sends it, and takes the answer.
func (c *Client) ask(ctx context.Context, k *contact, q PollRequest) error {
	c.mu.Lock()
	q.From, q.Run, q.Targets, q.Hosts = c.Self(), k.q.Run, k.q.Targets, k.q.Hosts
	q.RoutingState, q.Routing = c.shared.Revision, c.shared.Routing.Version
	if c.Load != nil {
		q.Load = c.Load()
	}
	c.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, q.Wait+answerTimeout)
	defer cancel()
	var a PollResponse
	if err := k.client.Call(call, Method, q, &a); err != nil {
		return err
	}
	if err := a.unpack(); err != nil {
		return err
	}
	c.take(k, &a)
	return nil
}

// take merges an answer.
func (c *Client) take(k *contact, a *PollResponse) {
	c.mu.Lock()
	now := c.Clock.Now()
	if k.lost || k.host.Name == "" {
		c.Log.Info().Str("control", a.From.Name).Stringer("address", k.client.Address).Msg("control host answers")
	}
	changed := k.lost || k.active != a.Active || k.entries != a.Entries || k.host != a.From || len(a.Changes) > 0 || len(a.List)+len(a.Gone) > 0 || a.Complete
	k.host, k.heard, k.lost, k.active, k.entries = a.From, now, false, a.Active, a.Entries
	c.settled = c.settled || !a.Starting
	if k.q.Run != a.From.Start {
		k.q = PollRequest{Run: a.From.Start}
	}
	if a.Targets >= k.q.Targets {
		c.targets.Update(now, a.From.Name, uint64(a.From.Start), a.Changes, keepTargets)
		k.q.Targets = a.Targets
	}
	if a.Hosts >= k.q.Hosts {
		c.takeHosts(now, k, a)
	}
	if a.RoutingState != nil && a.RoutingState.Revision > c.shared.Revision {
		k.told = a.RoutingState.Revision
		changed = c.adopt(a.RoutingState) || changed
	}
	c.mu.Unlock()
	if c.OnControlHost != nil {
		c.OnControlHost(a.From)
	}
	if changed && c.Changed != nil {
		c.Changed()
	}
}

// adopt takes a newer shared state, unless the source of its routing document is
// missing. It reports whether it did. The client is locked.
func (c *Client) adopt(s *control.RoutingState) bool {
	routing := s.Routing
	switch {
	case routing.Version <= c.shared.Routing.Version:
		routing = c.shared.Routing
	case len(routing.Source) == 0:
		return false
	}
	c.shared = *s
	c.shared.Routing = routing
	c.Log.Info().Uint64("revision", s.Revision).Uint64("routing", routing.Version).Strs("out", s.Out).Int("moves", len(s.Moves)).
		Msg("control state followed")
	return true
}

// Notify tells all control hosts at once about a change of this host.
func (c *Client) Notify(ctx context.Context) {
	c.mu.Lock()
	contacts := make([]*contact, 0, len(c.contacts))
	for _, k := range c.contacts {
		contacts = append(contacts, k)
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, k := range contacts {
		wg.Go(func() {
			if err := c.ask(ctx, k, PollRequest{}); err != nil {
				c.Log.Debug().Err(err).Stringer("address", k.client.Address).Msg("control host not told")
			}
		})
	}
	wg.Wait()
}

// RoutingState returns the newest shared state.
func (c *Client) RoutingState() control.RoutingState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shared
}

// Targets returns the targets that may get work; see registry.MergedTable.Targets.
func (c *Client) Targets() (map[string][]*control.Target, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets.Targets(c.Clock.Now())
}

// CallAny calls a method of one control host after the other until one answers.
func (c *Client) CallAny(ctx context.Context, method string, params any) error {
	c.mu.Lock()
	var clients []*peer.Client
	for _, k := range c.contacts {
		if !k.lost {
			clients = append(clients, k.client)
		}
	}
	c.mu.Unlock()
	var err error
	for _, client := range clients {
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		err = client.Call(call, method, params, &struct{}{})
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
