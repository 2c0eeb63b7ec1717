package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"wasabirelay/control"
)

// MergedTable is what a host knows of all targets, from the tables of all control hosts.
// It is not safe for concurrent use; the zero value is ready.
type MergedTable struct {
	sources map[string]*source
}

// source is the table of one control host as last received.
type source struct {
	incarnation uint64
	records     map[string]received
	// previous holds the records from before a restart of the control host. They count
	// until its targets had the time to announce themselves again.
	previous map[string]received
	until    time.Time
}

type received struct {
	Record
	coldEnd time.Time
}

// Update takes the changes that a control host reported. keep is for how long what
// an earlier incarnation of the control host reported still counts.
func (m *MergedTable) Update(now time.Time, host string, incarnation uint64, changes []Record, keep time.Duration) {
	if m.sources == nil {
		m.sources = map[string]*source{}
	}
	s := m.sources[host]
	if s == nil {
		s = &source{incarnation: incarnation, records: map[string]received{}}
		m.sources[host] = s
	}
	if s.incarnation != incarnation {
		s.previous, s.until = s.records, now.Add(keep)
		s.records, s.incarnation = map[string]received{}, incarnation
	}
	for i := range changes {
		r := changes[i]
		if r.State == Gone && r.StartUnixMilli == 0 {
			if known := m.best(r.Target); known != nil {
				r.Announcement = known.Announcement
				r.State = Gone
			}
		}
		s.records[r.Target] = received{r, now.Add(r.ColdRemaining)}
	}
}

// Drop forgets the table of a control host that no longer exists.
func (m *MergedTable) Drop(host string) { delete(m.sources, host) }

func (m *MergedTable) best(target string) *received {
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

// combined is the newest knowledge about one target.
type combined struct {
	received
	silent bool
}

// Targets returns the targets that may get work, by service and ordered by name,
// and the time of the next change that needs no message: the end of a cold phase.
func (m *MergedTable) Targets(now time.Time) (services map[string][]*control.Target, next time.Time) {
	all := m.combine(now)
	owners := map[netip.AddrPort]*combined{}
	for _, c := range all {
		if o := owners[c.Address]; o == nil || c.StartUnixMilli > o.StartUnixMilli {
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

// combine takes the newest announcement of each target. A target is silent if no
// control host hears its incarnation.
func (m *MergedTable) combine(now time.Time) map[string]*combined {
	all := map[string]*combined{}
	for _, s := range m.sources {
		if s.previous != nil && now.After(s.until) {
			s.previous = nil
		}
		for _, records := range []map[string]received{s.previous, s.records} {
			for name, r := range records {
				c := all[name]
				switch {
				case c == nil || r.StartUnixMilli > c.StartUnixMilli:
					all[name] = &combined{r, r.Silent}
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

func (c *combined) target(now time.Time) *control.Target {
	t := &control.Target{
		Name: c.Target, Incarnation: strconv.FormatInt(c.StartUnixMilli, 10), Service: c.Service, Version: c.Version,
		Centre: c.Centre, Address: c.Address, Slots: c.Slots, State: control.Warm,
	}
	if now.Before(c.coldEnd) {
		t.State = control.Cold
	}
	return t
}
