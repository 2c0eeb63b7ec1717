package target

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabirelay/inventory"
)

// serving holds the hosts that serve. It is cached between checks, because at 1,300 hosts
// its construction costs more than a check.
type serving struct {
	inventory  *inventory.Document
	addresses  []string
	names      map[string]bool
	hashes     []hostHash
	successors map[string]string // cached results of successor by target name
}

type hostHash struct {
	name string
	hash uint64
}

// update rebuilds the hosts if the inventory or the addresses have changed.
func (v *serving) update(in Input) {
	if v.inventory == in.View.Inventory && v.isKnown() == (in.Addresses != nil) && slices.Equal(v.addresses, in.Addresses) {
		return
	}
	*v = serving{inventory: in.View.Inventory, addresses: slices.Clone(in.Addresses)}
	if in.Addresses == nil {
		return
	}
	v.names, v.successors = map[string]bool{}, map[string]string{}
	listed := map[string]bool{}
	for _, a := range in.Addresses {
		listed[a] = true
	}
	for name, host := range in.View.Inventory.Hosts {
		if listed[host.Caller.String()] {
			v.names[name] = true
			v.hashes = append(v.hashes, hostHash{name, xxhash.Sum64String(name)})
		}
	}
}

// isKnown reports whether the set of serving hosts is known.
func (v *serving) isKnown() bool { return v.names != nil }

// successor returns the host that is responsible for a target whose home does not serve,
// chosen by rendezvous hashing, or "" if no host serves.
func (v *serving) successor(target string) string {
	if host, ok := v.successors[target]; ok {
		return host
	}
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(target))
	best, bestHash := "", uint64(0)
	for _, host := range v.hashes {
		binary.LittleEndian.PutUint64(pair[8:], host.hash)
		if h := xxhash.Sum64(pair[:]); best == "" || h > bestHash {
			best, bestHash = host.name, h
		}
	}
	v.successors[target] = best
	return best
}
