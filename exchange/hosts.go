package exchange

import (
	"cmp"
	"slices"
	"time"
)

// mergeHosts merges the changes of the list of hosts. The list that a control host sent before
// its restart remains valid until the control host has finished starting. The caller holds
// c.mu.
func (c *Client) mergeHosts(now time.Time, k *contact, response *PollResponse) {
	if response.Complete && !response.Starting || k.list == nil {
		k.list = map[string]Host{}
	}
	for _, name := range response.Gone {
		delete(k.list, name)
	}
	for _, h := range response.List {
		k.list[h.Name] = h
		if h.IsControl() {
			c.addContact(now, h.Peer)
		}
	}
	k.seen.Hosts = response.Hosts
}

// liveContacts returns the contacts that have responded within Expiry, or all contacts if none
// has. The caller holds c.mu.
func (c *Client) liveContacts() []*contact {
	now := c.Clock.Now()
	var list, all []*contact
	for _, k := range c.contacts {
		all = append(all, k)
		if now.Sub(k.lastResponse) < Expiry {
			list = append(list, k)
		}
	}
	if len(list) == 0 {
		return all
	}
	return list
}

// Hosts returns the entry hosts that are listed by a control host that responds. On an entry
// host, these are the hosts that callers are sent to, and the entry host itself. While no
// control host responds, the last lists remain valid.
func (c *Client) Hosts() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mergedHosts(c.liveContacts())
}

// mergedHosts merges the lists of the contacts. The caller holds c.mu.
func (c *Client) mergedHosts(contacts []*contact) []Host {
	byName := map[string]Host{}
	for _, k := range contacts {
		for _, h := range k.list {
			old, ok := byName[h.Name]
			if h.IsControl() || ok && (h.Start < old.Start || h.Start == old.Start && old.Draining) {
				continue
			}
			byName[h.Name] = h
		}
	}
	if self := c.Self(); !self.IsControl() {
		byName[self.Name] = self
	}
	list := make([]Host, 0, len(byName))
	for _, h := range byName {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Active returns the entry hosts that callers are sent to. If control hosts temporarily
// disagree about the number, the largest applies.
func (c *Client) Active() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	contacts, n := c.liveContacts(), minActive
	for _, k := range contacts {
		n = max(n, k.active)
	}
	return Active(c.mergedHosts(contacts), n)
}

// EntryCount returns the number of entry hosts, or 0 if no control host has responded.
func (c *Client) EntryCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.liveContacts() {
		n = max(n, k.entries)
	}
	return n
}

// Synced reports whether a control host that had finished starting has ever responded. Before
// that, the lists of hosts may be incomplete.
func (c *Client) Synced() bool { return !c.LastSynced().IsZero() }

// LastSynced returns when a control host that had finished starting last responded.
func (c *Client) LastSynced() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced
}

// ControlHosts returns the control hosts that responded within age, sorted by name.
func (c *Client) ControlHosts(age time.Duration) []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	var list []Host
	for _, k := range c.contacts {
		if k.host.Name != "" && now.Sub(k.lastResponse) < age {
			list = append(list, k.host)
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
