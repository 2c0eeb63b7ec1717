package lease

import (
	"maps"
	"slices"
	"time"
)

// Table is the leader's side of the leases: which hosts may hold one, and which
// commands each of them has applied. The zero value has no hosts. It is not safe for
// concurrent use.
type Table struct {
	// Length is the length of the leases that Renew grants.
	Length time.Duration

	hosts map[string]entry
	// previousLeasesEnd is when all leases of previous leaders have ended.
	previousLeasesEnd time.Time
}

type entry struct {
	applied uint64
	// acknowledged is true if the host has renewed its lease with this leader.
	acknowledged bool
	expiry       time.Time
}

// State is the state of a host with regard to a command.
type State string

// Values of State.
const (
	// Acknowledged means that the host has applied the command.
	Acknowledged State = "acknowledged"
	// Expired means that the host holds no lease and dispatches no work.
	Expired State = "expired"
	// Pending means that the host may hold a lease and may not have applied the command.
	Pending State = "open"
)

// Status is the lease status of a host.
type Status struct {
	Host  string `json:"host"`
	State State  `json:"state"`
	// Applied is the index of the last command that the host has applied; 0 if the
	// host has not renewed its lease with this leader.
	Applied uint64 `json:"applied"`
	// Live is true if the host may hold a lease.
	Live bool `json:"live"`
	// Until is when the lease of the host ends or ended; zero if this leader knows of
	// no lease.
	Until time.Time `json:"until,omitzero"`
}

// Report describes whether a command is in force, and the status of each host.
type Report struct {
	Index uint64 `json:"index"`
	// InForce is true if every host that may hold a lease has applied the command.
	InForce bool     `json:"force"`
	Hosts   []Status `json:"hosts"`
	// PreviousLeasesEnd is when all leases of previous leaders have ended; zero if that is
	// in the past. Until then hosts that are no longer in the inventory may hold a lease,
	// so no command is in force.
	PreviousLeasesEnd time.Time `json:"settled,omitzero"`
}

// BeginTerm resets the table at the start of a term of leadership. Every host of the
// inventory counts as holding a lease for length, which is the longest lease that a
// previous leader may have granted (control.View.LongestLease).
func (t *Table) BeginTerm(now time.Time, length time.Duration, hosts []string) {
	t.previousLeasesEnd = now.Add(length)
	t.hosts = make(map[string]entry, len(hosts))
	for _, host := range hosts {
		t.hosts[host] = entry{expiry: t.previousLeasesEnd}
	}
}

// Renew grants or renews the lease of a host that has applied the commands up to the
// index applied, and returns when the lease ends at the leader. It never moves the end
// of a lease to an earlier time: the reply with the shorter lease may be lost.
func (t *Table) Renew(host string, applied uint64, now time.Time) time.Time {
	if t.hosts == nil {
		t.hosts = map[string]entry{}
	}
	expiry := now.Add(t.Length)
	if old := t.hosts[host].expiry; old.After(expiry) {
		expiry = old
	}
	t.hosts[host] = entry{applied: applied, acknowledged: true, expiry: expiry}
	return expiry
}

// Live returns the hosts that may hold a lease, sorted by name.
func (t *Table) Live(now time.Time) []string {
	var live []string
	for _, host := range slices.Sorted(maps.Keys(t.hosts)) {
		if now.Before(t.hosts[host].expiry) {
			live = append(live, host)
		}
	}
	return live
}

// Renewed returns the hosts that may hold a lease granted by this leader, sorted by
// name.
func (t *Table) Renewed(now time.Time) []string {
	return slices.DeleteFunc(t.Live(now), func(host string) bool { return !t.hosts[host].acknowledged })
}

// InForce returns the report on the command at the index. hosts are the hosts of the
// inventory; the report includes other hosts while they may hold a lease.
func (t *Table) InForce(index uint64, now time.Time, hosts []string) Report {
	names := slices.Concat(hosts, t.Live(now))
	slices.Sort(names)
	names = slices.Compact(names)
	r := Report{Index: index, InForce: !now.Before(t.previousLeasesEnd), Hosts: make([]Status, 0, len(names))}
	if !r.InForce {
		r.PreviousLeasesEnd = t.previousLeasesEnd
	}
	for _, host := range names {
		s := t.status(host, index, now)
		r.InForce = r.InForce && s.State != Pending
		r.Hosts = append(r.Hosts, s)
	}
	return r
}

func (t *Table) status(host string, index uint64, now time.Time) Status {
	e := t.hosts[host]
	s := Status{Host: host, State: Expired, Applied: e.applied, Live: now.Before(e.expiry), Until: e.expiry}
	if s.Live {
		s.State = Pending
	}
	if e.acknowledged && e.applied >= index {
		s.State = Acknowledged
	}
	return s
}

// Prune removes the hosts that hold no lease and are not in hosts, which are the hosts of
// the inventory.
func (t *Table) Prune(now time.Time, hosts []string) {
	maps.DeleteFunc(t.hosts, func(host string, e entry) bool {
		return !now.Before(e.expiry) && !slices.Contains(hosts, host)
	})
}
