// Package routing holds the routing document: which requests go to which services,
// within which times. It is pure.
package routing

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Document is a routing document. Version orders documents: the highest is in force.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route tells what happens to the requests for a host and a path prefix. Either
// Shards or Backends is set.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may wait for its answer, Objective
	// the latency that callers want.
	Timeout   time.Duration
	Objective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Attempts is the number of targets, per shard, that a request may be sent to.
	Attempts int
	// Shards are the services that each hold a part of the index. A request goes to
	// a target of each.
	Shards []string
	// ResultLimit is the number of records in a merged answer, Quorum the least share of
	// shards that makes an answer.
	ResultLimit      int
	MinShardFraction float64
	// Backends are the services that share the requests by weight.
	Backends []Backend
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a group of targets that answer equally well.
type Service struct {
	Name string
	// Connections is what each of its targets accepts from all hosts together.
	Connections int
	// ColdRate is the number of requests per second that a cold target bears from all
	// hosts together.
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// InvalidError reports why a document can't be put in force.
type InvalidError struct {
	// Route is the name of the faulty route, if one is to blame.
	Route  string
	Reason string
}

func (e *InvalidError) Error() string {
	if e.Route == "" {
		return "routing document: " + e.Reason
	}
	return fmt.Sprintf("routing document: route %s: %s", e.Route, e.Reason)
}

// Check returns an *InvalidError if the document can't be put in force.
func (d *Document) Check() error {
	services := map[string]bool{}
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	places := map[string]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if reason := r.fault(services); reason != "" {
			return &InvalidError{r.Name, reason}
		}
		place := strings.ToLower(r.Host) + "\x00" + r.Prefix
		if places[place] {
			return &InvalidError{r.Name, "another route has the same host and prefix"}
		}
		places[place] = true
	}
	return nil
}

func (r *Route) fault(services map[string]bool) string {
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
	return r.backendFault(services)
}

func (r *Route) backendFault(services map[string]bool) string {
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

// RequiredShards is the number of shards that makes an answer, at least 1.
func (r *Route) RequiredShards() int {
	// The margin absorbs the rounding of shares such as 0.89 * 100.
	const rounding = 1e-9
	return max(1, int(math.Ceil(r.MinShardFraction*float64(len(r.Shards))-rounding)))
}

// Table finds the route of a request.
type Table struct {
	Document *Document
	hosts    map[string][]*Route
	services map[string]*Service
}

// NewTable returns the table of a document.
func NewTable(d *Document) *Table {
	t := &Table{Document: d, hosts: map[string][]*Route{}, services: map[string]*Service{}}
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

// Match returns the route with the longest prefix of the path, or nil.
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

// Service returns a service of the document, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
