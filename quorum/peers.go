package quorum

import (
	"crypto/tls"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"wasabirelay/peer"
)

// Peers holds the peer addresses of the control hosts by host name. Hosts may be
// added while the replica runs. Exported fields are set before use. It is safe for
// concurrent use.
type Peers struct {
	// Self is the name of this host. It has no client.
	Self string
	TLS  *tls.Config
	// DialTimeout bounds a connection attempt; see peer.Client.
	DialTimeout time.Duration

	mu        sync.Mutex
	addresses map[string]netip.AddrPort
	clients   map[string]*peer.Client
}

// Set adds a host or changes its address. It reports whether that is news.
func (b *Peers) Set(host string, address netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.addresses[host] == address {
		return false
	}
	if b.addresses == nil {
		b.addresses, b.clients = map[string]netip.AddrPort{}, map[string]*peer.Client{}
	}
	b.addresses[host] = address
	if old := b.clients[host]; old != nil {
		old.Close()
	}
	if host != b.Self {
		b.clients[host] = &peer.Client{Address: address, TLS: b.TLS, Dial: b.DialTimeout}
	}
	return true
}

// Client returns the client of another host.
func (b *Peers) Client(host string) (*peer.Client, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.clients[host]
	return c, ok
}

// Address returns the peer address of a host.
func (b *Peers) Address(host string) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.addresses[host]
	return a, ok
}

// Hosts returns the names of all hosts in order, this one included.
func (b *Peers) Hosts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.addresses))
}

// Clients returns the clients of all other hosts by host name.
func (b *Peers) Clients() map[string]*peer.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.clients)
}
