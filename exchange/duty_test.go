package exchange

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guards against hosts of an earlier version that poll without end because there is a holder of the duty, against hosts
// that don't learn of a new holder at once, and against fields in the polls of deployments without the duty.
func TestDutyHolderAndEarlierVersions(t *testing.T) {
	is := is.New(t)
	h := startedHub(clockwork.NewFakeClock())
	h.SetDutyHolder(DutyHolder{Token: 5, Address: netip.MustParseAddrPort("10.0.0.1:1")})
	h.SetDutyHolder(DutyHolder{Token: 4, Address: netip.MustParseAddrPort("10.0.0.2:1")}) // an earlier one
	answer := poll(t, h, PollRequest{From: entry("e1")})
	is.True(answer.Duty == nil && answer.UnixMicro == 0)
	old := PollRequest{From: entry("e1"), Run: h.Self.Start, Targets: answer.Targets, Hosts: answer.Hosts, Wait: time.Second}
	is.True(poll(t, h, old) == nil) // nothing new for it

	c, k := clientWithContact(h.Clock, func() Host { return entry("e1") })
	var times []time.Time
	c.ObserveTime = func(_ string, at time.Time) { times = append(times, at) }
	known := old
	known.Duty = 1
	answer = poll(t, h, known)
	is.Equal(answer.UnixMicro, h.Clock.Now().UnixMicro())
	c.mergeDuty(answer)
	c.merge(k, answer)
	is.Equal(c.DutyHolder(), DutyHolder{Token: 5, Address: netip.MustParseAddrPort("10.0.0.1:1")})
	is.Equal(len(times), 1)
	known.Duty = c.DutyHolder().Token + 1
	is.True(poll(t, h, known) == nil)
	h.SetDutyHolder(DutyHolder{Token: 9, Address: netip.MustParseAddrPort("10.0.0.3:1")})
	is.Equal(poll(t, h, known).Duty.Token, uint64(9))

	text, err := json.Marshal(old)
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "duty"))
	var response PollResponse // of an earlier version
	is.NoErr(json.Unmarshal([]byte(`{"from":{"name":"a","start":9},"targets":1,"hosts":1}`), &response))
	c.mergeDuty(&response)
	is.Equal(c.DutyHolder().Token, uint64(5))
	is.Equal(len(times), 1)
}
