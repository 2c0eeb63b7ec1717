package answer

import (
	"testing"

	"github.com/matryer/is"

	"wasabirelay/route"
)

// Guards against outcomes that reach package route under another meaning.
func TestOutcomesOfRoute(t *testing.T) {
	for mine, theirs := range map[Outcome]route.Outcome{
		Success: route.Success, Shed: route.Shed, DrainingReply: route.DrainingReply, ColdReply: route.ColdReply,
		SnapshotGone: route.SnapshotGone, ConnectFailed: route.ConnectFailed, Reset: route.Reset, BadReply: route.BadReply,
		TimedOut: route.TimedOut, Cancelled: route.Cancelled, Failed: route.Failed,
	} {
		is.New(t).Equal(route.Outcome(mine), theirs)
	}
}
