package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wasabirelay/exchange"
)

const (
	// maxAddresses is the maximum number of addresses in one list for callers.
	maxAddresses = 64
	// discoveryDelay is the time after the start during which a host returns no addresses: the
	// list would lack the hosts that it has not discovered yet.
	discoveryDelay = 600 * time.Millisecond
)

// CallerAddresses implements AddressService.
func (e *Entry) CallerAddresses(centre string) ([]netip.AddrPort, time.Duration) {
	if !e.serving() || e.age() < discoveryDelay {
		return nil, e.Settings.AddressTTL
	}
	return callerAddresses(e.client.Active(), centre), e.Settings.AddressTTL
}

// CallerAddresses implements AddressService.
func (c *Control) CallerAddresses(centre string) ([]netip.AddrPort, time.Duration) {
	if c.draining.Load() || c.age() < discoveryDelay {
		return nil, c.Settings.AddressTTL
	}
	return callerAddresses(c.client.Active(), centre), c.Settings.AddressTTL
}

// callerAddresses returns the addresses of the hosts that serve callers: first those of the
// given data centre, then all others, each part in random order.
func callerAddresses(hosts []exchange.Host, centre string) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, h := range hosts {
		switch {
		case h.Draining || !h.Caller.IsValid():
		case h.Centre == centre:
			local = append(local, h.Caller)
		default:
			remote = append(remote, h.Caller)
		}
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	list := slices.Concat(local, remote)
	return list[:min(len(list), maxAddresses)]
}
