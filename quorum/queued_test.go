package quorum

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabirelay/consensus"
)

// Guards against a leader that steps down after a slow sync although a majority has responded
// meanwhile: the time-outs have passed, and the responses wait in the queue.
func TestSlowSyncKeepsLeadership(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	r := &Replica{
		Host: "h1", Dir: t.TempDir(), Peers: &Peers{}, Clock: clock, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
	}
	is.NoErr(r.Open())
	members := []string{r.identity.String(), "h2/b", "h3/c"}
	saved := consensus.Bootstrap(members)
	is.NoErr(r.journal.Save(&saved.Hard, saved.Entries))
	is.NoErr(r.start(saved))
	r.senders = map[string]*sender{}
	receive := func(m consensus.Message) {
		m.From, m.To = "h2/b", r.identity.String()
		r.handle(r.node.Step(clock.Now(), m))
	}
	for r.node.Status().Role != consensus.PreCandidate {
		clock.Advance(r.Heartbeat)
		r.tick()
	}
	receive(consensus.Message{Kind: consensus.AckPreVote, Term: r.node.Status().Term + 1})
	receive(consensus.Message{Kind: consensus.AckVote, Term: r.node.Status().Term})
	is.Equal(r.role, consensus.Leader)

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	for range 20 { // the control goroutine takes the queue or the tick first, at random
		syncing, synced := make(chan struct{}), make(chan struct{})
		is.True(r.post(ctx, func() { close(syncing); <-synced }))
		<-syncing
		is.True(r.post(ctx, func() { receive(consensus.Message{Kind: consensus.AckHeartbeat, Term: r.term}) }))
		clock.Advance(2 * r.Election)
		close(synced)
		is.NoErr(r.do(ctx, func() {}))
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		var role consensus.Role
		is.NoErr(r.do(ctx, func() { role = r.role }))
		is.Equal(role, consensus.Leader)
	}
	cancel()
	is.NoErr(<-ended)
}
