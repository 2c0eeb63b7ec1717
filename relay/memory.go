package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ordinaryCopy and ordinaryAnswer are the bytes of a copy of a request, and of an answer, that take no memory beside
	// what an ordinary request has.
	ordinaryCopy, ordinaryAnswer = 4 << 10, 8 << 10
	// answerDecay is the part of an estimate by which it falls with each smaller answer.
	answerDecay = 16
	// lowerInterval is how often an estimate for which requests are refused falls.
	lowerInterval = 100 * time.Millisecond
	// maxAnswerRoutes bounds the routes whose answers are known.
	maxAnswerRoutes = 4096
)

// answerSizes estimates how large the next answer of a route is: as large as a recent one. Callers that read slowly hold
// their answers, so what a request will hold has to be known before it runs. The zero value is ready to use.
type answerSizes struct {
	routes sync.Map // *answerSize by the name of the route
	count  atomic.Int64
}

// answerSize is the estimate for one route.
type answerSize struct {
	size atomic.Int64
	// lowered is when refused has last lowered the size, in Unix nanoseconds.
	lowered atomic.Int64
}

func (a *answerSizes) expected(route string) int64 {
	if size, ok := a.routes.Load(route); ok {
		return size.(*answerSize).size.Load()
	}
	return 0
}

// record records the size of an answer, with the replies that it is made of.
func (a *answerSizes) record(route string, size int) {
	known, ok := a.routes.Load(route)
	if !ok {
		if size <= ordinaryAnswer {
			return
		}
		if a.count.Add(1) > maxAnswerRoutes {
			a.routes.Clear()
			a.count.Store(1)
		}
		known, _ = a.routes.LoadOrStore(route, &answerSize{})
	}
	estimate := &known.(*answerSize).size
	old := estimate.Load()
	estimate.Store(max(int64(size), old-old/answerDecay))
}

// refused lowers the estimate because a request was refused for what it would hold. An estimate beyond all that requests
// may hold would refuse the route for good: no answer would correct it.
func (a *answerSizes) refused(now time.Time, route string) {
	known, ok := a.routes.Load(route)
	if !ok {
		return
	}
	estimate := known.(*answerSize)
	last := estimate.lowered.Load()
	since := time.Duration(now.UnixNano() - last) // negative if the time of day was set
	if since >= 0 && since < lowerInterval || !estimate.lowered.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	size := estimate.size.Load()
	estimate.size.CompareAndSwap(size, size-size/answerDecay) // unless an answer has set it
}

// heldMemory returns the memory that the job will hold beside that of an ordinary request: the copies that targets are
// sent, and the answer.
func (s *Service) heldMemory(j *job) int64 {
	size := len(j.body)
	for name, values := range j.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	copies := max(0, size-ordinaryCopy) * max(1, len(j.route.Shards))
	return int64(copies) + max(0, s.answerSizes.expected(j.route.Name)-ordinaryAnswer)
}
