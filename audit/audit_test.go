package audit

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/inventory"
	"wasabirelay/routing"
)

func document() *routing.Document {
	return &routing.Document{
		Version: 7,
		Routes: []routing.Route{
			{Name: "find", Host: "a.example", Prefix: "/find/", Idempotent: true, Timeout: time.Second, Objective: 80 * time.Millisecond, Attempts: 2, Shards: []string{"s0", "s1"}, ResultLimit: 10},
			{Name: "item", Host: "a.example", Prefix: "/item/", Timeout: time.Second, Objective: 80 * time.Millisecond, Attempts: 1, Backends: []routing.Backend{{Service: "single", Weight: 1}}},
		},
		Services: []routing.Service{{Name: "s0", Connections: 20}, {Name: "s1", Connections: 20}, {Name: "single", Connections: 20}},
		Limits:   routing.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Guards against findings in a document that has nothing wrong, and against entries without effect and limits that
// contradict each other which the operator isn't told of.
func TestFindings(t *testing.T) {
	rank := 1
	keyed := func(d *routing.Document) {
		d.Organisations = []routing.Organisation{{Name: "north", Keys: []string{"k1"}}, {Name: "south", Keys: []string{"k2"}}}
	}
	for _, tt := range []struct {
		name   string
		change func(d *routing.Document)
		want   string // kind and entry of the only finding
	}{
		{"sound", func(*routing.Document) {}, ""},
		{"sound with organisations", keyed, ""},
		{"query in the prefix", func(d *routing.Document) { d.Routes[0].Prefix = "/find?x/" }, "unreachable route find"},
		{"path in the host", func(d *routing.Document) { d.Routes[0].Host = "a.example/find" }, "unreachable route find"},
		{"weight 0", func(d *routing.Document) {
			d.Routes[1].Backends = append(d.Routes[1].Backends, routing.Backend{Service: "s0"})
		}, "unreachable route item"},
		{"objective above the timeout", func(d *routing.Document) { d.Routes[0].Objective = 2 * time.Second }, "contradiction route find"},
		{"repeats of requests that may run once", func(d *routing.Document) { d.Routes[0].Idempotent = false }, "contradiction route find"},
		{"empty answers", func(d *routing.Document) { d.Routes[0].ResultLimit = 0 }, "contradiction route find"},
		{"unused service", func(d *routing.Document) {
			d.Services = append(d.Services, routing.Service{Name: "old", Connections: 1})
		}, "unused service old"},
		{"no connections", func(d *routing.Document) { d.Services[2].Connections = 0 }, "contradiction service single"},
		{"fewer connections than hosts", func(d *routing.Document) { d.Services[2].Connections = 6 }, "contradiction service single"},
		{"keys without use", func(d *routing.Document) {
			keyed(d)
			d.Routes[0].Public, d.Routes[1].Public = true, true
		}, "unused organisations"},
		{"no key", func(d *routing.Document) {
			keyed(d)
			d.Organisations[0].Keys = nil
		}, "unreachable organisation north"},
		{"ranks without use", func(d *routing.Document) {
			keyed(d)
			d.Organisations[0].Rank, d.Organisations[1].Rank = &rank, &rank
		}, "unused organisations"},
		{"header timeout above the idle timeout", func(d *routing.Document) { d.Limits.HeaderTimeout = time.Minute }, "contradiction limits"},
		{"body above the memory", func(d *routing.Document) { d.Limits.BodyBytes = 1 << 30 }, "contradiction limits"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := document()
			tt.change(d)
			a := &Auditor{Memory: 184 << 20, Hosts: 7}
			var got []string
			for _, f := range a.Findings(d) {
				got = append(got, string(f.Kind)+" "+f.Entry)
			}
			is.Equal(strings.Join(got, "; "), tt.want)
		})
	}
}

// Guards against a difference that the operator isn't shown, and against keys in the output.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	before, after := document(), document()
	is.Equal(len(Differences(before, after)), 0)
	before.Organisations = []routing.Organisation{{Name: "north", Keys: []string{"secret1"}}, {Name: "south", Keys: []string{"secret2", "secret3"}}}
	after.Organisations = []routing.Organisation{{Name: "north"}, {Name: "south", Keys: []string{"secret3", "secret4"}}}
	after.Routes[0].Timeout = 2 * time.Second
	after.Routes[1].Name = "article"
	after.Services[0].Connections = 30
	after.Limits.BodyBytes = 1024
	is.Equal(Differences(before, after), []inventory.Change{
		{Field: "route article", To: "added"},
		{Field: "route find.timeout", From: "1s", To: "2s"},
		{Field: "route item", From: "removed"},
		{Field: "service s0.connections", From: "20", To: "30"},
		{Field: "organisation north.keys", From: "1 keys", To: "no key: the last one was removed"},
		{Field: "organisation south.keys", From: "2 keys", To: "2 keys (1 added, 1 removed)"},
		{Field: "limits.body", From: "262144", To: "1024"},
	})
}
