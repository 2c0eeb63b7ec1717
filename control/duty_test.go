package control

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func dutyCommand(step *DutyStep) Command {
	step.Duty = "usage"
	return Command{At: time.Unix(100, 0).UTC(), Duty: step}
}

func claimDuty(next uint64, work ...Work) Command {
	return dutyCommand(&DutyStep{Claim: &ClaimDuty{Holder: "c1", Address: netip.MustParseAddrPort("10.0.0.1:1"), Next: next, Work: work}})
}

func fixWork(token, number uint64, content string) Command {
	return dutyCommand(&DutyStep{Fix: &FixWork{Token: token, Work: Work{Number: number, Content: json.RawMessage(content)}}})
}

// Guards against content that changes after it was fixed, and against a step of an earlier holder that has an effect.
func TestDutySteps(t *testing.T) {
	is := is.New(t)
	var s State
	is.Equal(s.Apply(1, fixWork(0, 5, `1`)).Refusal.Kind, Stale) // nobody has the duty
	is.True(s.Apply(2, claimDuty(5)).Refusal == nil)
	is.True(s.Apply(3, fixWork(2, 5, `1`)).Refusal == nil)
	is.Equal(s.Apply(4, fixWork(2, 5, `2`)).Refusal.Kind, Taken)
	is.True(s.Apply(5, fixWork(2, 7, `3`)).Refusal == nil)
	is.True(s.Apply(6, dutyCommand(&DutyStep{Finish: &FinishWork{Token: 2, Number: 5}})).Refusal == nil)
	is.True(s.Apply(7, dutyCommand(&DutyStep{Finish: &FinishWork{Token: 2, Number: 5}})).Refusal == nil) // again
	d := s.Duties()["usage"]
	is.Equal(d.Next, uint64(8))
	is.Equal(len(d.Work), 1)
	is.Equal(d.Work[0], Work{Number: 7, Content: json.RawMessage(`3`)})

	is.True(s.Apply(8, claimDuty(d.Next, d.Work...)).Refusal == nil)
	is.Equal(s.Apply(9, fixWork(2, 8, `4`)).Refusal.Kind, Stale)
	is.Equal(s.Apply(10, dutyCommand(&DutyStep{Finish: &FinishWork{Token: 2, Number: 7}})).Refusal.Kind, Stale)
	is.Equal(s.Duties()["usage"].Token, uint64(8))
	is.Equal(len(s.Duties()["usage"].Work), 1)
	is.Equal(s.Apply(11, dutyCommand(&DutyStep{})).Refusal.Kind, Invalid)
}

// Guards against a backlog that grows without bound while the provider does not answer.
func TestDutyBacklog(t *testing.T) {
	is := is.New(t)
	var s State
	s.Apply(1, claimDuty(0))
	for n := range uint64(MaxDutyWork + 5) {
		is.True(s.Apply(n+2, fixWork(1, n, `{}`)).Refusal == nil)
	}
	d := s.Duties()["usage"]
	is.Equal(len(d.Work), MaxDutyWork)
	is.Equal(d.Work[0].Number, uint64(5))
	is.Equal(d.Dropped, uint64(5))
}

// Guards against snapshots and commands that earlier versions can't use, or that make replicas of both versions differ
// in anything but the duties.
func TestDutiesBesideEarlierVersions(t *testing.T) {
	is := is.New(t)
	commands := []Command{
		{At: time.Unix(50, 0).UTC(), Evacuate: &Evacuate{Centre: "z1", Out: true}},
		claimDuty(5), fixWork(2, 5, `{"o1":3}`),
		{At: time.Unix(150, 0).UTC(), Evacuate: &Evacuate{Centre: "z2", Out: true}},
	}
	var later, earlier State
	for i, c := range commands {
		text, err := json.Marshal(c)
		is.NoErr(err)
		var known struct { // the fields of these commands in earlier versions
			At       time.Time `json:"at"`
			Evacuate *Evacuate `json:"evacuate,omitempty"`
		}
		is.NoErr(json.Unmarshal(text, &known))
		later.Apply(uint64(i+1), c)
		earlier.Apply(uint64(i+1), Command{At: known.At, Evacuate: known.Evacuate})
		feed, ok := Feed(c)
		is.True(ok && feed.Duty == nil)
	}
	is.Equal(later.Digest(), earlier.Digest())
	without, err := earlier.Snapshot()
	is.NoErr(err)
	with, err := later.Snapshot()
	is.NoErr(err)
	shared, err := later.SharedSnapshot()
	is.NoErr(err)
	is.Equal(string(shared), string(mustShare(t, &earlier)))

	var fields map[string]json.RawMessage
	is.NoErr(json.Unmarshal(with, &fields))
	delete(fields, "duties") // as a version that doesn't know it
	text, err := json.Marshal(fields)
	is.NoErr(err)
	var read State
	is.NoErr(read.Restore(text))
	is.Equal(read.Digest(), earlier.Digest())
	is.NoErr(read.Restore(without))
	is.Equal(len(read.Duties()), 0)
	is.NoErr(read.Restore(with))
	is.Equal(read.Duties(), later.Duties())
}

func mustShare(t *testing.T, s *State) []byte {
	t.Helper()
	text, err := s.SharedSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return text
}
