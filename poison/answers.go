package poison

import "time"

const (
	// answerRetention is the least time for which an answer is remembered if fewer than
	// maxAnswersPerGeneration arrive in it. A request that is sent continuously is answered at
	// shorter intervals on each host.
	answerRetention = 5 * time.Second
	// maxAnswersPerGeneration limits the answers of each of the two generations. A host of the
	// size that the system is designed for handles 15,231 sub-requests per second, so it
	// remembers an answer for at least 4 s.
	maxAnswersPerGeneration = 1 << 16
)

// recentAnswers remembers which shard requests were answered recently, in two generations.
type recentAnswers struct {
	currentSince      time.Time
	current, previous map[shardRequest]struct{}
}

// rotate starts a new generation if the current one is full or old enough.
func (a *recentAnswers) rotate(now time.Time) {
	age := now.Sub(a.currentSince)
	if age < answerRetention && len(a.current) < maxAnswersPerGeneration {
		return
	}
	a.previous = a.current
	if age >= 2*answerRetention {
		a.previous = nil // All answers of the current generation are too old.
	}
	a.current, a.currentSince = nil, now
}

func (a *recentAnswers) add(now time.Time, key shardRequest) {
	a.rotate(now)
	if a.current == nil {
		a.current = map[shardRequest]struct{}{}
	}
	a.current[key] = struct{}{}
}

func (a *recentAnswers) has(now time.Time, key shardRequest) bool {
	a.rotate(now)
	if _, ok := a.current[key]; ok {
		return true
	}
	_, ok := a.previous[key]
	return ok
}
