package quorum

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabirelay/consensus"
	"wasabirelay/control"
)

const leaseInventory = `{
  "region": "r", "centres": {"a": {}},
  "hosts": {
    "h1": {"centre": "a", "caller": "127.0.0.1:1", "operator": "127.0.0.1:2", "peer": "127.0.0.1:3"},
    "h2": {"centre": "a", "caller": "127.0.0.1:4", "operator": "127.0.0.1:5", "peer": "127.0.0.1:6"},
  },
  "services": {}, "rules": {},
}`

// newLeader returns a leader that has applied index 9 and whose newest applied index older
// than maxApplyLag is 7.
func newLeader(t *testing.T) (*Replica, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	r := &Replica{Host: "h1", Clock: clock, Log: zerolog.Nop()}
	r.role, r.applied = consensus.Leader, 9
	result := r.state.Apply(1, control.Command{At: clock.Now(), Inventory: &control.ApplyInventory{
		Change: "c", Operator: "o", Text: leaseInventory,
	}})
	if result.Refusal != nil {
		t.Fatal(result.Refusal)
	}
	r.state.Advance(9)
	r.leases.init()
	r.leases.becameLeader(r, clock.Now())
	r.leases.commits = []commit{{clock.Now(), 7}}
	return r, clock
}

// Guards against leases for hosts whose state is outdated or different, or that operators
// have removed from the inventory.
func TestGrant(t *testing.T) {
	r, _ := newLeader(t)
	digest := r.state.Digest()
	for _, tt := range []struct {
		name    string
		request RenewRequest
		granted bool
		resync  bool
	}{
		{"up to date", RenewRequest{Host: "h1", Applied: 9, Digest: digest}, true, false},
		{"behind, but within the limit", RenewRequest{Host: "h1", Applied: 7, Digest: 1}, true, false},
		{"too far behind", RenewRequest{Host: "h1", Applied: 6, Digest: digest}, false, false},
		{"different state at the same index", RenewRequest{Host: "h1", Applied: 9, Digest: digest + 1}, false, true},
		{"ahead of the group", RenewRequest{Host: "h1", Applied: 10, Digest: digest}, false, false},
		{"not in the inventory", RenewRequest{Host: "h9", Applied: 9, Digest: digest}, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := r.leases.grant(r, &tt.request)
			is.Equal(got.Length > 0, tt.granted)
			is.Equal(got.Reason == "", tt.granted)
			is.Equal(got.Resync, tt.resync)
		})
	}
}

// Guards against callers that are sent to a draining host, or to a host that is gone.
func TestServingHosts(t *testing.T) {
	is := is.New(t)
	r, clock := newLeader(t)
	renew := func(host string, draining bool) {
		r.leases.grant(r, &RenewRequest{Host: host, Applied: 9, Digest: r.state.Digest(), Draining: draining})
	}
	clock.Advance(2 * time.Second) // Leases that a previous leader may have granted have expired.
	renew("h1", false)
	renew("h2", false)
	r.leases.updateServing(clock.Now())
	is.Equal(r.leases.serving, []string{"h1", "h2"})
	version := r.leases.servingVersion

	renew("h2", true)
	r.leases.updateServing(clock.Now())
	is.Equal(r.leases.serving, []string{"h1"})
	is.Equal(r.leases.servingVersion, version+1)
	is.Equal(r.leases.grant(r, &RenewRequest{Host: "h1", Applied: 9, Digest: r.state.Digest(), HostsVersion: version}).Serving, []string{"h1"})

	clock.Advance(time.Second)
	renew("h2", false) // The host has restarted.
	clock.Advance(time.Second)
	r.leases.updateServing(clock.Now())
	is.Equal(r.leases.serving, []string{"h2"}) // h1 has not renewed for 2 s
}

// Guards against callers that are sent to a host that shut down while it was the leader: the
// new leader does not know that the host drained, and must not list it just because it may
// still hold a lease.
func TestServingAfterElection(t *testing.T) {
	is := is.New(t)
	r, clock := newLeader(t)
	renew := func(host string, hosts uint64) RenewResponse {
		return r.leases.grant(r, &RenewRequest{Host: host, Applied: 9, Digest: r.state.Digest(), HostsVersion: hosts})
	}
	r.leases.updateServing(clock.Now())
	reply := renew("h1", 77)
	is.Equal(reply.HostsVersion, uint64(77)) // the host keeps the list of the previous leader
	is.Equal(len(reply.Serving), 0)
	clock.Advance(servingDelay)
	renew("h1", 77)
	r.leases.updateServing(clock.Now())
	is.Equal(r.leases.serving, []string{"h1"}) // h2 has not renewed with this leader
	reply = renew("h1", 77)
	is.Equal(reply.Serving, []string{"h1"})
	is.True(reply.HostsVersion != 77)
	renew("h2", 77)
	r.leases.updateServing(clock.Now())
	is.Equal(r.leases.serving, []string{"h1", "h2"})
}

// Guards against a lease that a leader grants before its leadership is confirmed, and
// against a request that gets no reply when leadership is lost.
func TestRenewalWaitsForReadRound(t *testing.T) {
	is := is.New(t)
	r, _ := newLeader(t)
	done := make(chan leaseReply, 1)
	r.leases.rounds[5] = []renewal{{RenewRequest{Host: "h1", Applied: 9, Digest: r.state.Digest()}, done}}
	r.leases.confirmed(r, []consensus.Read{{ID: 4}}, nil)
	is.Equal(len(done), 0)
	r.leases.confirmed(r, []consensus.Read{{ID: 5}}, nil)
	is.True((<-done).lease.Length > 0)

	for _, lose := range []func(){
		func() { r.leases.confirmed(r, nil, []uint64{6}) }, func() { r.leases.leadershipLost() },
	} {
		r.leases.rounds[6] = []renewal{{RenewRequest{Host: "h1", Applied: 9}, done}}
		lose()
		is.True((<-done).err != nil)
	}
}
