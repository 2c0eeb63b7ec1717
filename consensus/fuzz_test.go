package consensus_test

import (
	"encoding/json"
	"testing"
	"time"

	. "wasabirelay/consensus"
)

// FuzzStep guards against a message of another member, or of a program that is none, that ends
// the process. The messages are arbitrary within their format.
func FuzzStep(f *testing.F) {
	for _, text := range []string{
		`{"kind":"append","from":"h2","to":"h1","term":9,"index":1,"prior":1,"entries":[{"index":2,"term":9,"kind":"configuration"}]}`,
		`{"kind":"append","from":"h2","to":"h1","term":9,"index":18446744073709551615,"entries":[{"index":0}]}`,
		`{"kind":"install","from":"h2","to":"h1","term":9,"snapshot":{"index":7,"term":3}}`,
		`{"kind":"install","from":"h2","to":"h1","term":9}`,
		`{"kind":"ackappend","from":"h2","to":"h1","term":2,"index":18446744073709551615,"reject":true,"hint":18446744073709551615}`,
		`{"kind":"ackheartbeat","from":"h9","to":"h1","term":2,"round":3}`,
		`{"kind":"campaign","from":"h2","to":"h1","term":2}`,
		`{"kind":"vote","from":"h2","to":"h1","term":3,"index":9,"prior":9,"force":true}`,
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, leads bool) {
		var m Message
		if json.Unmarshal(text, &m) != nil {
			return
		}
		g := newGroup(t, 7, "h1", "h2", "h3")
		leader := g.elect()
		g.run(election)
		m.To = leader
		if m.From == leader || !leads {
			m.From = g.others(leader)[0]
		}
		if !leads {
			m.To, m.From = m.From, leader
		}
		node := g.members[m.To].node
		if m.Term == 0 {
			m.Term = node.Status().Term
		}
		node.Step(g.now, m)
		node.Tick(g.now.Add(time.Second))
		_, _, _ = node.Propose(g.now.Add(time.Second), []byte("x")) // it fails unless the node leads
	})
}
