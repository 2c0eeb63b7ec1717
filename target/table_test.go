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

// harness calls the table of host h1 with a view of committed targets.
type harness struct {
	table Table
	in    Input
}

func newHarness() *harness {
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
	return &harness{table: Table{Host: "h1"}, in: Input{Now: start, View: v, Addresses: addresses}}
}

func newTarget(name, home string) *control.Target {
	t, refusal := Decode([]byte(announcement))
	if refusal != nil {
		panic(refusal)
	}
	t.Name, t.Home = name, home
	return t
}

// commit adds the target to the view.
func (h *harness) commit(t *control.Target) {
	h.in.View.Revision++
	h.in.View.Targets[t.Service] = append(h.in.View.Targets[t.Service], t)
}

// run advances the time by d in check intervals while the targets in renewing renew, and
// returns the names of the targets that expired.
func (h *harness) run(d time.Duration, renewing ...*control.Target) []string {
	var expired []string
	for end := h.in.Now.Add(d); h.in.Now.Before(end); {
		h.in.Now = h.in.Now.Add(checkInterval)
		for _, t := range renewing {
			h.table.Renew(h.in, t)
		}
		for _, l := range h.table.Expire(h.in) {
			expired = append(expired, l.Target)
		}
	}
	return expired
}

// Guards against a log entry for each renewal, and against a change that is acknowledged
// without a log entry.
func TestRenewProposesOnlyChanges(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *harness, a *control.Target)
		want   Decision
	}{
		{"same", func(*harness, *control.Target) {}, Acknowledge},
		{"state", func(_ *harness, a *control.Target) { a.State = control.Draining }, Propose},
		{"snapshot", func(_ *harness, a *control.Target) { a.Snapshots = a.Snapshots[1:] }, Propose},
		{"time set by the state machine", func(h *harness, a *control.Target) { h.in.View.Targets[a.Service][0].Since = start }, Acknowledge},
		{"incarnation", func(_ *harness, a *control.Target) { a.Incarnation = "i2" }, Propose},
		{"removed", func(h *harness, a *control.Target) { h.in.View.Targets = nil }, Propose},
		{"last through another host", func(h *harness, a *control.Target) { h.in.View.Targets[a.Service][0].Home = "h2" }, Propose},
		{"host does not serve", func(h *harness, _ *control.Target) { h.in.Addresses = h.in.Addresses[1:] }, Decline},
		{"serving hosts unknown", func(h *harness, _ *control.Target) { h.in.Addresses = nil }, Acknowledge},
		{"host is not listed", func(h *harness, _ *control.Target) { h.table.Host = "h9" }, Acknowledge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			h.commit(newTarget("od-1", "h1"))
			a := newTarget("od-1", "h1")
			c.change(h, a)
			is.Equal(h.table.Renew(h.in, a), c.want)
		})
	}
}

// Guards against repeated proposals while the view lags behind the log, and against an
// entry that is used after the view has passed its log index.
func TestRenewWithLaggingView(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	a := newTarget("od-1", "h1")
	is.Equal(h.table.Renew(h.in, a), Propose)
	h.table.Accept(h.in, a, control.Result{Index: 2})
	is.Equal(h.table.Renew(h.in, a), Acknowledge) // The view is at revision 1.
	is.Equal(len(h.run(20*time.Second)), 0)       // The target is not in the view, so there is nothing to expire.
	h.in.View.Revision = 3
	is.Equal(h.table.Renew(h.in, a), Propose) // The target is not in revision 3: it was removed.
}

// Guards against a proposal with each renewal when the control state does not accept a
// snapshot, and against a snapshot that is never proposed again.
func TestDroppedSnapshotIsProposedOncePerExpiry(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	a := newTarget("od-1", "h1")
	h.table.Accept(h.in, a, control.Result{Index: 2, Dropped: a.Snapshots[:1]})
	committed := *a
	committed.Snapshots = a.Snapshots[1:]
	h.commit(&committed)
	is.Equal(h.table.Renew(h.in, a), Acknowledge)
	changed := *a
	changed.Snapshots = append([]control.Snapshot{{Number: 6, Shards: 3}}, a.Snapshots...)
	is.Equal(h.table.Renew(h.in, &changed), Propose)
	h.run(inventory.DefaultExpireAfter, a)
	is.Equal(h.table.Renew(h.in, a), Propose)
}

// Guards against silent targets that are not removed, and renewing targets that are.
func TestExpire(t *testing.T) {
	for _, c := range []struct {
		name  string
		setup func(h *harness)
		want  bool
	}{
		{"own", func(*harness) {}, true},
		{"of a serving host", func(h *harness) { h.in.View.Targets["order-desk"][0].Home = "h2" }, false},
		{"longer expiry was sent", func(h *harness) {
			h.in.View.Inventory.Rules.ExpireAfter.Duration = time.Minute
			h.table.Renew(h.in, newTarget("silent", "h1"))
			h.in.View.Inventory.Rules.ExpireAfter.Duration = 0
		}, false},
		{"host does not serve", func(h *harness) { h.in.Addresses = h.in.Addresses[1:] }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			renewing := newTarget("renewing", "h1")
			h.commit(newTarget("silent", "h1"))
			h.commit(renewing)
			c.setup(h)
			is.Equal(len(h.run(inventory.DefaultExpireAfter-checkInterval, renewing)), 0)
			got := h.run(2*checkInterval, renewing)
			is.Equal(len(got) == 1 && got[0] == "silent", c.want)
		})
	}
}

// Guards against a proposal in each check while a removal fails.
func TestExpireRepeatsOncePerRenewInterval(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.commit(newTarget("silent", "h1"))
	is.Equal(len(h.run(inventory.DefaultExpireAfter+2*inventory.DefaultRenewInterval+checkInterval)), 3)
}

// Guards against the loss of all targets after a freeze or an outage of this host, whichever
// call comes first afterwards.
func TestFreezeDoesNotExpire(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  func(h *harness)
	}{
		{"check first", func(h *harness) { h.in.Now = h.in.Now.Add(time.Minute) }},
		{"renewal of another target first", func(h *harness) {
			h.in.Now = h.in.Now.Add(time.Minute)
			h.table.Renew(h.in, newTarget("other", "h1"))
		}},
		{"accepted announcement first", func(h *harness) {
			h.in.Now = h.in.Now.Add(time.Minute)
			h.table.Accept(h.in, newTarget("other", "h1"), control.Result{Index: h.in.View.Revision})
		}},
		{"clock set back", func(h *harness) { h.in.Now = h.in.Now.Add(-time.Minute) }},
		{"outage", func(h *harness) {
			all := h.in.Addresses
			h.in.Addresses = []string{}
			h.run(time.Minute)
			h.in.Addresses = all
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			h.commit(newTarget("od-1", "h1"))
			h.run(time.Second, newTarget("od-1", "h1"))
			c.gap(h)
			is.Equal(len(h.run(inventory.DefaultExpireAfter-checkInterval)), 0) // One more expiry period to renew.
			is.Equal(len(h.run(2*checkInterval)), 1)                            // No second one.
		})
	}
}

// Guards against targets that are never removed because they died together with their home
// host, and against removals by several hosts.
func TestOneHostIsResponsibleForOrphans(t *testing.T) {
	is := is.New(t)
	removals := map[string]int{}
	for _, host := range []string{"h1", "h2"} {
		h := newHarness()
		h.table.Host = host
		for i := range 20 {
			h.commit(newTarget(fmt.Sprint("od-", i), "h3"))
		}
		is.Equal(len(h.run(time.Minute)), 0) // h3 serves.
		h.in.Addresses = h.in.Addresses[:2]
		is.Equal(len(h.run(inventory.DefaultExpireAfter)), 0)
		for _, name := range h.run(2 * checkInterval) {
			removals[name]++
		}
	}
	is.Equal(len(removals), 20)
	for _, n := range removals {
		is.Equal(n, 1)
	}
}

// Guards against a removal by the old home host after the target has moved to another.
func TestMovedTargetIsDropped(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.commit(newTarget("od-1", "h1"))
	h.run(time.Second)
	moved := newTarget("od-1", "h2")
	h.in.View.Targets[moved.Service][0] = moved
	is.Equal(len(h.run(time.Minute)), 0)
	is.Equal(len(h.table.entries), 0)
}
