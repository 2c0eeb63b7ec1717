package consensus_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	. "wasabirelay/consensus"
)

// Guards against a leader that sends a large entry again at every heartbeat while the followers
// are still receiving it: with several followers that takes more processor time than there is,
// and the entry is never committed.
func TestResendsBackOff(t *testing.T) {
	is := is.New(t)
	g, leader, second, third := newThreeMembers(t)
	node, now := g.members[leader].node, g.now
	sent := 0
	count := func(out Output) {
		for _, m := range out.Messages {
			if m.Kind == Append && m.To == second && len(m.Entries) > 0 {
				sent++
			}
		}
	}
	// The followers acknowledge heartbeats, so that the leader keeps its majority, but no entries.
	silent := func(length time.Duration) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(step)
			count(node.Tick(now))
			for _, id := range []string{second, third} {
				count(node.Step(now, Message{Kind: AckHeartbeat, From: id, To: leader, Term: node.Status().Term}))
			}
		}
	}
	p, out, err := node.Propose(now, []byte("large"))
	is.NoErr(err)
	count(out)
	is.Equal(sent, 1)
	silent(2 * heartbeat)
	is.Equal(sent, 2) // a lost message is repaired after one heartbeat
	silent(50 * heartbeat)
	is.True(sent <= 8) // the delay doubles: 2 + log2(52) is less than 8

	for _, id := range []string{second, third} {
		count(node.Step(now, Message{Kind: AckAppend, From: id, To: leader, Term: node.Status().Term, Index: p.Index}))
	}
	is.Equal(node.Status().Commit, p.Index)
	sent = 0
	_, out, err = node.Propose(now, []byte("small"))
	is.NoErr(err)
	count(out)
	silent(2 * heartbeat)
	is.Equal(sent, 2) // an acknowledgement ends the longer delay
}
