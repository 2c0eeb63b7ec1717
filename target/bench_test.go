package target

import (
	"fmt"
	"net/netip"
	"testing"

	"wasabirelay/control"
	"wasabirelay/inventory"
)

// Measures one check of the table at the size to design for: 8,200 targets and
// 1,300 hosts, all of them serving, or with one data centre of 11 away.
func BenchmarkExpire(b *testing.B) {
	const targets, hosts, centres = 8200, 1300, 11
	for _, away := range []int{0, hosts / centres} {
		b.Run(fmt.Sprint("away-", away), func(b *testing.B) {
			v := &control.View{
				Revision: 1, Targets: map[string][]*control.Target{}, Inventory: &inventory.Document{Hosts: map[string]inventory.Host{}},
			}
			s := Input{Now: start, View: v, Addresses: []string{}}
			for i := range hosts {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7101)
				v.Inventory.Hosts[fmt.Sprint("h", i)] = inventory.Host{Caller: a}
				if i < hosts-away {
					s.Addresses = append(s.Addresses, a.String())
				}
			}
			for i := range targets {
				t := announced(fmt.Sprint("od-", i), fmt.Sprint("h", i%hosts))
				v.Targets[t.Service] = append(v.Targets[t.Service], t)
			}
			table := Table{Host: "h1"}
			for b.Loop() {
				s.Now = s.Now.Add(period)
				table.Expire(s)
			}
		})
	}
}
