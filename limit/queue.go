package limit

import (
	"container/heap"
	"time"
)

// permitResult is the result of waiting for a permit.
type permitResult struct {
	permit *Permit
	err    *RefusedError
}

// waiter is a request that waits for a permit.
type waiter struct {
	since    time.Time
	deadline time.Time
	bounded  bool
	result   chan permitResult
	// index is the position in the heap, or -1 after removal.
	index int
}

// waiterQueue is a heap of waiters by deadline; waiters without a deadline come last.
type waiterQueue []*waiter

func (q waiterQueue) Len() int { return len(q) }

func (q waiterQueue) Less(i, j int) bool { return q[i].before(q[j].deadline, q[j].bounded) }

func (q waiterQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waiterQueue) Push(x any) {
	w, ok := x.(*waiter)
	if !ok {
		return
	}
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiterQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}

// pop removes and returns the waiter with the earliest deadline.
func (q *waiterQueue) pop() *waiter {
	w, _ := heap.Pop(q).(*waiter)
	return w
}

// ahead counts the waiters that would be served before a new one with the deadline.
func (q waiterQueue) ahead(deadline time.Time, bounded bool) int {
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
