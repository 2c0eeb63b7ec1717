// Package searcher implements a stand-in for a target: a searcher that announces itself
// and serves sub-requests for its shards. Faults can be injected over HTTP. It counts
// the sub-requests that it ran, so that tests can check the guarantees of the query tier.
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
	// announceRetryDelay is the delay before retrying an announcement that failed at every address.
	announceRetryDelay = 500 * time.Millisecond
	// leaveTimeout bounds the call that removes a stopping searcher.
	leaveTimeout = time.Second
)

// Searcher is a stand-in searcher. Exported fields are set before use.
type Searcher struct {
	// Target is the initial announcement. Its Slots limit the sub-requests that run at the
	// same time; 0 means no limit.
	Target control.Target
	// ServiceTime is the distribution of the service time of one sub-request.
	ServiceTime ServiceTime
	// QueueLimit is the maximum number of sub-requests that wait for a slot; 0 means no limit.
	QueueLimit int
	// Warmup is the condition that ends the cold state.
	Warmup Warmup
	Client *client.Client
	Clock  clockwork.Clock
	// Rand samples service times and faults; nil means a source with a random seed.
	Rand *rand.Rand
	Log  zerolog.Logger
	// Exit ends the process when a query crashes it; nil means os.Exit.
	Exit func(code int)

	once    sync.Once
	slots   chan struct{}
	changed chan struct{}

	mu           sync.Mutex
	current      control.Target // what the searcher announces and serves
	cold         bool           // admits only Target.ColdLimit sub-requests; may differ from the announced state
	coldSince    time.Time      // when the cold state began
	servedCold   int            // sub-requests served in the cold state
	admitted     int            // waiting or running
	waiting      int
	faults       Faults
	counts       counts
	active       map[identity]*subRequest
	previous     target.Reply // the identity that a reply with a wrong identity carries
	healthReport Health
	reportedAt   time.Time
}

// Warmup defines when a cold searcher becomes warm: after a number of served
// sub-requests or after a time, whichever comes first. A zero value disables its condition.
type Warmup struct {
	Served int
	After  time.Duration
}

func (s *Searcher) init() {
	s.once.Do(func() {
		s.current = s.Target
		s.cold, s.coldSince = s.Target.State == control.Cold, s.Clock.Now()
		s.changed = make(chan struct{}, 1)
		s.active = map[identity]*subRequest{}
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

// Handler returns a handler for sub-requests, cancellations, health, faults and counts.
func (s *Searcher) Handler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /query", s.postQuery)
	mux.HandleFunc("POST /cancel", s.postCancel)
	mux.HandleFunc("GET /health", s.getHealth)
	s.addAdminRoutes(mux)
	return mux
}

// AdminHandler returns a handler for faults and counts only. Served on a separate
// listener, it is not subject to the connection limit.
func (s *Searcher) AdminHandler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	s.addAdminRoutes(mux)
	return mux
}

func (s *Searcher) addAdminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /fault", s.getFaults)
	mux.HandleFunc("POST /fault", s.postFaults)
	mux.HandleFunc("GET /counts", s.getCounts)
}

// Run announces the searcher and renews the announcement until ctx is done. Then it
// refuses new sub-requests and withdraws the announcement.
func (s *Searcher) Run(ctx context.Context) error {
	s.init()
	for {
		wait := s.announce(ctx)
		if remaining := s.untilWarm(); remaining > 0 && remaining < wait {
			wait = remaining
		}
		select {
		case <-ctx.Done():
			return s.leave(ctx)
		case <-s.changed:
		case <-s.Clock.After(wait):
		}
	}
}

// announce announces the searcher and returns the time until the next announcement.
func (s *Searcher) announce(ctx context.Context) time.Duration {
	s.mu.Lock()
	s.updateWarmup()
	t := s.current
	t.Shards, t.Snapshots = slices.Clone(t.Shards), slices.Clone(t.Snapshots)
	s.mu.Unlock()
	reply, err := s.Client.Announce(ctx, &t)
	if err != nil {
		if ctx.Err() == nil {
			s.Log.Warn().Err(err).Msg("failed to announce the target")
		}
		return announceRetryDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.State == control.Draining && s.counts.drainAnnounced.IsZero() {
		s.counts.drainAnnounced = s.Clock.Now()
	}
	return max(reply.Renew.Duration, announceRetryDelay)
}

func (s *Searcher) leave(ctx context.Context) error {
	s.mu.Lock()
	s.startDraining(&s.current)
	t := s.current
	s.mu.Unlock()
	timed, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	return s.Client.Leave(timed, t.Name, t.Incarnation)
}

// startDraining makes the searcher refuse new sub-requests. The caller must hold mu.
func (s *Searcher) startDraining(t *control.Target) {
	t.State = control.Draining
	if s.counts.drainingSince.IsZero() {
		s.counts.drainingSince = s.Clock.Now()
	}
}

// triggerAnnounce makes Run announce a change without waiting for the next renewal.
func (s *Searcher) triggerAnnounce() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// untilWarm returns the time until Warmup.After has passed, or 0 if it doesn't apply.
func (s *Searcher) untilWarm() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cold || s.Warmup.After == 0 {
		return 0
	}
	return s.Warmup.After - s.Clock.Since(s.coldSince)
}

// updateWarmup ends the cold state if a condition of Warmup is met. The caller must hold mu.
func (s *Searcher) updateWarmup() {
	enoughServed := s.Warmup.Served > 0 && s.servedCold >= s.Warmup.Served
	enoughTime := s.Warmup.After > 0 && s.Clock.Since(s.coldSince) >= s.Warmup.After
	if !s.cold || !enoughServed && !enoughTime {
		return
	}
	s.cold = false
	if s.current.State == control.Cold {
		s.current.State = control.Warm
		s.triggerAnnounce()
	}
}

// becomeCold makes the searcher cold and restarts its warmup. The caller must hold mu.
func (s *Searcher) becomeCold() {
	s.cold, s.coldSince, s.servedCold = true, s.Clock.Now(), 0
}
