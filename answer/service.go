package answer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"wasabirelay/control"
	"wasabirelay/inventory"
	"wasabirelay/poison"
)

const (
	// subrequestLinger is how long a sub-request may continue after the deadline of its query. If
	// its connection were closed instead, opening a new one would cost up to 6 ms.
	subrequestLinger = time.Second
	// backgroundTimeout is the timeout of cancellations, health checks and proposals that no
	// caller waits for.
	backgroundTimeout = time.Second
)

// serviceState holds the unexported fields of a Service.
type serviceState struct {
	once        sync.Once
	metrics     *metrics
	tracer      trace.Tracer
	store       store
	reportQueue reportQueue
	work        sync.WaitGroup
	indexCache  atomic.Pointer[indexCache]
	// disputes holds the last disputed snapshots of each service, so that they are logged only
	// when they change.
	disputes sync.Map
}

// indexCache caches the index of each service for one view.
type indexCache struct {
	view  *control.View
	mu    sync.Mutex
	items map[string]*index
}

// init sets the defaults and creates the metrics on its first call.
func (s *Service) init() {
	s.once.Do(func() {
		if s.Clock == nil {
			s.Clock = clockwork.NewRealClock()
		}
		if s.Tracer == nil {
			s.Tracer = otel.GetTracerProvider()
		}
		if s.Poison == nil {
			s.Poison = &poison.Tracker{}
		}
		s.tracer = s.Tracer.Tracer("wasabirelay/answer")
		s.metrics = newMetrics(s.Registry)
		s.store.init()
		s.setDefaultDependencies()
	})
}

func (s *Service) setDefaultDependencies() {
	h := newSender(s.Clock)
	d := &defaultPolicy{}
	setDefault(&s.Send, h.send)
	setDefault(&s.Cancel, h.cancel)
	setDefault(&s.Health, h.health)
	setDefault(&s.Pick, d.pick)
	setDefault(&s.Start, func(time.Time, *control.Target) {})
	setDefault(&s.Done, func(time.Time, *control.Target, string, time.Duration, Outcome) {})
	setDefault(&s.RecordEvidence, func(time.Time, *control.Target, string, time.Duration, Outcome) {})
	setDefault(&s.SuspectCold, func(time.Time, *control.Target) bool { return false })
	setDefault(&s.ClearSuspicion, func(time.Time, []*control.Target) bool { return false })
	setDefault(&s.HedgeAfter, func(time.Time, string, float64) (time.Duration, bool) { return 0, false })
	setDefault(&s.CountFirst, d.countFirst)
	setDefault(&s.SpendBudget, d.spendBudget)
	setDefault(&s.SpendEarlyBudget, s.SpendBudget)
	setDefault(&s.Admit, admitAll)
	setDefault(&s.ReserveGrant, noGrant)
	setDefault(&s.Granted, s.grantedInView)
	setDefault(&s.Propose, unavailablePropose)
	setDefault(&s.Fetch, unavailableFetch)
	setDefault(&s.RandomFloat, rand.Float64)
}

// index returns the index of a service in a view. The first call for a service and view also
// reports disputed shard counts and looks for new incarnations of targets.
func (s *Service) index(v *control.View, service string) *index {
	cache := s.indexCache.Load()
	if cache == nil || cache.view != v {
		cache = &indexCache{view: v, items: map[string]*index{}}
		s.indexCache.Store(cache)
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	ix := cache.items[service]
	if ix == nil {
		ix = newIndex(v, service)
		cache.items[service] = ix
		s.observeIndex(ix, service)
	}
	return ix
}

// observeIndex reports disputed snapshots and passes the incarnations of the targets to package
// poison, which may return suspects.
func (s *Service) observeIndex(ix *index, service string) {
	numbers := ix.disputed()
	s.metrics.dispute(service, len(numbers))
	text := fmt.Sprint(numbers)
	if last, _ := s.disputes.Swap(service, text); len(numbers) > 0 && last != text {
		s.Log.Error().Str("service", service).Uints64("snapshots", numbers).
			Msg("targets announce different shard counts of a snapshot; the snapshot is not used")
	}
	incarnation := func(name string) (string, bool) {
		t, ok := ix.targets[name]
		if !ok {
			return "", false
		}
		return t.Incarnation, true
	}
	s.reportSuspects(func() []control.SuspectRequest {
		return s.Poison.ObserveIncarnations(s.Clock.Now(), incarnation, rules(ix.view).Poison.HoldDuration.Duration)
	})
	s.scheduleDueReports()
}

// goBackground runs f on a goroutine that is independent of any query. Drain waits for it.
func (s *Service) goBackground(f func(ctx context.Context)) {
	s.work.Go(func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), s.Clock, backgroundTimeout)
		defer cancel()
		f(ctx)
	})
}

// Drain waits until the sub-requests, cancellations and proposals of answered queries have ended
// or ctx ends. It is called after the listeners have stopped.
func (s *Service) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// rules returns the view's rules with defaults for the rules that are not set.
func rules(v *control.View) inventory.Rules {
	var r inventory.Rules
	if v.Inventory != nil {
		r = v.Inventory.Rules
	}
	if r.Hedge.Budget <= 0 {
		r.Hedge.Budget = inventory.DefaultBudget
	}
	if r.Hedge.Quantile <= 0 {
		r.Hedge.Quantile = inventory.DefaultQuantile
	}
	if r.Poison.CrashThreshold <= 0 {
		r.Poison.CrashThreshold = inventory.DefaultCrashThreshold
	}
	if r.Poison.HoldDuration.Duration <= 0 {
		r.Poison.HoldDuration.Duration = inventory.DefaultHoldDuration
	}
	return r
}
