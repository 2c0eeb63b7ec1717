// Package searcher is a stand-in for a target: a searcher that announces itself
// and answers sub-requests for its shards. Faults can be switched on over HTTP,
// and it counts what it ran, so that tests can check the promises of the tier.
package searcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"wasabirelay/client"
	"wasabirelay/control"
	"wasabirelay/target"
)

const (
	// retry is how soon an announcement that failed at every address is repeated.
	retry = 500 * time.Millisecond
	// leaveTimeout bounds the leave of a searcher that stops.
	leaveTimeout = time.Second
)

// Searcher is a stand-in searcher. Exported fields are set before use.
type Searcher struct {
	// Target is what the searcher announces at first. Its Slots bound the
	// sub-requests that run at the same time; 0 stands for no bound.
	Target control.Target
	// ServiceTime is the service time of one sub-request.
	ServiceTime ServiceTime
	// QueueLimit bounds the sub-requests that wait for a slot; 0 stands for no bound.
	QueueLimit int
	// Warmup ends the cold state. It is not used by a searcher that starts warm.
	Warmup Warmup
	Client *client.Client
	Clock  clockwork.Clock
	// Rand draws service times and faults; nil stands for a random seed.
	Rand *rand.Rand
	Log  zerolog.Logger
	// Exit ends the process when a query crashes it; nil stands for os.Exit.
	Exit func(code int)

	once    sync.Once
	slots   chan struct{}
	changed chan struct{}

	mu       sync.Mutex
	now      control.Target // what it announces and serves
	cold     bool           // bears only Target.ColdLimit, announced or not
	started  time.Time      // of the cold state
	warm     int            // sub-requests served in the cold state
	admitted int            // waiting or running
	waiting  int
	faults   Faults
	counts   counts
	live     map[identity]*subRequest
	previous target.Reply // whose identity a crossed reply takes
	report   Health
	reported time.Time
}

// Warmup states when a cold searcher is warm: after a number of served
// sub-requests or after a time, whichever comes first. Zero values never come.
type Warmup struct {
	Served int
	After  time.Duration
}

func (s *Searcher) init() {
	s.once.Do(func() {
		s.now = s.Target
		s.cold, s.started = s.Target.State == control.Cold, s.Clock.Now()
		s.changed = make(chan struct{}, 1)
		s.live = map[identity]*subRequest{}
		s.counts.runs = map[identity]int{}
		if s.Target.Slots > 0 {
			s.slots = make(chan struct{}, s.Target.Slots)
		}
		if s.Rand == nil {
			s.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		if s.Exit == nil {
			s.Exit = os.Exit
		}
	})
}

// Handler serves sub-requests, faults and counts.
func (s *Searcher) Handler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /query", s.query)
	mux.HandleFunc("POST /cancel", s.cancel)
	mux.HandleFunc("GET /health", s.health)
	s.admin(mux)
	return mux
}

// AdminHandler serves faults and counts only, for a listener of its own that the
// connection limit does not apply to.
func (s *Searcher) AdminHandler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	s.admin(mux)
	return mux
}

func (s *Searcher) admin(mux *http.ServeMux) {
	mux.HandleFunc("GET /fault", s.getFaults)
	mux.HandleFunc("POST /fault", s.postFaults)
	mux.HandleFunc("GET /counts", s.getCounts)
}

// Run announces the searcher and renews until ctx ends. Then it refuses new
// sub-requests and leaves.
func (s *Searcher) Run(ctx context.Context) error {
	s.init()
	for {
		wait := s.announce(ctx)
		if left := s.untilWarm(); left > 0 && left < wait {
			wait = left
		}
		select {
		case <-ctx.Done():
			return s.leave(ctx)
		case <-s.changed:
		case <-s.Clock.After(wait):
		}
	}
}

// announce returns the time until the next announcement.
func (s *Searcher) announce(ctx context.Context) time.Duration {
	s.mu.Lock()
	s.checkWarm()
	t := s.now
	t.Shards, t.Snapshots = slices.Clone(t.Shards), slices.Clone(t.Snapshots)
	s.mu.Unlock()
	reply, err := s.Client.Announce(ctx, &t)
	if err != nil {
		if ctx.Err() == nil {
			s.Log.Warn().Err(err).Msg("announce failed")
		}
		return retry
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.State == control.Draining && s.counts.announced.IsZero() {
		s.counts.announced = s.Clock.Now()
	}
	return max(reply.Renew.Duration, retry)
}

func (s *Searcher) leave(ctx context.Context) error {
	s.mu.Lock()
	s.drain(&s.now)
	t := s.now
	s.mu.Unlock()
	timed, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	return s.Client.Leave(timed, t.Name, t.Incarnation)
}

// drain makes the searcher refuse new sub-requests. The caller holds mu.
func (s *Searcher) drain(t *control.Target) {
	t.State = control.Draining
	if s.counts.drained.IsZero() {
		s.counts.drained = s.Clock.Now()
	}
}

// announceSoon wakes Run, so that a change does not wait for the next renewal.
func (s *Searcher) announceSoon() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// untilWarm returns the time until the searcher is warm by its age, or 0.
func (s *Searcher) untilWarm() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cold || s.Warmup.After == 0 {
		return 0
	}
	return s.Warmup.After - s.Clock.Since(s.started)
}

// checkWarm ends the cold state if its condition is met. The caller holds mu.
func (s *Searcher) checkWarm() {
	served := s.Warmup.Served > 0 && s.warm >= s.Warmup.Served
	old := s.Warmup.After > 0 && s.Clock.Since(s.started) >= s.Warmup.After
	if !s.cold || !served && !old {
		return
	}
	s.cold = false
	if s.now.State == control.Cold {
		s.now.State = control.Warm
		s.announceSoon()
	}
}

// chill makes the searcher cold. The caller holds mu.
func (s *Searcher) chill() {
	s.cold, s.started, s.warm = true, s.Clock.Now(), 0
}
