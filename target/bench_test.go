package target

import (
	"fmt"
	"net/netip"
	"testing"

	"wasabirelay/control"
	"wasabirelay/inventory"
)

// Measures one check of the table at the design size of 8,200 targets and 1,300 hosts.
// Either all hosts serve, or one data centre of 11 is unavailable.
func BenchmarkExpire(b *testing.B) {
	const targets, hosts, centres = 8200, 1300, 11
	for _, away := range []int{0, hosts / centres} {
		b.Run(fmt.Sprint("away-", away), func(b *testing.B) {
			v := &control.View{
				Revision: 1, Targets: map[string][]*control.Target{}, Inventory: &inventory.Document{Hosts: map[string]inventory.Host{}},
			}
			in := Input{Now: start, View: v, Addresses: []string{}}
			for i := range hosts {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7101)
				v.Inventory.Hosts[fmt.Sprint("h", i)] = inventory.Host{Caller: a}
				if i < hosts-away {
					in.Addresses = append(in.Addresses, a.String())
				}
			}
			for i := range targets {
				t := newTarget(fmt.Sprint("od-", i), fmt.Sprint("h", i%hosts))
				v.Targets[t.Service] = append(v.Targets[t.Service], t)
			}
			table := Table{Host: "h1"}
			for b.Loop() {
				in.Now = in.Now.Add(checkInterval)
				table.Expire(in)
			}
		})
	}
}
