package exchange

// maxGone bounds the hosts that have left a list that are remembered.
const maxGone = 1024

// hostList is a list of hosts of which others are told the changes. The zero value is
// empty.
type hostList struct {
	// version is the revision of the list, hosts the revisions at which they changed, and
	// gone those at which hosts left. Who has a revision before floor gets the whole list.
	version uint64
	hosts   map[string]listed
	gone    map[string]uint64
	floor   uint64
}

type listed struct {
	Host
	revision uint64
}

// has reports whether the host is in the list.
func (l *hostList) has(name string) bool {
	_, ok := l.hosts[name]
	return ok
}

// set adds a host, or replaces what is known of it. It reports whether that changed
// anything.
func (l *hostList) set(h Host) bool {
	if l.hosts[h.Name].Host == h {
		return false
	}
	if l.hosts == nil {
		l.hosts, l.gone = map[string]listed{}, map[string]uint64{}
	}
	l.version++
	l.hosts[h.Name] = listed{h, l.version}
	delete(l.gone, h.Name)
	return true
}

// remove removes a host. It reports whether it was there.
func (l *hostList) remove(name string) bool {
	if !l.has(name) {
		return false
	}
	delete(l.hosts, name)
	l.version++
	l.gone[name] = l.version
	if len(l.gone) > maxGone {
		l.gone, l.floor = map[string]uint64{}, l.version
	}
	return true
}

// replace makes the list consist of these hosts. It reports whether that changed
// anything.
func (l *hostList) replace(hosts []Host) bool {
	changed := false
	keep := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		keep[h.Name] = true
		changed = l.set(h) || changed
	}
	for name := range l.hosts {
		if !keep[name] {
			changed = l.remove(name) || changed
		}
	}
	return changed
}

// renew makes everybody get the whole list.
func (l *hostList) renew() {
	l.version++
	l.floor = l.version
}

// tell fills in what a host lacks that has a revision of the list.
func (l *hostList) tell(a *PollResponse, revision uint64) {
	a.Hosts = l.version
	a.Complete = revision == 0 || revision < l.floor || revision > l.version
	for _, h := range l.hosts {
		if a.Complete || h.revision > revision {
			a.List = append(a.List, h.Host)
		}
	}
	for name, at := range l.gone {
		if !a.Complete && at > revision {
			a.Gone = append(a.Gone, name)
		}
	}
}
