package declaration

import "wasabirelay/limit"

// Division says how hosts divide the limits of targets.
type Division struct {
	// Hosts are the names of the hosts that send requests to the targets, Self is that of this one.
	Hosts []string
	Self  string
	// Share is the part of a limit that this host has if all hosts use the target.
	Share float64
}

const (
	// toleratedSeconds and toleratedRequests are what a target tolerates beyond its limit within
	// 4 s: half as much again, and some requests.
	toleratedSeconds, toleratedRequests = 2, 5
	// usedTolerance is the part of that which hosts may let add up while they don't use it. The rest
	// is for the moments at which hosts divide the limit in different ways.
	usedTolerance = 0.75
)

// part returns how many requests per second this host may send to a target, and how many may add
// up. All hosts may use up what has added up at the same moment. If there are more hosts than that
// allows requests for, only those use the target that rank first for it by rendezvous hashing.
func (d *Division) part(target string, perSecond float64) (rate, most float64) {
	together := usedTolerance * (toleratedSeconds*perSecond + toleratedRequests)
	hosts := max(1, float64(len(d.Hosts)))
	if hosts <= together {
		return perSecond * d.Share, together / hosts
	}
	users := max(1, int(together))
	if limit.Rank(d.Hosts, d.Self, target) >= users {
		return 0, 0
	}
	return perSecond * d.Share * hosts / float64(users), max(1, together/float64(users))
}
