package rank

import (
	"slices"
	"time"
)

// ShardWait is when one shard could answer a request: after a wait for its room and the work.
type ShardWait struct {
	Wait, Held time.Duration
}

// Gathering returns how long the sub-requests of a request to many shards wait for the worst of the shards that the
// response needs; spare is the number that it can do without. It reports false if the response can't be complete before
// the deadline. It answers the load of more such requests than the shards take: if each gets some of its shards, none of
// them is answered, and all have taken slots. So a request that can't get all of its shards gets none.
func Gathering(now time.Time, t *Terms, shards []ShardWait, spare int) (wait time.Duration, ok bool) {
	if spare >= len(shards) {
		return 0, true
	}
	slices.SortFunc(shards, func(a, b ShardWait) int { return int(a.Wait + a.Held - b.Wait - b.Held) })
	worst := shards[len(shards)-1-spare]
	return worst.Wait, t.Deadline.IsZero() || worst.Wait == 0 || !now.Add(worst.Wait+worst.Held).After(t.Deadline)
}
