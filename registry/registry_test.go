package registry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
)

var (
	start   = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

func ready(target string, startMilli int64, sequence uint64) Announcement {
	return Announcement{Target: target, StartUnixMilli: startMilli, Sequence: sequence, Service: "s", Centre: "c", Address: address, State: Ready}
}

func with(a Announcement, change func(*Announcement)) Announcement {
	change(&a)
	return a
}

func draining(a Announcement) Announcement { a.State = Draining; return a }

func gone(a Announcement) Announcement { a.State = Gone; return a }

// Guards against a late announcement that revives a target that has left, or an earlier
// incarnation of it.
func TestAnnouncementOrder(t *testing.T) {
	for _, tt := range []struct {
		name          string
		announcements []Announcement
		want          Announcement
	}{
		{"later sequence", []Announcement{ready("t", 1, 1), ready("t", 1, 2)}, ready("t", 1, 2)},
		{"late heartbeat", []Announcement{ready("t", 1, 5), ready("t", 1, 2)}, ready("t", 1, 5)},
		{"late heartbeat after draining", []Announcement{draining(ready("t", 1, 5)), ready("t", 1, 6)}, draining(ready("t", 1, 5))},
		{"late draining after the leave", []Announcement{gone(ready("t", 1, 0)), draining(ready("t", 1, 9))}, gone(ready("t", 1, 0))},
		{"new incarnation with a small sequence", []Announcement{gone(ready("t", 1, 9)), ready("t", 2, 1)}, ready("t", 2, 1)},
		{"heartbeat of the previous incarnation", []Announcement{ready("t", 2, 1), ready("t", 1, 9)}, ready("t", 2, 1)},
		{"leave of the previous incarnation", []Announcement{ready("t", 2, 1), gone(ready("t", 1, 9))}, ready("t", 2, 1)},
		{"leave without a start time", []Announcement{ready("t", 2, 7), {Target: "t", State: Gone}}, gone(ready("t", 2, 7))},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := Table{SilenceTimeout: time.Minute}
			for i, a := range tt.announcements {
				table.Announce(start.Add(time.Duration(i)*time.Second), a)
			}
			is.New(t).Equal(table.Since(start.Add(time.Minute), 0)[0].Announcement, tt.want)
		})
	}
}

// Guards against updates to all hosts with each heartbeat, and against a missing update when a
// target becomes cold again.
func TestAnnouncementChanges(t *testing.T) {
	is := is.New(t)
	table := Table{SilenceTimeout: 5 * time.Second}
	is.True(table.Announce(start, ready("t", 1, 1)))
	is.True(!table.Announce(start.Add(time.Second), ready("t", 1, 2)))
	cold := with(ready("t", 1, 3), func(a *Announcement) { a.ColdRemaining = 3 * time.Second })
	is.True(table.Announce(start.Add(2*time.Second), cold))
	less := with(ready("t", 1, 4), func(a *Announcement) { a.ColdRemaining = 2 * time.Second })
	is.True(!table.Announce(start.Add(3*time.Second), less)) // the cold phase ends at the same time
	is.True(!table.Tick(start.Add(7 * time.Second)))
	is.True(table.Tick(start.Add(9 * time.Second))) // silent
	is.True(table.Since(start, 0)[0].Silent)
	is.True(table.Announce(start.Add(10*time.Second), ready("t", 1, 5)))
	is.True(!table.Since(start, 0)[0].Silent)
	table.Tick(start.Add(time.Hour))
	is.Equal(len(table.Since(start, 0)), 0)
}

// Guards against targets of an earlier run that count forever although they have ended
// in the meantime.
func TestRestore(t *testing.T) {
	is := is.New(t)
	table := Table{SilenceTimeout: 5 * time.Second}
	table.Restore(start, []Record{{Announcement: ready("a", 1, 9)}, {Announcement: ready("b", 1, 9)}, {Announcement: gone(ready("c", 1, 9))}}, 3*time.Second)
	table.Announce(start.Add(time.Second), ready("a", 1, 10))
	table.Tick(start.Add(2 * time.Second))
	is.Equal(table.Len(), 2)
	table.Tick(start.Add(4 * time.Second))
	is.Equal(table.Len(), 1)
	is.True(!table.Announce(start.Add(5*time.Second), ready("c", 1, 10))) // it stays gone
}

type update struct {
	host        string
	incarnation uint64
	at          time.Duration
	records     []Record
}

func recordsOf(list ...Announcement) []Record {
	var records []Record
	for _, a := range list {
		records = append(records, Record{Announcement: a})
	}
	return records
}

// Guards against requests to targets that left, died or whose address another target took
// over, and against the loss of live targets when a control host restarts or is cut off.
func TestMerge(t *testing.T) {
	silent := Record{Announcement: ready("t", 1, 3), Silent: true}
	other := ready("u", 5, 1) // at the same address
	for _, tt := range []struct {
		name    string
		updates []update
		at      time.Duration
		want    []string
	}{
		{"announced to one control host", []update{{"a", 1, 0, recordsOf(ready("t", 1, 3))}, {"b", 1, 0, nil}}, 0, []string{"t"}},
		{"silent at one control host", []update{{"a", 1, 0, recordsOf(ready("t", 1, 9))}, {"b", 1, 0, []Record{silent}}}, 0, []string{"t"}},
		{"silent at all control hosts", []update{{"a", 1, 0, []Record{silent}}, {"b", 1, 0, []Record{silent}}}, 0, nil},
		{"draining at one control host", []update{{"a", 1, 0, recordsOf(ready("t", 1, 9))}, {"b", 1, 0, recordsOf(draining(ready("t", 1, 5)))}}, 0, nil},
		{"left at a control host without a record", []update{{"a", 1, 0, recordsOf(ready("t", 1, 9))}, {"b", 1, 0, recordsOf(Announcement{Target: "t", State: Gone})}}, 0, nil},
		{"new incarnation under the same name", []update{{"a", 1, 0, recordsOf(gone(ready("t", 1, 9)))}, {"b", 1, 0, recordsOf(ready("t", 2, 1))}}, 0, []string{"t"}},
		{"address taken over", []update{{"a", 1, 0, recordsOf(ready("t", 1, 9))}, {"b", 1, 0, recordsOf(other)}}, 0, []string{"u"}},
		{"control host restarted recently", []update{{"a", 1, 0, recordsOf(ready("t", 1, 9))}, {"a", 2, time.Second, nil}}, 2 * time.Second, []string{"t"}},
		{"control host restarted long ago", []update{{"a", 1, 0, recordsOf(ready("t", 1, 9))}, {"a", 2, time.Second, nil}}, time.Minute, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var m MergedTable
			for _, u := range tt.updates {
				m.Update(start.Add(u.at), u.host, u.incarnation, u.records, 5*time.Second)
			}
			services, _ := m.Targets(start.Add(tt.at))
			var names []string
			for _, target := range services["s"] {
				names = append(names, target.Name)
			}
			is.New(t).Equal(names, tt.want)
		})
	}
}

// Guards against requests to a cold target, and against a warm target that gets none because
// the host does not update its view when the cold phase ends.
func TestColdPhase(t *testing.T) {
	is := is.New(t)
	var m MergedTable
	m.Update(start, "a", 1, recordsOf(with(ready("t", 1, 1), func(a *Announcement) { a.ColdRemaining = 2 * time.Second })), time.Second)
	services, next := m.Targets(start.Add(time.Second))
	is.Equal(services["s"][0].State, control.Cold)
	is.Equal(next, start.Add(2*time.Second))
	services, next = m.Targets(start.Add(2 * time.Second))
	is.Equal(services["s"][0].State, control.Warm)
	is.True(next.IsZero())
}

// Guards against hosts that send requests to different targets at one address, by chance, because
// both started in the same millisecond, and against a target that left and still owns its address.
func TestAddressOfTwoTargets(t *testing.T) {
	for range 20 { // the order of maps varies
		is := is.New(t)
		var m MergedTable
		m.Update(start, "a", 1, recordsOf(ready("t", 1, 3), ready("u", 1, 3)), time.Second)
		services, _ := m.Targets(start)
		is.Equal(len(services["s"]), 1)
		is.Equal(services["s"][0].Name, "t")
		m.Update(start, "a", 1, recordsOf(gone(ready("t", 1, 4))), time.Second)
		services, _ = m.Targets(start)
		is.Equal(len(services["s"]), 1)
		is.Equal(services["s"][0].Name, "u")
	}
}
