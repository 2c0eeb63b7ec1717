package relay

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wasabirelay/routing"
)

// stopRetry is the delay after which a caller may retry a request that was refused because this
// host stops. Another host serves it.
const stopRetry = 10 * time.Millisecond

// stopper ends requests before the process stops, so that each one gets an answer. The zero value
// is ready to use.
type stopper struct {
	once sync.Once
	// stopped is closed when the requests in progress end.
	stopped chan struct{}
	// at is when that is; nil if the process doesn't stop.
	at atomic.Pointer[time.Time]
}

func (s *stopper) done() chan struct{} {
	s.once.Do(func() { s.stopped = make(chan struct{}) })
	return s.stopped
}

// Stop makes the service end all requests in progress at the given time, and refuse new ones
// for which too little time is left. It must be called only once.
func (s *Service) Stop(at time.Time) {
	stopped := s.stopper.done()
	s.stopper.at.Store(&at)
	s.Clock.AfterFunc(max(0, at.Sub(s.Clock.Now())), func() { close(stopped) })
}

// refuseLate returns a refusal if less than the objective of the request is left before the process
// stops, or nil. It answers the load of callers that keep using open connections to a host that
// stops: a request that is ended then may have run, and its caller may not send it again.
func (s *Service) refuseLate(now time.Time, r *routing.Route) *refusal {
	at := s.stopper.at.Load()
	if at == nil || at.Sub(now) >= min(r.Objective, r.Timeout) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "not run: this host stops", retry: stopRetry, route: r.Name}
}
