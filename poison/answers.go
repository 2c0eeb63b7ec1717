package poison

import "time"

const (
	// memory is the least time for which an answer is remembered. A request that is
	// sent all the time is answered more often than that on each host.
	memory = 5 * time.Second
	// maxAnswers bounds the answers of each of two generations. It exceeds the
	// 15,231 sub-requests per second of a node at the size to design for, so that an
	// answer is remembered for at least 4 s there.
	maxAnswers = 1 << 16
)

// answers remembers the parts that were answered lately, in two generations.
type answers struct {
	began      time.Time
	young, old map[part]struct{}
}

// turn starts a new generation when the young one is full or old enough.
func (a *answers) turn(now time.Time) {
	age := now.Sub(a.began)
	if age < memory && len(a.young) < maxAnswers {
		return
	}
	a.old = a.young
	if age >= 2*memory {
		a.old = nil // The answers in the young generation are all too old.
	}
	a.young, a.began = nil, now
}

func (a *answers) add(now time.Time, p part) {
	a.turn(now)
	if a.young == nil {
		a.young = map[part]struct{}{}
	}
	a.young[p] = struct{}{}
}

func (a *answers) has(now time.Time, p part) bool {
	a.turn(now)
	if _, ok := a.young[p]; ok {
		return true
	}
	_, ok := a.old[p]
	return ok
}
