package exchange

import (
	"cmp"
	"slices"
	"time"
)

// takeHosts merges the changes of the list of hosts. What a control host knew before its
// restart counts until it has heard of all hosts again. The client is locked.
func (c *Client) takeHosts(now time.Time, k *contact, a *PollResponse) {
	if a.Complete && !a.Starting || k.list == nil {
		k.list = map[string]Host{}
	}
	for _, name := range a.Gone {
		delete(k.list, name)
	}
	for _, h := range a.List {
		k.list[h.Name] = h
		if h.IsControl() {
			c.add(now, h.Peer)
		}
	}
	k.q.Hosts = a.Hosts
}

// current returns the contacts that count: those that answer, or all while none does.
// The client is locked.
func (c *Client) current() []*contact {
	now := c.Clock.Now()
	var list, all []*contact
	for _, k := range c.contacts {
		all = append(all, k)
		if now.Sub(k.heard) < Expiry {
			list = append(list, k)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

// Hosts returns the entry hosts that a control host that answers has heard from, this
// one included; on an entry host, those among them that callers are sent to, and this
// one. While no control host answers, the last lists count.
func (c *Client) Hosts() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts(c.current())
}

// hosts merges the lists of the contacts. The client is locked.
func (c *Client) hosts(contacts []*contact) []Host {
	known := map[string]Host{}
	for _, k := range contacts {
		for _, h := range k.list {
			old, ok := known[h.Name]
			if h.IsControl() || ok && (h.Start < old.Start || h.Start == old.Start && old.Draining) {
				continue
			}
			known[h.Name] = h
		}
	}
	if self := c.Self(); !self.IsControl() {
		known[self.Name] = self
	}
	list := make([]Host, 0, len(known))
	for _, h := range known {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Active returns the entry hosts that callers are sent to. Control hosts may differ for a
// moment about their number: the largest counts.
func (c *Client) Active() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	contacts, n := c.current(), leastActive
	for _, k := range contacts {
		n = max(n, k.active)
	}
	return Active(c.hosts(contacts), n)
}

// EntryCount returns the number of entry hosts, 0 if no control host has answered.
func (c *Client) EntryCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.current() {
		n = max(n, k.entries)
	}
	return n
}

// Synced reports whether a control host that had heard of all hosts has ever answered.
// Before that, too few hosts are known.
func (c *Client) Synced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled
}

// Control returns the control hosts that answered within age, in order of their
// names.
func (c *Client) Control(age time.Duration) []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	var list []Host
	for _, k := range c.contacts {
		if k.host.Name != "" && now.Sub(k.heard) < age {
			list = append(list, k.host)
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
