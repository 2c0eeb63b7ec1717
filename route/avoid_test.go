package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

// Guards against sub-requests to a target that this host should leave to others although a
// better one exists, and against a request that gets no target for that reason.
func TestAvoid(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	table := &Table{Centre: "c"}
	replicas := []*control.Target{
		{Name: "far", Incarnation: "1", Centre: "d"},
		{Name: "spare", Incarnation: "1", Centre: "c"},
	}
	avoid := func(r *control.Target) bool { return r.Name == "spare" }
	pick := func(exclude map[string]bool) string {
		r, ok := table.Pick(now, Choice{Service: "s", Replicas: replicas, Exclude: exclude, Avoid: avoid, NoProbe: true})
		if !ok {
			return ""
		}
		return r.Name
	}
	for range 20 {
		is.Equal(pick(nil), "far")
	}
	is.Equal(pick(map[string]bool{"far": true}), "spare")
	table.Start(now, replicas[0])
	table.Done(now, replicas[0], "s", time.Millisecond, ConnectFailed) // ejected
	is.Equal(pick(nil), "spare")
	is.Equal(pick(map[string]bool{"spare": true}), "far") // an ejected target is used if there is no other
}
