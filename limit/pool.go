// Package limit keeps the work that this host sends to targets within bounds: it
// divides the connections of targets among hosts, keeps connections open, adapts
// the number of sub-requests in flight to what a target accepts, and refuses early
// what can't be answered in time.
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
	// defaultMaxBody is the largest reply body in bytes unless MaxBody is set.
	defaultMaxBody = 1 << 20
	// defaultDrain is how long the reply of a cancelled sub-request is awaited before
	// its connection is closed. It is some 10 times the usual deadline of a query.
	defaultDrain = time.Second
	// defaultConnect bounds the time to open a connection, TLS included.
	defaultConnect = time.Second
)

// Share is what this host may use of a target.
type Share struct {
	Incarnation string
	Address     netip.AddrPort
	// Connections is the number of connections that this host may open.
	Connections int
	// Slots is the number of sub-requests that the target runs at the same time for
	// all hosts together, 0 if unknown. It is where the in-flight limit starts.
	Slots int
	// Warm is the number of connections that are opened ahead of use.
	Warm int
	// CloseAfterUse states that connections are closed after use: the host has no regular work for
	// the target and leaves its connections to others.
	CloseAfterUse bool
	// CapAtWarm states that no more than Warm connections are opened ahead, also while
	// others are in use.
	CapAtWarm bool
}

// Pool sends sub-requests over HTTP/1.1 connections within the shares of this
// host. Exported fields are set before use. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; nil stands for net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock is the source of time; nil stands for the real clock.
	Clock clockwork.Clock
	// TLS is the client configuration; nil stands for plain text.
	TLS *tls.Config
	// MaxBody is the largest reply body in bytes, 1 MiB if 0.
	MaxBody int64
	// DrainTimeout bounds how long the reply of a cancelled sub-request is awaited, 1 s if 0.
	DrainTimeout time.Duration
	// ConnectTimeout bounds how long opening a connection may take, 1 s if 0.
	ConnectTimeout time.Duration

	// AcceptDelay is how long after its opening a connection is checked before its first use; 0
	// stands for no check. A target without room for it accepts and resets it at once, and
	// a request that has been sent by then may have run as far as this host can tell.
	AcceptDelay time.Duration

	// CheckReply, if set, reports why a whole reply is not the reply to the request. The
	// connection is closed then, because what follows on it can't be trusted either.
	CheckReply func(req *http.Request, res *Response) error
	// AllowUnframed accepts replies whose end is the end of the connection. A reply whose
	// connection is reset is cut short in any case.
	AllowUnframed bool

	mu      sync.RWMutex
	members map[string]*member
	closed  bool
}

// SetShares replaces the shares, by target name. Connections of targets that are
// gone, or that have a new incarnation or address, are closed once the sub-requests
// on them have ended.
func (p *Pool) SetShares(shares map[string]Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for name, m := range p.members {
		s, ok := shares[name]
		if ok && s.Incarnation == m.incarnation && s.Address == m.address {
			m.resize(s)
			continue
		}
		m.retire()
		delete(p.members, name)
	}
	if p.members == nil {
		p.members = map[string]*member{}
	}
	for name, s := range shares {
		if _, ok := p.members[name]; !ok {
			m := &member{pool: p, incarnation: s.Incarnation, address: s.Address, limit: startLimit(s)}
			p.members[name] = m
			m.resize(s)
		}
	}
}

// Close refuses new sub-requests and closes the connections that are not in use,
// and the others once the sub-requests on them have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for name, m := range p.members {
		m.retire()
		delete(p.members, name)
	}
}

// Acquire waits for room to send one sub-request to the target. Requests that wait
// are served in the order of the deadlines of their contexts. The error is a
// *RefusedError; nothing was sent then. The permit must be released.
func (p *Pool) Acquire(ctx context.Context, target *control.Target) (*Permit, error) {
	m := p.member(target)
	if m == nil {
		return nil, &RefusedError{Target: target.Name, Reason: NoShare}
	}
	permit, err := m.acquire(ctx)
	if err != nil {
		err.Target = target.Name
		return nil, err
	}
	return permit, nil
}

// member returns the state of the target's incarnation, nil if this host has no share.
func (p *Pool) member(target *control.Target) *member {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if m, ok := p.members[target.Name]; ok && m.incarnation == target.Incarnation {
		return m
	}
	return nil
}

// HasShare reports whether this host may open connections to the target's
// incarnation. With fewer connections than hosts, some hosts have none.
func (p *Pool) HasShare(target *control.Target) bool {
	m := p.member(target)
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.share.Connections > 0
}

// HasRoom reports whether a sub-request to the target's incarnation would not wait for
// others of this host.
func (p *Pool) HasRoom(target *control.Target) bool {
	m := p.member(target)
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.room() && m.queue.Len() == 0
}

// Sweep replaces idle connections that targets have closed. Called every second or
// so, it keeps connections open ahead of use.
func (p *Pool) Sweep() {
	p.mu.RLock()
	members := slices.Collect(maps.Values(p.members))
	p.mu.RUnlock()
	for _, m := range members {
		m.sweep()
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

func orDefault(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return d
}

// connect opens a connection to the address.
func (p *Pool) connect(address netip.AddrPort) (*connection, error) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock(), orDefault(p.ConnectTimeout, defaultConnect))
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	raw := &countingConn{Conn: conn}
	if p.TLS == nil {
		return newConnection(raw, raw), nil
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
	return newConnection(raw, secure), nil
}
