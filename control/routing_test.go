package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reverting to an older document, accepting another document with the current
// version, and losing the routing state in a snapshot.
func TestRouting(t *testing.T) {
	is := is.New(t)
	var s State
	apply := func(index uint64, c Command) Result {
		c.At = time.Unix(int64(index), 0)
		return s.Apply(index, c)
	}
	route := func(index, version uint64, source string) {
		is.True(apply(index, Command{Routing: &ApplyRouting{Version: version, Source: []byte(source)}}).Refusal == nil)
	}
	route(1, 7, "seven")
	route(2, 5, "five")
	route(3, 7, "other")
	is.Equal(string(s.RoutingState().Routing.Source), "seven")
	is.Equal(s.RoutingState().Revision, uint64(1))
	route(4, 9, "nine")
	is.Equal(s.RoutingState().Routing.Version, uint64(9))
	is.True(apply(5, Command{Routing: &ApplyRouting{Version: 10}}).Refusal != nil)

	apply(6, Command{Evacuate: &Evacuate{Centre: "c", Out: true}})
	apply(7, Command{Evacuate: &Evacuate{Centre: "c", Out: true}})
	is.Equal(s.RoutingState().Out, []string{"c"})
	is.Equal(s.RoutingState().Revision, uint64(6))

	begin := Command{Begin: &BeginMove{Service: "s", Version: "v2", MaxDuration: time.Minute, TrialShare: 0.05}}
	apply(8, begin)
	apply(9, Command{Move: &StepMove{Service: "s", Version: "v2", Step: StepReverted, Revert: true}})
	apply(10, begin) // a resent command does not start a reverted move again
	is.True(s.RoutingState().Moves["s"].Reverted)

	data, err := s.Snapshot()
	is.NoErr(err)
	var restored State
	is.NoErr(restored.Restore(data))
	is.Equal(restored.RoutingState(), s.RoutingState())
	is.Equal(restored.Digest(), s.Digest())
}
