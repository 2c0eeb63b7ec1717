package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/declaration"
)

// Guards against shares of the retry budget that a host uses before all others know of them, keeps
// while it hears nothing, or loses for good.
func TestSlackShares(t *testing.T) {
	const window, settled = 10 * time.Second, 10*time.Second + maxSilence
	start := time.Unix(100, 0)
	type step struct {
		at      time.Duration
		share   float64
		divided float64 // share of service s if above 0
		silent  bool
		// general and own are the shares that apply.
		general, own float64
	}
	for _, tt := range []struct {
		name  string
		first bool
		steps []step
	}{
		{"restart", false, []step{
			{at: 0, share: 0.5},
			{at: settled - 1, share: 0.5},
			{at: settled, share: 0.5, general: 0.5, own: 0.5},
		}},
		{"first start", true, []step{
			{at: 0, share: 1, general: startShare, own: startShare},
			{at: 1, share: startShare / 2, general: startShare / 2, own: startShare / 2},
			{at: maxSilence - 1, share: 0.5, general: startShare / 2, own: startShare / 2},
		}},
		{"first start, settled", true, []step{
			{at: 0, share: 1, general: startShare, own: startShare},
			{at: maxSilence - 1, share: 0.5, general: startShare, own: startShare},
			{at: maxSilence, share: 0.5, general: 0.5, own: 0.5},
		}},
		{"first start, then no news", true, []step{
			{at: 0, share: 1, general: startShare, own: startShare},
			{at: maxSilence, share: 1, silent: true},
			{at: maxSilence + 1, share: 1},
		}},
		{"smaller at once, larger later", true, []step{
			{at: maxSilence, share: 0.5, general: 0.5, own: 0.5},
			{at: maxSilence + 1, share: 0.25, general: 0.25, own: 0.25},
			{at: maxSilence + 2, share: 0.5, general: 0.25, own: 0.25},
			{at: maxSilence + 1 + settled, share: 0.5, general: 0.25, own: 0.25},
			{at: maxSilence + 2 + settled, share: 0.5, general: 0.5, own: 0.5},
		}},
		{"no news", true, []step{
			{at: maxSilence, share: 0.5, general: 0.5, own: 0.5},
			{at: 2*maxSilence - 1, share: 0.5, silent: true, general: 0.5, own: 0.5},
			{at: 2 * maxSilence, share: 0.5, silent: true},
			{at: 2*maxSilence + 1, share: 0.5},
			{at: 2*maxSilence + settled, share: 0.5},
			{at: 2*maxSilence + settled + 1, share: 0.5, general: 0.5, own: 0.5},
		}},
		{"service that only some hosts ask", true, []step{
			{at: maxSilence, share: 0.25, general: 0.25, own: 0.25},
			{at: maxSilence + 1, share: 0.25, divided: 0.5, general: 0.25, own: 0.25},
			{at: maxSilence + 1 + settled, share: 0.25, divided: 0.5, general: 0.25, own: 0.5},
			{at: maxSilence + 2 + settled, share: 0.25, divided: 0.125, general: 0.25, own: 0.125},
			{at: maxSilence + 3 + settled, share: 0.25, general: 0.25, own: 0.125},
			{at: maxSilence + 3 + 2*settled, share: 0.25, general: 0.25, own: 0.25},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := slackShares{window: window}
			contact, at := start, time.Duration(0)
			update := func(at time.Duration, st *step) *slackView {
				if !st.silent {
					contact = start.Add(at)
				}
				divisions := map[string]*declaration.Division{}
				if st.divided > 0 {
					divisions["s"] = &declaration.Division{Share: st.divided}
				}
				return s.update(start.Add(at), contact, tt.first, st.share, divisions)
			}
			for i := range tt.steps {
				st := &tt.steps[i]
				for ; at < st.at && !st.silent; at += time.Second { // news comes meanwhile
					previous := tt.steps[max(0, i-1)]
					previous.silent = false
					if i > 0 && tt.steps[i-1].silent {
						break
					}
					update(at, &previous)
				}
				at = st.at
				v := update(at, st)
				now := start.Add(at)
				is.Equal(v.share("other", now), dividedSlack*st.general)
				is.Equal(v.share("s", now), dividedSlack*st.own)
			}
		})
	}
}
