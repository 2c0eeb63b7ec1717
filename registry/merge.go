package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"wasabirelay/control"
)

// MergedTable combines the tables of all control hosts into one table of all targets.
// It is not safe for concurrent use; the zero value is ready for use.
type MergedTable struct {
	sources map[string]*sourceTable
}

// sourceTable is the table of one control host as last received.
type sourceTable struct {
	incarnation uint64
	records     map[string]received
	// previous holds the records from before the last restart of the control host. They count
	// until previousUntil, so that its targets have time to announce themselves again.
	previous      map[string]received
	previousUntil time.Time
}

type received struct {
	Record
	coldEnd time.Time
}

// Update applies the changes that a control host reported. Records that an earlier incarnation
// of the control host reported count for previousTTL after the change of incarnation.
func (m *MergedTable) Update(now time.Time, host string, incarnation uint64, changes []Record, previousTTL time.Duration) {
	if m.sources == nil {
		m.sources = map[string]*sourceTable{}
	}
	s := m.sources[host]
	if s == nil {
		s = &sourceTable{incarnation: incarnation, records: map[string]received{}}
		m.sources[host] = s
	}
	if s.incarnation != incarnation {
		s.previous, s.previousUntil = s.records, now.Add(previousTTL)
		s.records, s.incarnation = map[string]received{}, incarnation
	}
	for i := range changes {
		r := changes[i]
		if r.State == Gone && r.StartUnixMilli == 0 {
			if known := m.newest(r.Target); known != nil {
				r.Announcement = known.Announcement
				r.State = Gone
			}
		}
		s.records[r.Target] = received{r, now.Add(r.ColdRemaining)}
	}
}

// Drop removes the table of a control host that no longer exists.
func (m *MergedTable) Drop(host string) { delete(m.sources, host) }

func (m *MergedTable) newest(target string) *received {
	var best *received
	for _, s := range m.sources {
		for _, records := range []map[string]received{s.previous, s.records} {
			if r, ok := records[target]; ok && (best == nil || r.newer(&best.Announcement)) {
				best = &r
			}
		}
	}
	return best
}

// mergedTarget is the newest record of one target.
type mergedTarget struct {
	received
	silent bool
}

// Targets returns the targets that may get requests, by service and ordered by name. next is
// the earliest end of a cold phase, at which the result changes without a message, or the zero
// time if no target is cold.
func (m *MergedTable) Targets(now time.Time) (services map[string][]*control.Target, next time.Time) {
	all := m.merge(now)
	owners := map[netip.AddrPort]*mergedTarget{}
	for _, c := range all {
		if o := owners[c.Address]; o == nil || c.ownsRatherThan(o) {
			owners[c.Address] = c
		}
	}
	services = map[string][]*control.Target{}
	for _, c := range all {
		if c.State != Ready || c.silent || owners[c.Address] != c {
			continue
		}
		t := c.target(now)
		if t.State == control.Cold && (next.IsZero() || c.coldEnd.Before(next)) {
			next = c.coldEnd
		}
		services[t.Service] = append(services[t.Service], t)
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *control.Target) int { return cmp.Compare(a.Name, b.Name) })
	}
	return services, next
}

// merge returns the newest record of each target. A target is silent if no control host
// receives announcements of its newest incarnation.
func (m *MergedTable) merge(now time.Time) map[string]*mergedTarget {
	all := map[string]*mergedTarget{}
	for _, s := range m.sources {
		if s.previous != nil && now.After(s.previousUntil) {
			s.previous = nil
		}
		for _, records := range []map[string]received{s.previous, s.records} {
			for name, r := range records {
				c := all[name]
				switch {
				case c == nil || r.StartUnixMilli > c.StartUnixMilli:
					all[name] = &mergedTarget{r, r.Silent}
				case r.StartUnixMilli < c.StartUnixMilli:
				default:
					c.silent = c.silent && r.Silent
					if r.newer(&c.Announcement) {
						c.received = r
					}
				}
			}
		}
	}
	return all
}

// ownsRatherThan reports whether the target owns the address that another one also announces: the
// later start wins and, between equal ones, a target that gets requests, then the smaller name, so
// that all hosts agree.
func (c *mergedTarget) ownsRatherThan(o *mergedTarget) bool {
	if c.StartUnixMilli != o.StartUnixMilli {
		return c.StartUnixMilli > o.StartUnixMilli
	}
	if ready := c.State == Ready && !c.silent; ready != (o.State == Ready && !o.silent) {
		return ready
	}
	return c.Target < o.Target
}

func (c *mergedTarget) target(now time.Time) *control.Target {
	t := &control.Target{
		Name: c.Target, Incarnation: strconv.FormatInt(c.StartUnixMilli, 10), Service: c.Service, Version: c.Version,
		Centre: c.Centre, Address: c.Address, Slots: c.Slots, State: control.Warm,
	}
	if now.Before(c.coldEnd) {
		t.State = control.Cold
	}
	return t
}
