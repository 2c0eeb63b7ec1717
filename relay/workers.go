package relay

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that wait for work: the attempts of one request to as many
// shards as the largest deployments have.
const maxIdleWorkers = 128

// workers runs tasks on goroutines that it reuses, because the stack of a new goroutine has to
// grow with each task. Do is set before use. It is safe for concurrent use.
type workers[T any] struct {
	// Do performs a task.
	Do func(T)

	tasks chan T
	idle  atomic.Int32
}

func newWorkers[T any](do func(T)) *workers[T] { return &workers[T]{Do: do, tasks: make(chan T)} }

// start performs the task on an idle goroutine or, if there is none, on a new one.
func (w *workers[T]) start(task T) {
	select {
	case w.tasks <- task:
	default:
		go w.loop(task)
	}
}

// loop performs a task and then waits for others, unless enough goroutines wait.
func (w *workers[T]) loop(task T) {
	for {
		w.Do(task)
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		task = <-w.tasks
		w.idle.Add(-1)
	}
}
