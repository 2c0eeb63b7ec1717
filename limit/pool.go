// Package limit bounds the work that this host sends to targets: it divides the connections of
// targets among hosts, keeps connections open, adapts the number of sub-requests in flight to
// what a target accepts, and refuses early what can't be answered in time.
package limit

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"wasabirelay/control"
)

const (
	// defaultMaxBody is the maximum size of a reply body in bytes unless MaxBody is set.
	defaultMaxBody = 1 << 20
	// defaultDrainTimeout is the default of DrainTimeout. It is about 10 times the usual
	// deadline of a query.
	defaultDrainTimeout = time.Second
	// defaultConnectTimeout is the default of ConnectTimeout.
	defaultConnectTimeout = time.Second
)

// Share is this host's share of a target's capacity.
type Share struct {
	Incarnation string
	Address     netip.AddrPort
	// Connections is the number of connections that this host may open.
	Connections int
	// Slots is the number of sub-requests that the target processes concurrently for all hosts
	// together, 0 if unknown. It is the initial in-flight limit.
	Slots int
	// Warm is the number of connections to open ahead of use.
	Warm int
	// CloseAfterUse closes connections after use: the host has no regular work for the target
	// and leaves its connections to other hosts.
	CloseAfterUse bool
	// CapAtWarm limits the connections that are opened ahead of use to Warm, even while others
	// are in use.
	CapAtWarm bool
}

// Pool sends sub-requests over HTTP/1.1 connections within this host's shares. Exported fields
// are set before use. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; nil stands for net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock is the source of time; nil stands for the real clock.
	Clock clockwork.Clock
	// TLS is the client configuration; nil means that connections are not encrypted.
	TLS *tls.Config
	// MaxBody is the maximum size of a reply body in bytes, 1 MiB if 0.
	MaxBody int64
	// DrainTimeout bounds how long the pool waits for the reply of a cancelled sub-request
	// before it closes the connection, 1 s if 0.
	DrainTimeout time.Duration
	// ConnectTimeout bounds the time to open a connection, including the TLS handshake, 1 s if
	// 0.
	ConnectTimeout time.Duration

	// AcceptDelay is the time between opening a connection and checking that the target has
	// not closed it, before its first use; 0 disables the check. A target without a free
	// connection accepts the connection and resets it at once. If a request had been sent by
	// then, this host could not tell whether it ran.
	AcceptDelay time.Duration

	// CheckReply, if set, returns an error if a complete reply does not belong to the request.
	// The connection is closed then, because later replies on it can't be trusted either.
	CheckReply func(req *http.Request, res *Response) error
	// ReplyID, if set, returns the EncodedRequest.ID of the sub-request that a reply names in its header, or "" if it
	// names none. A late copy of an earlier reply on the connection, and a reply without an ID that may be one, is then
	// skipped instead of closing the connection. A reply that names a sub-request which the connection has not
	// carried is rejected before its body is read.
	ReplyID func(res *Response) string
	// IsReply, if set, reports whether a header is that of a target's reply. A body whose end is doubtful is rejected if
	// it holds such a header.
	IsReply func(res *Response) bool
	// OnSkipped, if set, is called with each late copy that is skipped and the address of its target.
	OnSkipped func(address netip.AddrPort, res *Response)
	// AllowUnframed accepts replies whose body ends with the connection if their head says that it closes. A reply
	// counts as truncated in any case if its connection is reset.
	AllowUnframed bool
	// Contended is true if callers compete for room: requests wait in the order of their ranks, see AcquireFor.
	Contended bool

	mu      sync.RWMutex
	targets map[string]*targetPool
	closed  bool
}

// SetShares replaces the shares, by target name. If a target was removed or has a new
// incarnation or address, its connections are closed once their sub-requests have ended.
func (p *Pool) SetShares(shares map[string]Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for name, t := range p.targets {
		s, ok := shares[name]
		if ok && s.Incarnation == t.incarnation && s.Address == t.address {
			t.setShare(s)
			continue
		}
		t.retire()
		delete(p.targets, name)
	}
	if p.targets == nil {
		p.targets = map[string]*targetPool{}
	}
	for name, s := range shares {
		if _, ok := p.targets[name]; !ok {
			t := &targetPool{pool: p, incarnation: s.Incarnation, address: s.Address, limit: initialLimit(s)}
			p.targets[name] = t
			t.setShare(s)
		}
	}
}

// Close refuses new sub-requests. It closes idle connections at once and the others when their
// sub-requests have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for name, t := range p.targets {
		t.retire()
		delete(p.targets, name)
	}
}

// Acquire waits until one sub-request may be sent to the target. Waiting requests are served
// in the order of the deadlines of their contexts. The error is a *RefusedError; nothing was
// sent in that case. The caller must release the permit.
func (p *Pool) Acquire(ctx context.Context, target *control.Target) (*Permit, error) {
	t := p.targetPool(target)
	if t == nil {
		return nil, &RefusedError{Target: target.Name, Reason: NoShare}
	}
	permit, err := t.acquire(ctx)
	if err != nil {
		err.Target = target.Name
		return nil, err
	}
	return permit, nil
}

// targetPool returns the pool of the target's incarnation, or nil if this host has no share.
func (p *Pool) targetPool(target *control.Target) *targetPool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if t, ok := p.targets[target.Name]; ok && t.incarnation == target.Incarnation {
		return t
	}
	return nil
}

// HasShare reports whether this host may open connections to the target's incarnation. If a
// target has fewer connections than there are hosts, some hosts have none.
func (p *Pool) HasShare(target *control.Target) bool {
	t := p.targetPool(target)
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share.Connections > 0
}

// HasRoom reports whether a sub-request to the target's incarnation would be sent without
// waiting for others of this host.
func (p *Pool) HasRoom(target *control.Target) bool {
	t := p.targetPool(target)
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasRoom() && t.queue.Len() == 0 && t.ranked.Len() == 0
}

// Sweep replaces idle connections that targets have closed. To keep connections open ahead of
// use, call it about once a second.
func (p *Pool) Sweep() {
	p.mu.RLock()
	targets := slices.Collect(maps.Values(p.targets))
	p.mu.RUnlock()
	for _, t := range targets {
		t.sweep()
	}
}

func (p *Pool) clock() clockwork.Clock {
	if p.Clock == nil {
		return realClock
	}
	return p.Clock
}

var realClock = clockwork.NewRealClock()

func (p *Pool) maxBody() int64 {
	if p.MaxBody == 0 {
		return defaultMaxBody
	}
	return p.MaxBody
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// connect opens a connection to the address.
func (p *Pool) connect(address netip.AddrPort) (*connection, error) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock(), orDefault(p.ConnectTimeout, defaultConnectTimeout))
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	raw := &targetConn{Conn: conn}
	if p.TLS == nil {
		return newConnection(raw, raw, address), nil
	}
	config := p.TLS
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName = address.Addr().String()
	}
	secure := tls.Client(raw, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return newConnection(raw, secure, address), nil
}
