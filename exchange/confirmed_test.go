package exchange

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/control"
)

// Guards against a host that counts its routing state as confirmed although a newer one was announced, or by a control
// host that is out of touch with its group: it would serve a withdrawn key for too long.
func TestConfirmed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c, k := clientWithContact(clock, func() Host { return entry("e1") })
	is.True(c.Confirmed(0).IsZero())
	state := func(revision uint64, source string) *control.RoutingState {
		return &control.RoutingState{Revision: revision, Routing: control.Routing{Version: revision, Source: []byte(source)}}
	}
	merge := func(r PollResponse) time.Time {
		clock.Advance(time.Second)
		r.From = Host{Name: "a", Start: 9}
		c.merge(k, &r)
		return clock.Now()
	}
	first := merge(PollResponse{RoutingState: state(1, "x")})
	is.Equal(c.Confirmed(1), first)
	merge(PollResponse{RoutingState: state(2, "")}) // announced, not sent
	is.Equal(c.Confirmed(1), first)
	merge(PollResponse{Detached: true})
	is.Equal(c.Confirmed(1), first)
	second := merge(PollResponse{RoutingState: state(2, "y")})
	is.Equal(c.Confirmed(2), second)
	is.Equal(c.Confirmed(1), first) // for a view that doesn't have the newer state yet
	third := merge(PollResponse{RoutingState: state(1, "x")})
	is.Equal(c.Confirmed(2), third)
}

// Guards against a control host that hides that it is out of touch with its group, also behind a cached response, and
// against an earlier build that can't read the response.
func TestDetached(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := startedHub(clock)
	detached := false
	h.Detached = func() bool { return detached }
	is.True(!poll(t, h, PollRequest{From: entry("e1")}).Detached)
	detached = true
	response := poll(t, h, PollRequest{From: entry("e1")})
	is.True(response.Detached)
	text, err := json.Marshal(response)
	is.NoErr(err)
	var earlier struct {
		From    Host   `json:"from"`
		Targets uint64 `json:"targets"`
	}
	is.NoErr(json.Unmarshal(text, &earlier))
	is.Equal(earlier.From, response.From)
	detached = false
	is.True(!poll(t, h, PollRequest{From: entry("e1")}).Detached)
}
