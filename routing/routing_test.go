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

// Guards against accepting an invalid document instead of reporting its fault to the operator.
func TestDocumentCheck(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Document)
		route  string
	}{
		{"valid", nil, ""},
		{"unknown shard", func(d *Document) { d.Routes[0].Shards[1] = "s9" }, "all"},
		{"unknown backend", func(d *Document) { d.Routes[1].Backends[0].Service = "s9" }, "one"},
		{"same host and prefix", func(d *Document) { d.Routes[1].Prefix = "/a/" }, "one"},
		{"same host and prefix in another case", func(d *Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/a/", "H" }, "one"},
		{"weights of 0", func(d *Document) { d.Routes[1].Backends = []Backend{{"s1", 0}, {"s2", 0}} }, "one"},
		{"negative weight", func(d *Document) { d.Routes[1].Backends[0].Weight = -1 }, "one"},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, "all"},
		{"no host", func(d *Document) { d.Routes[0].Host = "" }, "all"},
		{"prefix without a slash", func(d *Document) { d.Routes[0].Prefix = "/a" }, "all"},
		{"neither shards nor backends", func(d *Document) { d.Routes[0].Shards = nil }, "all"},
		{"shard fraction above 1", func(d *Document) { d.Routes[0].MinShardFraction = 1.5 }, "all"},
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

// Guards against a request that uses another route than the one with the longest prefix.
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

// Guards against an answer with too few shards, and against requiring one shard too many
// because of rounding errors.
func TestRequiredShards(t *testing.T) {
	for _, tt := range []struct {
		shards   int
		fraction float64
		want     int
	}{{10, 0.89, 9}, {10, 0.75, 8}, {36, 0.95, 35}, {100, 0.89, 89}, {10, 0, 1}, {10, 1, 10}, {3, 0.1, 1}} {
		r := Route{Shards: make([]string, tt.shards), MinShardFraction: tt.fraction}
		if got := r.RequiredShards(); got != tt.want {
			t.Errorf("%d shards, fraction %g: got %d required shards, want %d", tt.shards, tt.fraction, got, tt.want)
		}
	}
}
