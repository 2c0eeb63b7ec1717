package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func document(change func(*Document)) *Document {
	d := &Document{
		Version: 1,
		Routes: []Route{
			{Name: "all", Host: "h", Prefix: "/a/", Timeout: time.Second, Shards: []string{"s1", "s2"}, MinShardFraction: 0.5},
			{Name: "one", Host: "h", Prefix: "/a/b/", Timeout: time.Second, Backends: []Backend{{"s1", 1}, {"s2", 3}}},
		},
		Services: []Service{{Name: "s1"}, {Name: "s2"}},
	}
	if change != nil {
		change(d)
	}
	return d
}

// Guards against a document in force that an operator must be told to be invalid.
func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Document)
		route  string
	}{
		{"valid", nil, ""},
		{"unknown shard", func(d *Document) { d.Routes[0].Shards[1] = "s9" }, "all"},
		{"unknown backend", func(d *Document) { d.Routes[1].Backends[0].Service = "s9" }, "one"},
		{"same place", func(d *Document) { d.Routes[1].Prefix = "/a/" }, "one"},
		{"same place in another case", func(d *Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/a/", "H" }, "one"},
		{"weights of 0", func(d *Document) { d.Routes[1].Backends = []Backend{{"s1", 0}, {"s2", 0}} }, "one"},
		{"negative weight", func(d *Document) { d.Routes[1].Backends[0].Weight = -1 }, "one"},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, "all"},
		{"no host", func(d *Document) { d.Routes[0].Host = "" }, "all"},
		{"prefix without a slash", func(d *Document) { d.Routes[0].Prefix = "/a" }, "all"},
		{"neither shards nor backends", func(d *Document) { d.Routes[0].Shards = nil }, "all"},
		{"share above 1", func(d *Document) { d.Routes[0].MinShardFraction = 1.5 }, "all"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := document(tt.change).Check()
			if tt.route == "" {
				is.NoErr(err)
				return
			}
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Route, tt.route)
		})
	}
}

// Guards against a request that runs on another route than its longest prefix.
func TestMatch(t *testing.T) {
	table := NewTable(document(nil))
	for _, tt := range []struct{ host, path, want string }{
		{"h", "/a/x", "all"},
		{"h", "/a/b/x", "one"},
		{"H:8080", "/a/b/", "one"},
		{"h", "/a", ""},
		{"h", "/ab/", ""},
		{"other", "/a/", ""},
	} {
		name := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			name = r.Name
		}
		if name != tt.want {
			t.Errorf("Match(%q, %q) = %q, want %q", tt.host, tt.path, name, tt.want)
		}
	}
}

// Guards against an answer with too few shards, and against one shard too many
// because of rounding.
func TestNeeded(t *testing.T) {
	for _, tt := range []struct {
		shards int
		quorum float64
		want   int
	}{{10, 0.89, 9}, {10, 0.75, 8}, {36, 0.95, 35}, {100, 0.89, 89}, {10, 0, 1}, {10, 1, 10}, {3, 0.1, 1}} {
		r := Route{Shards: make([]string, tt.shards), MinShardFraction: tt.quorum}
		if got := r.RequiredShards(); got != tt.want {
			t.Errorf("%d shards, share %g: %d needed, want %d", tt.shards, tt.quorum, got, tt.want)
		}
	}
}
