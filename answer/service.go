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
	// linger is how long after the deadline of its query a sub-request may run to
	// completion, because closing the connection costs up to 6 ms on its next use.
	linger = time.Second
	// background bounds cancellations, health checks and proposals that no caller
	// waits for.
	background = time.Second
)

// state is the part of a Service that is not exported.
type state struct {
	once    sync.Once
	metrics *metrics
	tracer  trace.Tracer
	store   store
	reports reports
	work    sync.WaitGroup
	indexes atomic.Pointer[indexes]
	// disputes holds the last disputed snapshots of each service, so that a view
	// that changes nothing about them logs nothing.
	disputes sync.Map
}

// indexes caches the index of each service for one view.
type indexes struct {
	view  *control.View
	mu    sync.Mutex
	items map[string]*index
}

// init sets defaults and creates the metrics.
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
		s.setSeams()
	})
}

func (s *Service) setSeams() {
	h := newSender(s.Clock)
	d := &defaults{}
	set(&s.Send, h.send)
	set(&s.Cancel, h.cancel)
	set(&s.Health, h.health)
	set(&s.Pick, d.pick)
	set(&s.Start, func(time.Time, *control.Target) {})
	set(&s.Done, func(time.Time, *control.Target, string, time.Duration, Outcome) {})
	set(&s.RecordEvidence, func(time.Time, *control.Target, string, time.Duration, Outcome) {})
	set(&s.SuspectCold, func(time.Time, *control.Target) bool { return false })
	set(&s.HedgeAfter, func(time.Time, string, float64) (time.Duration, bool) { return 0, false })
	set(&s.CountFirst, d.countSent)
	set(&s.SpendBudget, d.extra)
	set(&s.SpendEarlyBudget, s.SpendBudget)
	set(&s.Admit, admitAll)
	set(&s.ReserveGrant, noGrant)
	set(&s.Granted, s.grantedInView)
	set(&s.Propose, absentPropose)
	set(&s.Fetch, absentFetch)
	set(&s.RandomFloat, rand.Float64)
}

// index returns the index of a service in a view. The first use of a view also
// reports disputed shard counts and compares incarnations.
func (s *Service) index(v *control.View, service string) *index {
	cache := s.indexes.Load()
	if cache == nil || cache.view != v {
		cache = &indexes{view: v, items: map[string]*index{}}
		s.indexes.Store(cache)
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	ix := cache.items[service]
	if ix == nil {
		ix = newIndex(v, service)
		cache.items[service] = ix
		s.observe(ix, service)
	}
	return ix
}

// observe reports what the first look at a service in a new view shows.
func (s *Service) observe(ix *index, service string) {
	numbers := ix.disputed()
	s.metrics.dispute(service, len(numbers))
	text := fmt.Sprint(numbers)
	if last, _ := s.disputes.Swap(service, text); len(numbers) > 0 && last != text {
		s.Log.Error().Str("service", service).Uints64("snapshots", numbers).
			Msg("targets announce different shard counts of a snapshot; the snapshot is not used")
	}
	s.report(s.Poison.ObserveIncarnations(s.Clock.Now(), func(name string) (string, bool) {
		t, ok := ix.targets[name]
		if !ok {
			return "", false
		}
		return t.Incarnation, true
	}, rules(ix.view).Poison.Hold.Duration))
	s.reportDue()
}

// goBackground runs f outside of any query. Drain waits for it.
func (s *Service) goBackground(f func(ctx context.Context)) {
	s.work.Go(func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), s.Clock, background)
		defer cancel()
		f(ctx)
	})
}

// Drain waits until the sub-requests, cancellations and proposals of queries
// that have been answered have ended, or until ctx ends. It is called after the
// listeners have stopped.
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

// rules returns the view's rules with defaults for those that are not set.
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
	if r.Poison.Deaths <= 0 {
		r.Poison.Deaths = inventory.DefaultDeaths
	}
	if r.Poison.Hold.Duration <= 0 {
		r.Poison.Hold.Duration = inventory.DefaultHold
	}
	return r
}
