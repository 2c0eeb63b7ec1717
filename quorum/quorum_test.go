package quorum

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/consensus"
)

// Guards against a second group beside an existing one, and against a group that
// a part of the control hosts founds without the others.
func TestDecide(t *testing.T) {
	hosts := []string{"h1", "h2", "h3"}
	blank := func(id string) Hello { return Hello{ID: id} }
	member := func(id string, founders ...string) Hello {
		return Hello{ID: id, Members: append([]string{"h2/learner"}, founders...), BootstrapMembers: founders}
	}
	for _, tt := range []struct {
		name   string
		self   string
		others map[string]Hello
		want   entry
	}{
		{"nobody answers", "h1/a", nil, entry{}},
		{"one is silent", "h1/a", map[string]Hello{"h2": blank("h2/b")}, entry{}},
		{
			"all blank, lowest name", "h1/a",
			map[string]Hello{"h2": blank("h2/b"), "h3": blank("h3/c")},
			entry{found: []string{"h1/a", "h2/b", "h3/c"}},
		},
		{"all blank, not lowest", "h2/b", map[string]Hello{"h1": blank("h1/a"), "h3": blank("h3/c")}, entry{}},
		{
			"founded with this one", "h2/b",
			map[string]Hello{"h1": member("h1/a", "h1/a", "h2/b", "h3/c")},
			entry{adopt: []string{"h1/a", "h2/b", "h3/c"}},
		},
		{
			"founded before the disk was lost", "h2/new",
			map[string]Hello{"h1": member("h1/a", "h1/a", "h2/b", "h3/c"), "h3": blank("h3/x")},
			entry{join: "h1"},
		},
		{
			"joined as a learner and restarted before the log came", "h2/learner",
			map[string]Hello{"h1": member("h1/a", "h1/a", "h2/b", "h3/c")},
			entry{join: "h1"},
		},
		{
			"lowest name lost its disk while one is down", "h1/new",
			map[string]Hello{"h3": member("h3/c", "h1/a", "h2/b", "h3/c")},
			entry{join: "h3"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := decide(Hello{ID: tt.self}, hosts, tt.others)
			is := is.New(t)
			is.True(slices.Equal(got.found, tt.want.found))
			is.True(slices.Equal(got.adopt, tt.want.adopt))
			is.Equal(got.join, tt.want.join)
		})
	}
}

// Guards against a repair that removes a member whose place nobody has taken, or
// that promotes a learner before its log has caught up.
func TestNextChange(t *testing.T) {
	now := time.Unix(100, 0)
	const silence = time.Second
	live := func(match uint64) consensus.Progress { return consensus.Progress{Match: match, LastHeard: now} }
	dead := consensus.Progress{Match: 10, LastHeard: now.Add(-time.Minute)}
	status := func(learners []string, progress map[string]consensus.Progress, voters ...string) *consensus.Status {
		return &consensus.Status{
			ID: "h1/a", Ready: true, Last: 1000, Progress: progress,
			Members: consensus.Members{Voters: voters, Learners: learners},
		}
	}
	for _, tt := range []struct {
		name   string
		status *consensus.Status
		want   consensus.MembershipChange
	}{
		{"a silent voter stays", status(nil, map[string]consensus.Progress{"h2/b": dead, "h3/c": live(1000)}, "h1/a", "h2/b", "h3/c"), consensus.MembershipChange{}},
		{
			"a spare host takes the place of a voter that is silent for long", status([]string{"h4/d"}, map[string]consensus.Progress{"h4/d": live(1000), "h2/b": dead, "h3/c": live(1000)}, "h1/a", "h2/b", "h3/c"),
			consensus.MembershipChange{Action: consensus.Remove, ID: "h2/b"},
		},
		{
			"a spare host leaves a voter that is silent for a moment its place", status([]string{"h4/d"}, map[string]consensus.Progress{"h4/d": live(1000), "h2/b": {Match: 10, LastHeard: now.Add(-2 * time.Second)}, "h3/c": live(1000)}, "h1/a", "h2/b", "h3/c"),
			consensus.MembershipChange{Action: consensus.Promote, ID: "h4/d"},
		},
		{
			"a learner far behind waits", status([]string{"h2/n"}, map[string]consensus.Progress{"h2/n": live(900), "h2/b": dead, "h3/c": live(1000)}, "h1/a", "h2/b", "h3/c"),
			consensus.MembershipChange{},
		},
		{
			"the lost identity is removed once the learner has caught up", status([]string{"h2/n"}, map[string]consensus.Progress{"h2/n": live(990), "h2/b": dead, "h3/c": live(1000)}, "h1/a", "h2/b", "h3/c"),
			consensus.MembershipChange{Action: consensus.Remove, ID: "h2/b"},
		},
		{
			"a learner waits for the old identity to fall silent", status([]string{"h2/n"}, map[string]consensus.Progress{"h2/n": live(990), "h2/b": live(1000), "h3/c": live(1000)}, "h1/a", "h2/b", "h3/c"),
			consensus.MembershipChange{},
		},
		{
			"a learner that caught up is promoted", status([]string{"h2/n"}, map[string]consensus.Progress{"h2/n": live(990), "h3/c": live(1000)}, "h1/a", "h3/c"),
			consensus.MembershipChange{Action: consensus.Promote, ID: "h2/n"},
		},
		{
			"a silent learner is not promoted", status([]string{"h2/n"}, map[string]consensus.Progress{"h2/n": {Match: 1000, LastHeard: now.Add(-time.Minute)}, "h3/c": live(1000)}, "h1/a", "h2/b", "h3/c"),
			consensus.MembershipChange{},
		},
		{
			"an old identity beside a voter of the host is removed", status(nil, map[string]consensus.Progress{"h2/n": live(1000), "h2/b": dead, "h3/c": live(1000)}, "h1/a", "h2/b", "h2/n", "h3/c"),
			consensus.MembershipChange{Action: consensus.Remove, ID: "h2/b"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := nextChange(tt.status, now, silence)
			is := is.New(t)
			is.Equal(got, tt.want)
			is.Equal(ok, tt.want != consensus.MembershipChange{})
		})
	}
	pending := status([]string{"h2/n"}, map[string]consensus.Progress{"h2/n": live(1000)}, "h1/a", "h2/b", "h3/c")
	pending.Pending = 7
	_, ok := nextChange(pending, now, silence)
	is.New(t).Equal(ok, false) // one change at a time
}
