package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wasabirelay/exchange"
)

const (
	// maxAddresses is how many addresses callers take from one answer.
	maxAddresses = 64
	// gathering is how long after its start a host names no addresses: those that it
	// has not heard of yet would be missing.
	gathering = 600 * time.Millisecond
)

// CallerAddresses implements AddressService.
func (e *Entry) CallerAddresses(centre string) ([]netip.AddrPort, time.Duration) {
	if !e.serving() || e.age() < gathering {
		return nil, e.Settings.AddressTTL
	}
	return callers(e.client.Active(), centre), e.Settings.AddressTTL
}

// CallerAddresses implements AddressService.
func (c *Control) CallerAddresses(centre string) ([]netip.AddrPort, time.Duration) {
	if c.draining.Load() || c.age() < gathering {
		return nil, c.Settings.AddressTTL
	}
	return callers(c.client.Active(), centre), c.Settings.AddressTTL
}

// callers returns the addresses of the hosts that serve callers, those of the data
// centre first, each in random order.
func callers(hosts []exchange.Host, centre string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, h := range hosts {
		switch {
		case h.Draining || !h.Caller.IsValid():
		case h.Centre == centre:
			near = append(near, h.Caller)
		default:
			far = append(far, h.Caller)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	list := slices.Concat(near, far)
	return list[:min(len(list), maxAddresses)]
}
