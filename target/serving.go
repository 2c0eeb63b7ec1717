package target

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabirelay/inventory"
)

// serving holds the hosts that serve. It is kept from one check to the next,
// because at 1,300 hosts its construction costs more than the check itself.
type serving struct {
	inventory *inventory.Document
	addresses []string
	names     map[string]bool
	hosts     []hashed
	chosen    map[string]string // successor by target, as far as it was asked for
}

type hashed struct {
	name string
	hash uint64
}

// update brings the hosts up to date with the situation.
func (v *serving) update(s Input) {
	if v.inventory == s.View.Inventory && v.known() == (s.Addresses != nil) && slices.Equal(v.addresses, s.Addresses) {
		return
	}
	*v = serving{inventory: s.View.Inventory, addresses: slices.Clone(s.Addresses)}
	if s.Addresses == nil {
		return
	}
	v.names, v.chosen = map[string]bool{}, map[string]string{}
	listed := map[string]bool{}
	for _, a := range s.Addresses {
		listed[a] = true
	}
	for name, host := range s.View.Inventory.Hosts {
		if listed[host.Caller.String()] {
			v.names[name] = true
			v.hosts = append(v.hosts, hashed{name, xxhash.Sum64String(name)})
		}
	}
}

// known reports whether it is known which hosts serve.
func (v *serving) known() bool { return v.names != nil }

// successor returns the host that watches a target whose home does not serve, by
// rendezvous hashing, or "" if no host serves.
func (v *serving) successor(target string) string {
	if host, ok := v.chosen[target]; ok {
		return host
	}
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(target))
	best, most := "", uint64(0)
	for _, host := range v.hosts {
		binary.LittleEndian.PutUint64(pair[8:], host.hash)
		if h := xxhash.Sum64(pair[:]); best == "" || h > most {
			best, most = host.name, h
		}
	}
	v.chosen[target] = best
	return best
}
