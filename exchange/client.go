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
	"wasabirelay/poison"
	"wasabirelay/registry"
)

const (
	// minBackoff is the delay after a failed poll; it doubles up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// fetchWait is the delay before the next poll while the routing document is being fetched
	// from another control host: a few round trips.
	fetchWait = 20 * time.Millisecond
	// forgetContactAfter is the time after which a control host is no longer polled if it does
	// not respond and no other control host lists it.
	forgetContactAfter = 30 * time.Second
	// previousRunTTL is how long the targets that a control host listed before its restart
	// remain valid: a few heartbeats, within which its targets announce themselves again.
	previousRunTTL = 5 * time.Second
)

// Client polls all control hosts and merges their responses. Exported fields are set
// before Run. It is safe for concurrent use.
type Client struct {
	// Self returns the description of this host that is sent to control hosts.
	Self func() Host
	// Seeds returns the peer addresses to poll first. They may change.
	Seeds func() []netip.AddrPort
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Load, if set, returns the fraction of its processor that this host uses to relay
	// requests.
	Load func() float64
	// OnControlHost, if set, is called with each control host that responds.
	OnControlHost func(Host)
	// OwnCrashes, if set, returns the records of requests that may crash targets that this host has to
	// publish after a revision, and their revision.
	OwnCrashes func(after uint64) ([]poison.Record, uint64)
	// MergeCrashes, if set, is called with the records that control hosts send.
	MergeCrashes func([]poison.Record)
	// ObserveTime, if set, is called with the time of day that control hosts send. Only then the client requests
	// it, and the holder of the duty.
	ObserveTime func(control string, timeOfDay time.Time)
	// DutyHolderChanged, if set, is called after a later holder of the duty is known.
	DutyHolderChanged func()
	// Changed, if set, is called after a change of targets, hosts or the routing state.
	Changed func()

	mu           sync.Mutex
	contacts     map[netip.AddrPort]*contact
	targets      registry.MergedTable
	routingState control.RoutingState
	// fetching is true while the routing document is requested from a control host.
	fetching bool
	// synced is when a control host that had finished starting last responded.
	synced time.Time
	// duty is the latest holder of the duty.
	duty DutyHolder
	// confirmed is when a control host last confirmed that routingState is the newest; superseded is when
	// one confirmed that for the last time of the state before it.
	confirmed, superseded time.Time
	runCtx                context.Context
}

// contact is a control host that is polled.
type contact struct {
	client *peer.Client
	cancel context.CancelFunc
	// host is the sender of the last response; its name is empty before the first one.
	host Host
	list map[string]Host
	// active is the number of active entry hosts according to this control host, entries
	// the number of all entry hosts.
	active, entries int
	// stateRevision is the newest revision of the routing state that it has sent.
	stateRevision uint64
	// seen holds the run of the control host and the revisions received from it.
	seen PollRequest
	// published is the revision of the records of requests that may crash targets that this run of the
	// control host has received.
	published    uint64
	lastResponse time.Time
	lastListed   time.Time
	unreachable  bool
}

// Run polls control hosts until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.runCtx = ctx
	c.mu.Unlock()
	ticker := c.Clock.NewTicker(maxBackoff)
	defer ticker.Stop()
	for {
		c.updateContacts()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// updateContacts starts to poll new control hosts and stops polling those that are gone.
func (c *Client) updateContacts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	for _, seed := range c.Seeds() {
		c.addContact(now, seed)
	}
	for address, k := range c.contacts {
		if now.Sub(k.lastListed) > forgetContactAfter && now.Sub(k.lastResponse) > forgetContactAfter {
			c.Log.Info().Stringer("address", address).Str("control", k.host.Name).Msg("control host removed: it does not respond and no other lists it")
			k.cancel()
			k.client.Close()
			delete(c.contacts, address)
			if !c.isContact(k.host.Name) {
				c.targets.Drop(k.host.Name)
			}
		}
	}
}

// isContact reports whether a control host of that name is polled. A control host that has returned
// at another address has a second contact. The caller holds c.mu.
func (c *Client) isContact(name string) bool {
	for _, k := range c.contacts {
		if k.host.Name == name {
			return true
		}
	}
	return false
}

// addContact starts to poll a control host. The caller holds c.mu.
func (c *Client) addContact(now time.Time, address netip.AddrPort) {
	if k := c.contacts[address]; k != nil {
		k.lastListed = now
		return
	}
	if c.contacts == nil {
		c.contacts = map[netip.AddrPort]*contact{}
	}
	ctx, cancel := context.WithCancel(c.runCtx)
	k := &contact{client: &peer.Client{Address: address, DialTimeout: DialTimeout}, cancel: cancel, lastListed: now}
	c.contacts[address] = k
	go c.pollLoop(ctx, k)
}

// pollLoop polls one control host until ctx ends.
func (c *Client) pollLoop(ctx context.Context, k *contact) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := c.poll(ctx, k, PollRequest{Wait: PollWait})
		if err == nil {
			backoff = minBackoff
			c.fetchDocument(ctx, k)
			continue
		}
		c.markUnreachable(ctx, k, err)
		select {
		case <-ctx.Done():
		case <-c.Clock.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) markUnreachable(ctx context.Context, k *contact, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !k.unreachable && ctx.Err() == nil {
		k.unreachable = true
		c.Log.Warn().Err(err).Str("control", k.host.Name).Stringer("address", k.client.Address).Msg("control host unreachable")
	}
}

// fetchDocument requests the routing document that the last response of a control host
// announced. If another control host is already sending the document, it waits for fetchWait
// instead: the next response would announce the same document again.
func (c *Client) fetchDocument(ctx context.Context, k *contact) {
	c.mu.Lock()
	wanted := k.stateRevision > c.routingState.Revision
	first := wanted && !c.fetching
	c.fetching = c.fetching || first
	c.mu.Unlock()
	switch {
	case first:
		if err := c.poll(ctx, k, PollRequest{Document: true}); err != nil {
			c.markUnreachable(ctx, k, err)
		}
		c.mu.Lock()
		c.fetching = false
		c.mu.Unlock()
	case wanted:
		select {
		case <-ctx.Done():
		case <-c.Clock.After(fetchWait):
		}
	}
}

// poll completes a poll request, sends it, and merges the response.
func (c *Client) poll(ctx context.Context, k *contact, request PollRequest) error {
	c.mu.Lock()
	request.From, request.Run, request.Targets, request.Hosts = c.Self(), k.seen.Run, k.seen.Targets, k.seen.Hosts
	request.RoutingState, request.Routing = c.routingState.Revision, c.routingState.Routing.Version
	if c.Load != nil {
		request.Load = c.Load()
	}
	published := k.published
	if c.OwnCrashes != nil {
		request.Crashes, published = c.OwnCrashes(published)
	}
	if c.MergeCrashes != nil {
		request.Known = max(k.seen.Known, 1)
	}
	if c.ObserveTime != nil {
		request.Duty = c.duty.Token + 1
	}
	c.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+responseTimeout)
	defer cancel()
	var response PollResponse
	if err := k.client.Call(callCtx, Method, request, &response); err != nil {
		return err
	}
	if err := response.decompress(); err != nil {
		return err
	}
	c.mergeDuty(&response)
	c.merge(k, &response)
	c.mergeCrashes(k, &response, request.Run, published)
	return nil
}

// mergeDuty merges the time of day and the holder of the duty of a response.
func (c *Client) mergeDuty(response *PollResponse) {
	if c.ObserveTime != nil && response.UnixMicro > 0 {
		c.ObserveTime(response.From.Name, time.UnixMicro(response.UnixMicro))
	}
	d := response.Duty
	if d == nil {
		return
	}
	c.mu.Lock()
	later := d.Token > c.duty.Token
	if later {
		c.duty = *d
	}
	c.mu.Unlock()
	if later && c.DutyHolderChanged != nil {
		c.DutyHolderChanged()
	}
}

// DutyHolder returns the latest holder of the duty that control hosts have told of. Its token is 0 if there is none.
func (c *Client) DutyHolder() DutyHolder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duty
}

// mergeCrashes merges the records of a response to a request that named a run of the control host and
// published records up to a revision.
func (c *Client) mergeCrashes(k *contact, response *PollResponse, run int64, published uint64) {
	if c.MergeCrashes != nil && len(response.Crashes) > 0 {
		c.MergeCrashes(response.Crashes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if run == response.From.Start && k.seen.Run == response.From.Start {
		k.published = max(k.published, published)
		k.seen.Known = max(k.seen.Known, response.Known+1)
	}
}

// merge merges a poll response.
func (c *Client) merge(k *contact, response *PollResponse) {
	c.mu.Lock()
	now := c.Clock.Now()
	if k.unreachable || k.host.Name == "" {
		c.Log.Info().Str("control", response.From.Name).Stringer("address", k.client.Address).Msg("control host reachable")
	}
	changed := k.unreachable || k.active != response.Active || k.entries != response.Entries || k.host != response.From || len(response.Changes) > 0 || len(response.List)+len(response.Gone) > 0 || response.Complete
	k.host, k.lastResponse, k.unreachable, k.active, k.entries = response.From, now, false, response.Active, response.Entries
	if !response.Starting {
		c.synced = now
	}
	if k.seen.Run != response.From.Start {
		k.seen, k.published = PollRequest{Run: response.From.Start}, 0
	}
	if response.Targets >= k.seen.Targets {
		c.targets.Update(now, response.From.Name, uint64(response.From.Start), response.Changes, previousRunTTL)
		k.seen.Targets = response.Targets
	}
	if response.Hosts >= k.seen.Hosts {
		c.mergeHosts(now, k, response)
	}
	if response.RoutingState != nil && response.RoutingState.Revision > c.routingState.Revision {
		k.stateRevision = response.RoutingState.Revision
		changed = c.adoptRoutingState(response.RoutingState) || changed
	}
	announced := response.RoutingState
	if !response.Detached && (announced == nil || announced.Revision <= c.routingState.Revision) {
		c.confirmed = now
	}
	c.mu.Unlock()
	if c.OnControlHost != nil {
		c.OnControlHost(response.From)
	}
	if changed && c.Changed != nil {
		c.Changed()
	}
}

// adoptRoutingState replaces the routing state by a newer one, unless the source of its routing
// document is missing. It reports whether it did. The caller holds c.mu.
func (c *Client) adoptRoutingState(s *control.RoutingState) bool {
	routing := s.Routing
	switch {
	case routing.Version <= c.routingState.Routing.Version:
		routing = c.routingState.Routing
	case len(routing.Source) == 0:
		return false
	}
	c.superseded = c.confirmed
	c.routingState = *s
	c.routingState.Routing = routing
	c.Log.Info().Uint64("revision", s.Revision).Uint64("routing", routing.Version).Strs("out", s.Out).Int("moves", len(s.Moves)).
		Msg("routing state updated")
	return true
}

// Notify sends the description of this host to all control hosts at once, after a change.
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
			if err := c.poll(ctx, k, PollRequest{}); err != nil {
				c.Log.Debug().Err(err).Stringer("address", k.client.Address).Msg("failed to notify the control host")
			}
		})
	}
	wg.Wait()
}

// RoutingState returns the newest routing state.
func (c *Client) RoutingState() control.RoutingState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routingState
}

// Confirmed returns when a control host last confirmed that the routing state of a revision is the newest;
// the zero time if none has.
func (c *Client) Confirmed(revision uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.routingState.Revision {
		return c.superseded
	}
	return c.confirmed
}

// Targets returns the targets that may receive requests; see registry.MergedTable.Targets.
func (c *Client) Targets() (map[string][]*control.Target, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets.Targets(c.Clock.Now())
}

// CallAny calls a method on one reachable control host after the other until a call succeeds.
func (c *Client) CallAny(ctx context.Context, method string, params any) error {
	c.mu.Lock()
	var clients []*peer.Client
	for _, k := range c.contacts {
		if !k.unreachable {
			clients = append(clients, k.client)
		}
	}
	c.mu.Unlock()
	var err error
	for _, client := range clients {
		callCtx, cancel := context.WithTimeout(ctx, responseTimeout)
		err = client.Call(callCtx, method, params, &struct{}{})
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
