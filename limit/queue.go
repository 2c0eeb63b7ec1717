package limit

import (
	"container/heap"
	"time"
)

// admitted is the end of a wait for a permit.
type admitted struct {
	permit *Permit
	err    *RefusedError
}

// waiter is a request that waits for a permit.
type waiter struct {
	since    time.Time
	deadline time.Time
	bounded  bool
	ready    chan admitted
	// index is the position in the heap, -1 once removed.
	index int
}

// waiters is a heap of waiters by deadline; waiters without one come last.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool { return q[i].before(q[j].deadline, q[j].bounded) }

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is called by container/heap.
func (q *waiters) Push(x any) {
	w, ok := x.(*waiter)
	if !ok {
		return
	}
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop is called by container/heap.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}

// pop removes the waiter with the earliest deadline.
func (q *waiters) pop() *waiter {
	w, _ := heap.Pop(q).(*waiter)
	return w
}

// ahead counts the waiters that are served before one with the deadline.
func (q waiters) ahead(deadline time.Time, bounded bool) int {
	n := 0
	for _, w := range q {
		if !bounded || w.bounded && !w.deadline.After(deadline) {
			n++
		}
	}
	return n
}

func (w *waiter) before(deadline time.Time, bounded bool) bool {
	if w.bounded != bounded {
		return w.bounded
	}
	return w.deadline.Before(deadline)
}
