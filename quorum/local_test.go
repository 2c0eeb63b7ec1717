package quorum

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/consensus"
)

// Guards against a status that the control goroutine still writes while its caller, who has stopped waiting, reads it. The
// race detector shows it.
func TestAbandonedLocalStatus(t *testing.T) {
	is := is.New(t)
	r := &Replica{Clock: clockwork.NewRealClock(), events: make(chan func(), 1), memory: newMemory()}
	r.node = &consensus.Node{
		ID: "a/1", Rand: rand.New(rand.NewPCG(1, 1)), Election: DefaultElectionTimeout, Heartbeat: DefaultHeartbeatInterval,
	}
	is.NoErr(r.node.Start(r.Clock.Now(), consensus.Bootstrap([]string{"a/1"})))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f := <-r.events
		cancel()
		time.Sleep(20 * time.Millisecond) // the caller returns meanwhile, without an order that the race detector sees
		f()
		close(ended)
	}()
	status, err := r.LocalStatus(ctx)
	is.True(err != nil)
	is.Equal(status, LocalStatus{})
	<-ended
}
