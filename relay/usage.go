package relay

import (
	"sync/atomic"
	"time"
)

// usage decides when a request of an organisation is counted: once, whatever hedges, retries and shards it has, when the
// first of its attempts ends that ran or may have run. It is safe for concurrent use.
type usage struct {
	// sent is the age of the request at which its first attempt was sent; 0 before.
	sent atomic.Int64
	// counted is true if the request is counted, here or at the host that its caller is connected to.
	counted atomic.Bool
}

func (u *usage) recordSent(age time.Duration) { u.sent.CompareAndSwap(0, int64(max(1, age))) }

// countRun counts the request if it ran or may have run.
func (s *Service) countRun(j *job, ran bool) {
	if !ran || s.CountRun == nil || j.organisation == "" || j.usage.counted.Swap(true) {
		return
	}
	s.CountRun(j.organisation, j.started.Add(time.Duration(j.usage.sent.Load())))
}
