// Package routing holds the routing document: which requests go to which services, and their
// time limits. The package does no I/O.
package routing

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Document is a routing document. The document with the highest version is in force.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are the customers whose keys callers present. If there are none, callers need
	// no key.
	Organisations []Organisation
}

// Route defines how requests for a host and a path prefix are handled. Either Shards or
// Backends is set.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true if a request may be executed more than once.
	Idempotent bool
	// Timeout is the maximum time for a request, Objective the latency that callers want.
	Timeout   time.Duration
	Objective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Attempts is the maximum number of targets, per shard, that a request is sent to.
	Attempts int
	// Shards are the services that each hold one shard of the index. A request goes to one
	// target of each.
	Shards []string
	// ResultLimit is the maximum number of records in a merged answer, MinShardFraction the
	// minimum fraction of shards that an answer needs.
	ResultLimit      int
	MinShardFraction float64
	// Backends are the services among which requests are divided by weight.
	Backends []Backend
	// Public is true if requests need no key of an organisation.
	Public bool
}

// Backend is a service with its weight in a route.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a group of equivalent targets.
type Service struct {
	Name string
	// Connections is the number of connections that each target accepts from all hosts
	// together.
	Connections int
	// ColdRate is the number of requests per second that a cold target accepts from all hosts
	// together.
	ColdRate float64
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// InvalidError reports why a document can't be put in force.
type InvalidError struct {
	// Route is the name of the invalid route; empty if the fault is not in a route.
	Route string
	// Organisation is the name of the invalid organisation; empty if the fault is not in one.
	Organisation string
	Reason       string
}

func (e *InvalidError) Error() string {
	switch {
	case e.Route != "":
		return fmt.Sprintf("routing document: route %s: %s", e.Route, e.Reason)
	case e.Organisation != "":
		return fmt.Sprintf("routing document: organisation %q: %s", e.Organisation, e.Reason)
	}
	return "routing document: " + e.Reason
}

// Check returns an *InvalidError if the document can't be put in force.
func (d *Document) Check() error {
	services := map[string]bool{}
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	seen := map[string]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if reason := r.invalidReason(services); reason != "" {
			return &InvalidError{Route: r.Name, Reason: reason}
		}
		key := strings.ToLower(r.Host) + "\x00" + r.Prefix
		if seen[key] {
			return &InvalidError{Route: r.Name, Reason: "another route has the same host and prefix"}
		}
		seen[key] = true
	}
	return d.checkOrganisations()
}

func (r *Route) invalidReason(services map[string]bool) string {
	switch {
	case r.Host == "":
		return "the host is missing"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "the prefix must begin and end with a slash"
	case r.Timeout <= 0:
		return "the timeout must be above 0"
	case (len(r.Shards) > 0) == (len(r.Backends) > 0):
		return "either shards or backends must be set"
	case len(r.Shards) > 0 && !(r.MinShardFraction >= 0 && r.MinShardFraction <= 1):
		return "the least share of shards must be from 0 to 1"
	}
	for _, name := range r.Shards {
		if !services[name] {
			return "service " + name + " is not known"
		}
	}
	return r.invalidBackendReason(services)
}

func (r *Route) invalidBackendReason(services map[string]bool) string {
	sum := 0.0
	for _, b := range r.Backends {
		if !services[b.Service] {
			return "service " + b.Service + " is not known"
		}
		if b.Weight < 0 || math.IsNaN(b.Weight) {
			return "a weight must not be below 0"
		}
		sum += b.Weight
	}
	if len(r.Backends) > 0 && sum <= 0 {
		return "the weights add up to 0"
	}
	return ""
}

// RequiredShards returns the number of shards that an answer needs, at least 1.
func (r *Route) RequiredShards() int {
	// The tolerance absorbs rounding errors of products such as 0.89 * 100.
	const rounding = 1e-9
	return max(1, int(math.Ceil(r.MinShardFraction*float64(len(r.Shards))-rounding)))
}

// ShardLists returns the different lists of shards that routes have.
func (d *Document) ShardLists() [][]string {
	var lists [][]string
	seen := map[string]bool{}
	for i := range d.Routes {
		shards := d.Routes[i].Shards
		key := strings.Join(shards, "\x00")
		if len(shards) > 0 && !seen[key] {
			seen[key] = true
			lists = append(lists, shards)
		}
	}
	return lists
}

// Table looks up the route and the organisation of a request.
type Table struct {
	Document *Document
	hosts    map[string][]*Route
	services map[string]*Service
	keys     *keyIndex
}

// NewTable returns the table of a document.
func NewTable(d *Document) *Table { return newTable(d, newKeyIndex(d.Organisations)) }

// Next returns the table of a document that replaces the one of this table. If both have the same
// organisations, the tables share the index of their keys. t may be nil.
func (t *Table) Next(d *Document) *Table {
	same := func(a, b Organisation) bool { return a.equal(&b) }
	if t != nil && slices.EqualFunc(t.Document.Organisations, d.Organisations, same) {
		return newTable(d, t.keys)
	}
	return NewTable(d)
}

func newTable(d *Document, keys *keyIndex) *Table {
	t := &Table{Document: d, hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: keys}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	return t
}

// Match returns the route with the longest prefix of the path, or nil if none matches.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = t.hosts[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if the document has none.
func (t *Table) Service(name string) *Service { return t.services[name] }
