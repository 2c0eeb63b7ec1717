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

// Peers holds the peer addresses and the clients of the control hosts by host name. Hosts may
// be added while the replica runs. Exported fields must be set before use. Peers is safe for
// concurrent use.
type Peers struct {
	// Self is the name of this host, which has no client.
	Self string
	TLS  *tls.Config
	// DialTimeout bounds a connection attempt; see peer.Client.
	DialTimeout time.Duration

	mu        sync.Mutex
	addresses map[string]netip.AddrPort
	clients   map[string]*peer.Client
}

// Set adds a host or changes its address. It reports whether the address is new.
func (p *Peers) Set(host string, address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses[host] == address {
		return false
	}
	if p.addresses == nil {
		p.addresses, p.clients = map[string]netip.AddrPort{}, map[string]*peer.Client{}
	}
	p.addresses[host] = address
	if old := p.clients[host]; old != nil {
		old.Close()
	}
	if host != p.Self {
		p.clients[host] = &peer.Client{Address: address, TLS: p.TLS, DialTimeout: p.DialTimeout}
	}
	return true
}

// Client returns the client of another host.
func (p *Peers) Client(host string) (*peer.Client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[host]
	return c, ok
}

// Address returns the peer address of a host.
func (p *Peers) Address(host string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.addresses[host]
	return a, ok
}

// Hosts returns the sorted names of all hosts, including this one.
func (p *Peers) Hosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.addresses))
}

// Clients returns the clients of all other hosts by host name.
func (p *Peers) Clients() map[string]*peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.clients)
}
