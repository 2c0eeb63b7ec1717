package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"wasabirelay/inventory"
	"wasabirelay/routing"
)

// Differences returns what differs between the document in force and another one, by entry. Keys are counted and never
// shown.
func Differences(inForce, other *routing.Document) []inventory.Change {
	var changes []inventory.Change
	changes = append(changes, compare("route", inForce.Routes, other.Routes, func(r *routing.Route) (string, []field) { return r.Name, routeFields(r) })...)
	changes = append(changes, compare("service", inForce.Services, other.Services, func(s *routing.Service) (string, []field) {
		return s.Name, []field{{"connections", fmt.Sprint(s.Connections)}, {"cold", fmt.Sprint(s.ColdRate)}}
	})...)
	changes = append(changes, compareOrganisations(inForce.Organisations, other.Organisations)...)
	limits := func(l *routing.Limits) (string, []field) {
		return "limits", []field{
			{"header", fmt.Sprint(l.HeaderBytes)},
			{"body", fmt.Sprint(l.BodyBytes)},
			{"headertime", l.HeaderTimeout.String()},
			{"idle", l.IdleTimeout.String()},
		}
	}
	return append(changes, compare("", []routing.Limits{inForce.Limits}, []routing.Limits{other.Limits}, limits)...)
}

// field is a named value of an entry.
type field struct{ name, value string }

func routeFields(r *routing.Route) []field {
	backends := make([]string, 0, len(r.Backends))
	for _, b := range r.Backends {
		backends = append(backends, fmt.Sprintf("%s=%g", b.Service, b.Weight))
	}
	return []field{
		{"host", strings.ToLower(r.Host)},
		{"prefix", r.Prefix},
		{"idempotent", fmt.Sprint(r.Idempotent)},
		{"timeout", r.Timeout.String()},
		{"objective", r.Objective.String()},
		{"priority", fmt.Sprint(r.Priority)},
		{"attempts", fmt.Sprint(r.Attempts)},
		{"public", fmt.Sprint(r.Public)},
		{"shards", strings.Join(r.Shards, " ")},
		{"backends", strings.Join(backends, " ")},
		{"results", fmt.Sprint(r.ResultLimit)},
		{"fraction", fmt.Sprint(r.MinShardFraction)},
	}
}

// compare returns the entries of a list that were added, removed or changed.
func compare[T any](kind string, before, after []T, describe func(*T) (name string, fields []field)) []inventory.Change {
	old := make(map[string][]field, len(before))
	for i := range before {
		name, fields := describe(&before[i])
		old[name] = fields
	}
	var changes []inventory.Change
	for i := range after {
		name, fields := describe(&after[i])
		entry := strings.TrimSpace(kind + " " + name)
		was, ok := old[name]
		delete(old, name)
		if !ok {
			changes = append(changes, inventory.Change{Field: entry, To: "added"})
			continue
		}
		for k, f := range fields {
			if f != was[k] {
				changes = append(changes, inventory.Change{Field: entry + "." + f.name, From: was[k].value, To: f.value})
			}
		}
	}
	for name := range old {
		changes = append(changes, inventory.Change{Field: strings.TrimSpace(kind + " " + name), From: "removed"})
	}
	slices.SortFunc(changes, func(a, b inventory.Change) int { return cmp.Compare(a.Field, b.Field) })
	return changes
}

// compareOrganisations also counts the keys that were added and removed.
func compareOrganisations(before, after []routing.Organisation) []inventory.Change {
	keys := map[string][]string{}
	for _, o := range before {
		keys[o.Name] = o.Keys
	}
	changes := compare("organisation", before, after, func(o *routing.Organisation) (string, []field) {
		rank := ""
		if o.Rank != nil {
			rank = fmt.Sprint(*o.Rank)
		}
		return o.Name, []field{{"rank", rank}}
	})
	for _, o := range after {
		was, ok := keys[o.Name]
		if !ok {
			continue
		}
		added, removed := missing(o.Keys, was), missing(was, o.Keys)
		if added+removed == 0 {
			continue
		}
		to := fmt.Sprintf("%d keys (%d added, %d removed)", len(o.Keys), added, removed)
		if len(o.Keys) == 0 {
			to = "no key: the last one was removed"
		}
		changes = append(changes, inventory.Change{Field: "organisation " + o.Name + ".keys", From: fmt.Sprintf("%d keys", len(was)), To: to})
	}
	return changes
}

// missing returns how many of the names are not in the list.
func missing(names, list []string) (n int) {
	for _, name := range names {
		if !slices.Contains(list, name) {
			n++
		}
	}
	return n
}
