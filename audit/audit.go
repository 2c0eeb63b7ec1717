// Package audit finds what is wrong in a valid routing document: entries that never take effect, and limits that
// contradict each other. It also lists the differences between two documents. The package does no I/O.
package audit

import (
	"fmt"
	"slices"
	"strings"

	"wasabirelay/routing"
)

// Kind is the kind of a finding.
type Kind string

// Values of Kind.
const (
	// Unreachable is an entry that no request ever selects.
	Unreachable Kind = "unreachable"
	// Unused is an entry that changes nothing.
	Unused Kind = "unused"
	// Contradiction is a limit that another one makes void or impossible to keep.
	Contradiction Kind = "contradiction"
)

// Finding is one thing that a valid document most likely doesn't intend.
type Finding struct {
	Kind Kind `json:"kind"`
	// Entry names the entry of the document, such as "route search".
	Entry  string `json:"entry"`
	Detail string `json:"detail"`
}

// Auditor audits routing documents. The zero value knows nothing of the hosts.
type Auditor struct {
	// Memory is the memory of an entry host in bytes; 0 if it is not known.
	Memory int64
	// Hosts is the number of entry hosts that share the connections of a target; 0 if it is not known.
	Hosts int

	findings []Finding
}

// Findings returns the findings of a document that routing.Document.Check accepts, in the order of its entries.
func (a *Auditor) Findings(d *routing.Document) []Finding {
	a.findings = nil
	used := map[string]bool{}
	for i := range d.Routes {
		a.checkRoute(&d.Routes[i], used)
	}
	for i := range d.Services {
		a.checkService(&d.Services[i], used)
	}
	a.checkOrganisations(d)
	a.checkLimits(&d.Limits)
	return a.findings
}

func (a *Auditor) add(kind Kind, entry, format string, args ...any) {
	a.findings = append(a.findings, Finding{kind, entry, fmt.Sprintf(format, args...)})
}

func (a *Auditor) checkRoute(r *routing.Route, used map[string]bool) {
	entry := "route " + r.Name
	switch {
	case strings.ContainsAny(r.Prefix, "?# \t\r\n"):
		a.add(Unreachable, entry, "the prefix %q has a character that no path of a request has", r.Prefix)
	case strings.ContainsAny(r.Host, "/ \t\r\n"):
		a.add(Unreachable, entry, "the host %q has a character that no host name has", r.Host)
	}
	if r.Objective > r.Timeout {
		a.add(Contradiction, entry, "the latency objective of %s is above the timeout of %s", r.Objective, r.Timeout)
	}
	if !r.Idempotent && r.Attempts > 1 && len(r.Shards) > 0 {
		a.add(Contradiction, entry, "requests to all shards are sent more than once, but the route is not idempotent")
	}
	if len(r.Shards) > 0 && r.ResultLimit <= 0 {
		a.add(Contradiction, entry, "the result limit of %d leaves every answer empty", r.ResultLimit)
	}
	for _, service := range r.Shards {
		used[service] = true
	}
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			a.add(Unreachable, entry, "service %s has weight 0 and gets no requests", b.Service)
			continue
		}
		used[b.Service] = true
	}
}

func (a *Auditor) checkService(s *routing.Service, used map[string]bool) {
	entry := "service " + s.Name
	switch {
	case !used[s.Name]:
		a.add(Unused, entry, "no route sends requests to it")
	case s.Connections <= 0:
		a.add(Contradiction, entry, "its targets accept no connections, but routes send requests to it")
	case s.Connections < a.Hosts:
		a.add(Contradiction, entry, "its targets accept %d connections, fewer than the %d hosts", s.Connections, a.Hosts)
	}
}

func (a *Auditor) checkOrganisations(d *routing.Document) {
	if len(d.Organisations) == 0 {
		return
	}
	if !slices.ContainsFunc(d.Routes, func(r routing.Route) bool { return !r.Public }) {
		a.add(Unused, "organisations", "all routes are public, so that no key is needed")
	}
	for i := range d.Organisations {
		if o := &d.Organisations[i]; len(o.Keys) == 0 {
			a.add(Unreachable, "organisation "+o.Name, "it has no key, so that no caller belongs to it")
		}
	}
	if ranks := ranks(d); len(ranks) == 1 && slices.ContainsFunc(d.Organisations, func(o routing.Organisation) bool { return o.Rank != nil }) {
		a.add(Unused, "organisations", "all requests have rank %d, so that ranks decide nothing", ranks[0])
	}
}

// ranks returns the different ranks that requests have.
func ranks(d *routing.Document) []int {
	var list []int
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Public {
			list = append(list, r.Priority)
			continue
		}
		for _, o := range d.Organisations {
			if o.Rank != nil {
				list = append(list, *o.Rank)
			} else {
				list = append(list, r.Priority)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (a *Auditor) checkLimits(l *routing.Limits) {
	const entry = "limits"
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		a.add(Contradiction, entry, "the header timeout of %s is above the idle timeout of %s", l.HeaderTimeout, l.IdleTimeout)
	}
	if a.Memory > 0 && int64(l.BodyBytes)+int64(l.HeaderBytes) > a.Memory {
		a.add(Contradiction, entry, "a request of %d bytes does not fit into the %d bytes of memory of a host", l.BodyBytes+l.HeaderBytes, a.Memory)
	}
}
