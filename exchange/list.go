package exchange

// maxGone bounds the number of removed hosts that a list remembers.
const maxGone = 1024

// hostList is a list of hosts with revisions, so that its changes can be sent to other hosts.
// The zero value is empty.
type hostList struct {
	// revision is that of the list. hosts holds the hosts with the revisions at which
	// they changed, gone the revisions at which hosts were removed. A host that has a revision
	// before floor receives the complete list.
	revision uint64
	hosts    map[string]listEntry
	gone     map[string]uint64
	floor    uint64
}

type listEntry struct {
	Host
	revision uint64
}

// has reports whether the host is in the list.
func (l *hostList) has(name string) bool {
	_, ok := l.hosts[name]
	return ok
}

// set adds or updates a host. It reports whether the list changed.
func (l *hostList) set(h Host) bool {
	if l.hosts[h.Name].Host == h {
		return false
	}
	if l.hosts == nil {
		l.hosts, l.gone = map[string]listEntry{}, map[string]uint64{}
	}
	l.revision++
	l.hosts[h.Name] = listEntry{h, l.revision}
	delete(l.gone, h.Name)
	return true
}

// remove removes a host. It reports whether the list contained the host.
func (l *hostList) remove(name string) bool {
	if !l.has(name) {
		return false
	}
	delete(l.hosts, name)
	l.revision++
	l.gone[name] = l.revision
	if len(l.gone) > maxGone {
		l.gone, l.floor = map[string]uint64{}, l.revision
	}
	return true
}

// replace makes the list consist of these hosts. It reports whether the list changed.
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

// sendComplete makes every host receive the complete list in its next response.
func (l *hostList) sendComplete() {
	l.revision++
	l.floor = l.revision
}

// addChanges adds the changes since the revision to a response, or the complete list.
func (l *hostList) addChanges(response *PollResponse, revision uint64) {
	response.Hosts = l.revision
	response.Complete = revision == 0 || revision < l.floor || revision > l.revision
	for _, h := range l.hosts {
		if response.Complete || h.revision > revision {
			response.List = append(response.List, h.Host)
		}
	}
	for name, at := range l.gone {
		if !response.Complete && at > revision {
			response.Gone = append(response.Gone, name)
		}
	}
}
