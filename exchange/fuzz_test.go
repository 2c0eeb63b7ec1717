package exchange

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guards against a malformed or unexpected response that ends the process of every host that
// polls the control host.
func FuzzPollResponse(f *testing.F) {
	f.Add([]byte(`{"from":{"name":"a","start":9,"peer":"10.0.0.9:1"},"targets":3,"changes":[{"target":"t","state":"gone"}],"hosts":2,"list":[{"name":"e"}],"whole":true}`))
	f.Add([]byte(`{"from":{"name":"a"},"targets":18446744073709551615,"hosts":7,"gone":["e1"],"active":-1,"entries":-5,"shared":{"revision":4}}`))
	f.Add([]byte(`{"packed":"H4sI"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var response PollResponse
		if json.Unmarshal(text, &response) != nil || response.decompress() != nil {
			return
		}
		c, k := clientWithContact(clockwork.NewFakeClock(), func() Host { return entry("e1") })
		k.list = map[string]Host{"e1": entry("e1"), "e2": entry("e2")}
		c.contacts[netip.MustParseAddrPort("10.0.0.8:1")] = &contact{lastListed: c.Clock.Now()}
		response.List = dropControl(response.List) // no contacts are added, which would dial
		for range 2 {
			c.merge(k, &response)
			_ = c.Active()
			_ = c.ControlHosts(time.Minute)
			_, _ = c.Targets()
			state := c.RoutingState()
			_, _ = state.Routing.Text()
		}
	})
}

func dropControl(list []Host) []Host {
	var entries []Host
	for _, h := range list {
		if !h.IsControl() {
			entries = append(entries, h)
		}
	}
	return entries
}

// Guards against a malformed or unexpected request that ends the process of a control host.
func FuzzPollRequest(f *testing.F) {
	f.Add([]byte(`{"from":{"name":"e1","centre":"c0","start":3,"caller":"10.0.0.1:80"},"load":0.2,"targets":9,"hosts":1,"wait":0}`))
	f.Add([]byte(`{"from":{"name":"b","peer":"10.0.0.8:1"},"load":1e308,"run":9,"targets":18446744073709551615}`))
	f.Add([]byte(`{"from":{"name":"e2","caller":"[::1]:0","draining":true},"load":-1e308,"document":true}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var request PollRequest
		if json.Unmarshal(text, &request) != nil || request.From.Name == "" {
			return
		}
		request.Wait = 0
		h := startedHub(clockwork.NewFakeClock())
		for range 2 {
			if _, _, err := h.respond(&request, true); err != nil {
				t.Fatal(err)
			}
			h.tick()
		}
	})
}

// Guards against a control host that has returned at another address and loses its targets when
// its old address is forgotten.
func TestReturnedControlHostKeepsItsTargets(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c, k := clientWithContact(clock, func() Host { return entry("e1") })
	c.Seeds = func() []netip.AddrPort { return nil }
	k.cancel = func() {}
	response := func(start int64) *PollResponse {
		var r PollResponse
		is.NoErr(json.Unmarshal([]byte(`{"from":{"name":"a","peer":"10.0.0.9:1"},"targets":1,"changes":[{"target":"t","born":5,"service":"s","state":"ready","address":"10.0.0.1:80"}]}`), &r))
		r.From.Start = start
		return &r
	}
	c.merge(k, response(9))
	clock.Advance(2 * forgetContactAfter)
	returned := &contact{client: k.client, lastListed: clock.Now(), cancel: func() {}}
	c.contacts[netip.MustParseAddrPort("10.0.0.7:1")] = returned
	c.merge(returned, response(10))
	c.updateContacts()
	is.Equal(len(c.contacts), 1)
	targets, _ := c.Targets()
	is.Equal(len(targets["s"]), 1)
}
