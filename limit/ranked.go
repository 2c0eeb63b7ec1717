package limit

import (
	"context"
	"time"

	"wasabirelay/control"
	"wasabirelay/rank"
)

// rankedWaiter is a request that waits for a permit in the order of the ranks.
type rankedWaiter struct {
	since  time.Time
	rank   int
	result chan permitResult
}

// rankedQueue holds the requests that wait for room at a target if callers compete for it.
type rankedQueue struct {
	rank.Queue[*rankedWaiter]
	// again is when a request that is kept from the last place may have it; zero if there is none.
	again time.Time
}

// refuseAll refuses all requests because the target is retired.
func (q *rankedQueue) refuseAll() {
	for _, w := range q.Clear() {
		w.result <- permitResult{err: &RefusedError{Reason: NoShare}}
	}
}

// AcquireFor is Acquire for a request with a rank. If Contended, requests wait in the order of their ranks, and one that
// can't be answered in time because of those that go first is refused at once. The deadline is that of ctx.
func (p *Pool) AcquireFor(ctx context.Context, target *control.Target, terms *rank.Terms) (*Permit, error) {
	if !p.Contended {
		return p.Acquire(ctx, target)
	}
	t := p.targetPool(target)
	if t == nil {
		return nil, &RefusedError{Target: target.Name, Reason: NoShare}
	}
	own := *terms
	if deadline, ok := ctx.Deadline(); ok && (own.Deadline.IsZero() || deadline.Before(own.Deadline)) {
		own.Deadline = deadline
	}
	permit, err := t.acquireRanked(ctx, &own)
	if err != nil {
		err.Target = target.Name
		return nil, err
	}
	return permit, nil
}

// Expect returns how long a request with the terms would wait for a permit for the target, and for how long it would
// hold it. Both are 0 unless Contended.
func (p *Pool) Expect(target *control.Target, terms *rank.Terms) rank.ShardWait {
	t := p.targetPool(target)
	if t == nil || !p.Contended {
		return rank.ShardWait{}
	}
	now := p.clock().Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	wait, held := t.ranked.Wait(now, terms, t.room())
	return rank.ShardWait{Wait: wait, Held: held}
}

// Refuse records that a request which needed the target was refused before it asked for a permit.
func (p *Pool) Refuse(target *control.Target, terms *rank.Terms) {
	t := p.targetPool(target)
	if t == nil || !p.Contended {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ranked.Refuse(p.clock().Now(), terms)
}

func (t *targetPool) room() rank.Room {
	return rank.Room{InUse: t.inUse, Limit: t.effectiveLimit()}
}

func (t *targetPool) acquireRanked(ctx context.Context, terms *rank.Terms) (*Permit, *RefusedError) {
	now := t.pool.clock().Now()
	t.mu.Lock()
	if t.retired || t.share.Connections <= 0 {
		t.mu.Unlock()
		return nil, &RefusedError{Reason: NoShare}
	}
	t.ranked.Arrive(now, terms)
	if t.ranked.Take(now, terms, t.room()) {
		defer t.mu.Unlock()
		permit := t.grant(now)
		permit.rank = terms.Rank
		return permit, nil
	}
	if wait, ok := t.ranked.Admits(now, terms, t.room()); !ok {
		t.stats.Refused++
		t.mu.Unlock()
		return nil, &RefusedError{Reason: TooLate, Wait: wait}
	}
	w := &rankedWaiter{since: now, rank: terms.Rank, result: make(chan permitResult, 1)}
	t.ranked.Push(*terms, w)
	t.stats.Waits++
	t.grantRanked(now)
	t.mu.Unlock()
	return t.await(ctx, w.result, func() bool { return t.ranked.Remove(w) })
}

// grantRanked refuses the waiters that can't be answered in time any more, and grants permits to the next ones. The
// caller holds the lock.
func (t *targetPool) grantRanked(now time.Time) {
	for _, w := range t.ranked.Displace(now, t.room()) {
		t.stats.Refused++
		w.result <- permitResult{err: &RefusedError{Reason: Displaced, Wait: t.meanHeld}}
	}
	for {
		w, again, ok := t.ranked.Next(now, t.room())
		if !ok {
			t.grantAt(now, again)
			return
		}
		permit := t.grant(now)
		permit.rank = w.rank
		t.stats.Waited += now.Sub(w.since)
		w.result <- permitResult{permit: permit}
	}
}

// grantAt grants permits again at the given time, unless it is zero or that happens sooner.
func (t *targetPool) grantAt(now, at time.Time) {
	if at.IsZero() || t.ranked.again.After(now) && !t.ranked.again.After(at) {
		return
	}
	t.ranked.again = at
	t.pool.clock().AfterFunc(at.Sub(now), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.grantRanked(t.pool.clock().Now())
	})
}
