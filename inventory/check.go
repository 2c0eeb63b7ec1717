package inventory

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"

	"wasabirelay/document"
)

const (
	// minLease is longer than several round trips between hosts. maxLease bounds how
	// long a host that is cut off from the control hosts continues to serve.
	minLease = 100 * time.Millisecond
	maxLease = time.Minute
	// maxCount bounds slots, connections and cold limits.
	maxCount = 1 << 20
)

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
	nameRequirement = "a name of up to 63 letters, digits, - and _ that starts with a letter or digit"
	// Between these bounds, the control state represents the times of moves exactly.
	minMoveTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	maxMoveTime = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// validate records all faults. It iterates over maps in the order of their keys, because the
// faults are part of the replicated state, which must be the same on every control host.
func validate(s *document.Source, d *Document) {
	s.Require(namePattern.MatchString(d.Region), nameRequirement, "region")
	s.Require(len(d.Centres) > 0, "at least one data centre", "centres")
	s.Require(len(d.Hosts) > 0, "at least one host", "hosts")
	for _, name := range sortedKeys(d.Centres) {
		s.Require(namePattern.MatchString(name), nameRequirement, "centres", name)
	}
	checkHosts(s, d)
	for _, name := range sortedKeys(d.Services) {
		checkService(s, name, d.Services[name])
	}
	checkRules(s, &d.Rules)
	checkMoves(s, d)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func checkService(s *document.Source, name string, v Service) {
	at := func(field string) []string { return []string{"services", name, field} }
	s.Require(namePattern.MatchString(name), nameRequirement, "services", name)
	for _, c := range []struct {
		field string
		value int
	}{{"slots", v.Slots}, {"connections", v.Connections}, {"bears", v.ColdLimit}} {
		s.Require(c.value >= 0 && c.value <= maxCount, fmt.Sprintf("a number from 0 to %d", maxCount), at(c.field)...)
	}
	s.Require(v.Deadline.Duration >= 0, nonNegative, at("deadline")...)
	seen := map[string]bool{}
	for _, route := range v.Routes {
		s.Require(route != "" && !seen[route], "different names that are not empty", at("routes")...)
		seen[route] = true
	}
}

const nonNegative = "a duration that is not negative"

func checkHosts(s *document.Source, d *Document) {
	owner := map[netip.AddrPort]string{}
	control := 0
	for _, name := range sortedKeys(d.Hosts) {
		host := d.Hosts[name]
		s.Require(namePattern.MatchString(name), nameRequirement, "hosts", name)
		_, known := d.Centres[host.Centre]
		s.Require(known, "a name listed in centres", "hosts", name, "centre")
		if host.Control {
			control++
		}
		for _, l := range []struct {
			field   string
			address netip.AddrPort
		}{{"caller", host.Caller}, {"operator", host.Operator}, {"peer", host.Peer}} {
			checkAddress(s, owner, l.address, name, l.field)
		}
	}
	s.Require(control == 0 || control%2 == 1, "an odd number of control hosts, here "+strconv.Itoa(control), "hosts")
}

// checkAddress checks the address of a listener, which other processes connect to.
func checkAddress(s *document.Source, owner map[netip.AddrPort]string, a netip.AddrPort, name, field string) {
	path := []string{"hosts", name, field}
	if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		s.Require(false, "the IP address of one host, with a port", path...)
		return
	}
	if other, taken := owner[a]; taken {
		s.Require(false, "an address that no other listener has, here "+other+" has it", path...)
		return
	}
	owner[a] = name + "." + field
}

func checkRules(s *document.Source, r *Rules) {
	for _, c := range []struct {
		field string
		value document.Duration
	}{{"keep", r.AddressTTL}, {"lease", r.Lease}, {"renew", r.RenewInterval}, {"expire", r.ExpireAfter}} {
		s.Require(c.value.Duration >= 0, nonNegative, "rules", c.field)
	}
	s.Require(r.Lease.Duration <= 0 || r.Lease.Duration >= minLease && r.Lease.Duration <= maxLease,
		fmt.Sprintf("a duration from %s to %s", minLease, maxLease), "rules", "lease")
	renew := r.RenewInterval.Duration
	if renew == 0 {
		renew = DefaultRenewInterval
	}
	s.Require(r.ExpireAfter.Duration <= 0 || r.ExpireAfter.Duration >= 2*renew, "at least twice renew, which is "+renew.String(), "rules", "expire")
	s.Require(r.OnQuorumLoss == "" || r.OnQuorumLoss == StopServing, `"stop"`, "rules", "lost")
	s.Require(r.Hedge.Budget >= 0 && r.Hedge.Budget <= 1, "a share from 0 to 1", "rules", "hedge", "budget")
	s.Require(r.Hedge.Quantile >= 0 && r.Hedge.Quantile < 1, "a quantile from 0 to below 1", "rules", "hedge", "quantile")
	s.Require(r.Poison.CrashThreshold >= 0, "0 or more", "rules", "poison", "deaths")
	s.Require(r.Poison.HoldDuration.Duration >= 0, nonNegative, "rules", "poison", "hold")
}

func checkMoves(s *document.Source, d *Document) {
	for _, name := range sortedKeys(d.Rules.Moves) {
		move := d.Rules.Moves[name]
		at := func(field string) []string { return []string{"rules", "moves", name, field} }
		_, known := d.Services[name]
		s.Require(known, "a name listed in services", "rules", "moves", name)
		s.Require(move.Version != "", "a version", at("version")...)
		s.Require(!move.Deadline.Before(minMoveTime) && move.Deadline.Before(maxMoveTime), "a time such as 2026-12-04T18:00:00Z", at("by")...)
		s.Require(move.TrialShare >= 0 && move.TrialShare <= 1, "a share from 0 to 1", at("trial")...)
	}
}
