package limit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabirelay/control"
)

// Shares returns the number of connections to each target, by name, that the host self may
// open. All hosts that have the same list of hosts compute the same division, in which the
// shares of a target add up to its connections: each host gets connections / hosts, and the
// remainder goes, one each, to the hosts that rank first for the target by rendezvous hashing.
// A host that is not in hosts gets none. If a target announces no connections, no host gets
// any.
func Shares(hosts []string, self string, targets []*control.Target) map[string]int {
	hosts = slices.Compact(slices.Sorted(slices.Values(hosts)))
	shares := make(map[string]int, len(targets))
	member := slices.Contains(hosts, self)
	for _, t := range targets {
		if !member || t.Connections <= 0 {
			shares[t.Name] = 0
			continue
		}
		shares[t.Name] = t.Connections / len(hosts)
		if rest := t.Connections % len(hosts); rest > 0 && Rank(hosts, self, t.Name) < rest {
			shares[t.Name]++
		}
	}
	return shares
}

// Rank returns the position of the host among the hosts for the target. Hosts with equal
// scores are ordered by name.
func Rank(hosts []string, self, target string) int {
	own, before := Score(self, target), 0
	for _, h := range hosts {
		if s := Score(h, target); s > own || s == own && h < self {
			before++
		}
	}
	return before
}

// Score returns the rendezvous hash of the host and the target; higher scores rank first.
func Score(host, target string) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], host...)
	text = append(text, 0) // separator that can't be part of a name
	return xxhash.Sum64(append(text, target...))
}
