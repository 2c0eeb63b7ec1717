package target

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/control"
	"wasabirelay/inventory"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// bench drives a table of host h1 with a view that holds committed targets.
type bench struct {
	table Table
	s     Input
}

func newBench() *bench {
	v := &control.View{
		Revision: 1, Targets: map[string][]*control.Target{},
		Inventory: &inventory.Document{Hosts: map[string]inventory.Host{}},
	}
	addresses := []string{}
	for i := range 3 {
		a := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:7101", i+1))
		v.Inventory.Hosts[fmt.Sprintf("h%d", i+1)] = inventory.Host{Caller: a}
		addresses = append(addresses, a.String())
	}
	return &bench{table: Table{Host: "h1"}, s: Input{Now: start, View: v, Addresses: addresses}}
}

func announced(name, home string) *control.Target {
	t, bad := Decode([]byte(announcement))
	if bad != nil {
		panic(bad)
	}
	t.Name, t.Home = name, home
	return t
}

// commit puts the target into the view.
func (b *bench) commit(t *control.Target) {
	b.s.View.Revision++
	b.s.View.Targets[t.Service] = append(b.s.View.Targets[t.Service], t)
}

// run lets the time pass in check periods while the targets renew, and returns
// the targets that expired.
func (b *bench) run(d time.Duration, renewing ...*control.Target) []string {
	var expired []string
	for end := b.s.Now.Add(d); b.s.Now.Before(end); {
		b.s.Now = b.s.Now.Add(period)
		for _, t := range renewing {
			b.table.Renew(b.s, t)
		}
		for _, l := range b.table.Expire(b.s) {
			expired = append(expired, l.Target)
		}
	}
	return expired
}

// Guards against a log entry for each renewal, and against a change that is
// answered without one.
func TestRenewProposesOnlyChanges(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *bench, a *control.Target)
		want   Decision
	}{
		{"same", func(*bench, *control.Target) {}, Acknowledge},
		{"state", func(_ *bench, a *control.Target) { a.State = control.Draining }, Propose},
		{"snapshot", func(_ *bench, a *control.Target) { a.Snapshots = a.Snapshots[1:] }, Propose},
		{"time set by the state machine", func(b *bench, a *control.Target) { b.s.View.Targets[a.Service][0].Since = start }, Acknowledge},
		{"incarnation", func(_ *bench, a *control.Target) { a.Incarnation = "i2" }, Propose},
		{"removed", func(b *bench, a *control.Target) { b.s.View.Targets = nil }, Propose},
		{"through another host before", func(b *bench, a *control.Target) { b.s.View.Targets[a.Service][0].Home = "h2" }, Propose},
		{"host does not serve", func(b *bench, _ *control.Target) { b.s.Addresses = b.s.Addresses[1:] }, Decline},
		{"hosts are not known", func(b *bench, _ *control.Target) { b.s.Addresses = nil }, Acknowledge},
		{"host is not listed", func(b *bench, _ *control.Target) { b.table.Host = "h9" }, Acknowledge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			b.commit(announced("od-1", "h1"))
			a := announced("od-1", "h1")
			c.change(b, a)
			is.Equal(b.table.Renew(b.s, a), c.want)
		})
	}
}

// Guards against proposals that repeat while the view lags behind the log, and
// against an entry that outlives what the log says.
func TestRenewWithLaggingView(t *testing.T) {
	is := is.New(t)
	b := newBench()
	a := announced("od-1", "h1")
	is.Equal(b.table.Renew(b.s, a), Propose)
	b.table.Accept(b.s, a, control.Result{Index: 2})
	is.Equal(b.table.Renew(b.s, a), Acknowledge) // The view is at 1.
	is.Equal(len(b.run(20*time.Second)), 0)      // Not in the view, so there is nothing to expire.
	b.s.View.Revision = 3
	is.Equal(b.table.Renew(b.s, a), Propose) // At 3 the target is not there: it was removed.
}

// Guards against a proposal with each renewal when the log does not take over a
// snapshot, and against a snapshot that is never proposed again.
func TestDroppedSnapshotIsProposedSlowly(t *testing.T) {
	is := is.New(t)
	b := newBench()
	a := announced("od-1", "h1")
	b.table.Accept(b.s, a, control.Result{Index: 2, Dropped: a.Snapshots[:1]})
	known := *a
	known.Snapshots = a.Snapshots[1:]
	b.commit(&known)
	is.Equal(b.table.Renew(b.s, a), Acknowledge)
	changed := *a
	changed.Snapshots = append([]control.Snapshot{{Number: 6, Shards: 3}}, a.Snapshots...)
	is.Equal(b.table.Renew(b.s, &changed), Propose)
	b.run(inventory.DefaultExpire, a)
	is.Equal(b.table.Renew(b.s, a), Propose)
}

// Guards against silent targets that stay, and renewing ones that are removed.
func TestExpire(t *testing.T) {
	for _, c := range []struct {
		name  string
		setup func(b *bench)
		want  bool
	}{
		{"own", func(*bench) {}, true},
		{"of a serving host", func(b *bench) { b.s.View.Targets["order-desk"][0].Home = "h2" }, false},
		{"told a longer expiry", func(b *bench) {
			b.s.View.Inventory.Rules.Expire.Duration = time.Minute
			b.table.Renew(b.s, announced("silent", "h1"))
			b.s.View.Inventory.Rules.Expire.Duration = 0
		}, false},
		{"host does not serve", func(b *bench) { b.s.Addresses = b.s.Addresses[1:] }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			renewing := announced("renewing", "h1")
			b.commit(announced("silent", "h1"))
			b.commit(renewing)
			c.setup(b)
			is.Equal(len(b.run(inventory.DefaultExpire-period, renewing)), 0)
			got := b.run(2*period, renewing)
			is.Equal(len(got) == 1 && got[0] == "silent", c.want)
		})
	}
}

// Guards against a flood of proposals for a removal that fails.
func TestExpireRepeatsSlowly(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.commit(announced("silent", "h1"))
	is.Equal(len(b.run(inventory.DefaultExpire+2*inventory.DefaultRenew+period)), 3)
}

// Guards against the loss of every target after a freeze or an outage of this
// host, in whatever order the calls come after it.
func TestFreezeDoesNotExpire(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  func(b *bench)
	}{
		{"check first", func(b *bench) { b.s.Now = b.s.Now.Add(time.Minute) }},
		{"renewal of another target first", func(b *bench) {
			b.s.Now = b.s.Now.Add(time.Minute)
			b.table.Renew(b.s, announced("other", "h1"))
		}},
		{"accepted announcement first", func(b *bench) {
			b.s.Now = b.s.Now.Add(time.Minute)
			b.table.Accept(b.s, announced("other", "h1"), control.Result{Index: b.s.View.Revision})
		}},
		{"clock set back", func(b *bench) { b.s.Now = b.s.Now.Add(-time.Minute) }},
		{"outage", func(b *bench) {
			all := b.s.Addresses
			b.s.Addresses = []string{}
			b.run(time.Minute)
			b.s.Addresses = all
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
			b.commit(announced("od-1", "h1"))
			b.run(time.Second, announced("od-1", "h1"))
			c.gap(b)
			is.Equal(len(b.run(inventory.DefaultExpire-period)), 0) // One more period to renew in.
			is.Equal(len(b.run(2*period)), 1)                       // But not a second one.
		})
	}
}

// Guards against targets that are never removed because they died together
// with their home, and against several hosts that all remove them.
func TestOrphansHaveOneWatcher(t *testing.T) {
	is := is.New(t)
	watchers := map[string]int{}
	for _, host := range []string{"h1", "h2"} {
		b := newBench()
		b.table.Host = host
		for i := range 20 {
			b.commit(announced(fmt.Sprint("od-", i), "h3"))
		}
		is.Equal(len(b.run(time.Minute)), 0) // h3 serves.
		b.s.Addresses = b.s.Addresses[:2]
		is.Equal(len(b.run(inventory.DefaultExpire)), 0)
		for _, name := range b.run(2 * period) {
			watchers[name]++
		}
	}
	is.Equal(len(watchers), 20)
	for _, n := range watchers {
		is.Equal(n, 1)
	}
}

// Guards against a removal on the old home after the target has moved.
func TestMovedTargetIsForgotten(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.commit(announced("od-1", "h1"))
	b.run(time.Second)
	moved := announced("od-1", "h2")
	b.s.View.Targets[moved.Service][0] = moved
	is.Equal(len(b.run(time.Minute)), 0)
	is.Equal(len(b.table.entries), 0)
}
