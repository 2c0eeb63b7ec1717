package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/route"
	"wasabirelay/routing"
	"wasabirelay/workload"
)

// TestHedgeFollowsTarget guards against a fast target that has stopped and is hedged as late as a slow
// one, and against hedges that come sooner while a whole service is slow. It answers the load of uneven
// targets with pauses.
func TestHedgeFollowsTarget(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	clock := clockwork.NewFakeClock()
	s := &Service{Clock: clock, Table: &route.Table{Centre: "c", Contended: true}}
	j := &job{route: &routing.Route{Name: "r", Objective: 200 * ms}}
	kind := workload.NewKind("r", "GET", "", "", 0)
	fast, slow := &control.Target{Name: "fast", Incarnation: "1", State: control.Warm}, &control.Target{Name: "slow", Incarnation: "1", State: control.Warm}
	for range 100 {
		for target, took := range map[*control.Target]time.Duration{fast: 10 * ms, slow: 60 * ms} {
			w := s.Table.Estimate(clock.Now(), kind)
			s.Table.StartWork(clock.Now().Add(-took), target, w)
			s.Table.DoneWork(clock.Now(), target, "r", w, took, took, route.Success)
		}
	}
	work := s.Table.Estimate(clock.Now(), kind)
	hedge, learned := s.hedgeDelay(j, work)
	is.True(learned)
	j.view = &View{Targets: map[string][]*control.Target{"s": {fast, slow}, "t": {fast, {Name: "other", Incarnation: "1", State: control.Warm}}}}
	f := &fetch{service: "t", fetchGroup: &fetchGroup{Service: s, j: j, work: work, hedge: hedge, hedgeByTarget: true}}
	is.True(f.hedgeOf(fast) < hedge*3/4)
	is.True(f.hedgeOf(fast) >= 16*ms) // minHedge

	f.service = "s" // the only other target is slow
	is.True(f.hedgeOf(fast) > hedge*9/10)
	f.service = "t"
	is.Equal(f.hedgeOf(slow), hedge)
	f.hedgeByTarget = false
	is.Equal(f.hedgeOf(fast), hedge)
}
