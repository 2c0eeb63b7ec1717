package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabirelay/lease"
)

var start = time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)

func at(offset time.Duration) time.Time { return start.Add(offset) }

const second = time.Second

// Guards against a host that measures its lease from the reply, that accepts replies
// to requests that are unknown or no longer pending, or that regains an expired lease
// from a late reply.
func TestHolder(t *testing.T) {
	is := is.New(t)
	var h lease.Holder
	is.True(!h.Valid(at(0)))
	is.True(!h.Reply(1, time.Hour, at(0))) // never sent
	first := h.Request(at(0))
	latest := h.Request(at(second))
	is.True(h.Reply(latest, 2*second, at(2*second)))
	is.Equal(h.Until(), at(second+1980*time.Millisecond)) // 1% before the end at the leader
	is.True(h.Reply(first, time.Hour, at(2*second)))
	is.Equal(h.Until(), at(second+1980*time.Millisecond)) // older request
	is.True(!h.Valid(at(2980 * time.Millisecond)))
	is.True(!h.Reply(latest, time.Hour, at(3*second))) // a duplicate
	third := h.Request(at(4 * second))
	is.True(!h.Reply(third, 2*second, at(6*second))) // the reply arrives after the end of the lease
}

// Guards against a change that is reported in force while a host may serve without
// having applied it, and against a new leader that ignores leases of its predecessor.
func TestInForce(t *testing.T) {
	is := is.New(t)
	hosts := []string{"h1", "h2", "h3"}
	table := lease.Table{Length: 2 * second}
	table.BeginTerm(at(0), 3*second, hosts)
	state := func(index uint64, now time.Duration) map[string]lease.State {
		states := map[string]lease.State{}
		for _, s := range table.InForce(index, at(now), hosts).Hosts {
			states[s.Host] = s.State
		}
		return states
	}
	is.Equal(table.Live(at(3*second-1)), hosts)
	is.Equal(table.Renew("h1", 7, at(second)), at(3*second))
	is.Equal(table.Renew("h9", 6, at(2*second)), at(4*second)) // removed from the inventory
	is.Equal(state(7, 2*second), map[string]lease.State{
		"h1": lease.Acknowledged, "h2": lease.Pending, "h3": lease.Pending, "h9": lease.Pending,
	})
	is.Equal(state(8, 2*second)["h1"], lease.Pending)
	is.Equal(state(7, 3*second)["h2"], lease.Expired)
	is.True(!table.InForce(7, at(3*second), hosts).InForce) // h9 has not applied the command
	is.True(table.InForce(7, at(4*second), hosts).InForce)
	is.Equal(state(0, 4*second)["h2"], lease.Expired) // without a renewal, not even index 0 is acknowledged

	for _, host := range hosts {
		table.Renew(host, 9, at(4*second))
	}
	table.BeginTerm(at(5*second), 2*second, hosts)
	for _, host := range hosts {
		table.Renew(host, 9, at(5*second))
	}
	is.True(!table.InForce(9, at(7*second-1), hosts).InForce) // a removed host may hold a lease of the previous leader
	is.True(table.InForce(9, at(7*second), hosts).InForce)

	table.Length = second
	is.Equal(table.Renew("h1", 9, at(5*second)), at(7*second)) // a shorter length does not shorten a granted lease
	table.Prune(at(8*second), []string{"h1"})
	is.Equal(len(table.InForce(9, at(8*second), nil).Hosts), 0)
}

// Guards against a host that serves under a lease that has ended at the leader.
// Replies are lost, late, duplicated or reordered, and the clock rates differ by up
// to 1%.
func TestHostLeaseEndsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := lease.Table{Length: second}
		table.BeginTerm(at(0), 2*second, nil)
		var h lease.Holder
		rate := rapid.Float64Range(0.99, 1.01).Draw(t, "rate")
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		local := func(now time.Duration) time.Time { return at(time.Duration(float64(now)*rate) + offset) }
		type reply struct {
			number uint64
			length time.Duration
		}
		var requests []uint64
		var replies []reply
		now := time.Duration(0)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += time.Duration(rapid.Int64Range(0, int64(second)).Draw(t, "wait")) },
			"send": func(*rapid.T) { requests = append(requests, h.Request(local(now))) },
			"grant": func(t *rapid.T) {
				if len(requests) == 0 {
					t.Skip()
				}
				i := pick(len(requests))
				table.Renew("h1", 0, at(now))
				replies = append(replies, reply{requests[i], table.Length})
				requests = append(requests[:i], requests[i+1:]...)
			},
			"receive": func(t *rapid.T) {
				if len(replies) == 0 {
					t.Skip()
				}
				r := replies[pick(len(replies))] // the same reply may be received again
				h.Reply(r.number, r.length, local(now))
			},
			"shorten": func(t *rapid.T) {
				table.Length = time.Duration(rapid.Int64Range(int64(second/10), int64(2*second)).Draw(t, "length"))
			},
			"": func(t *rapid.T) {
				if h.Valid(local(now)) && len(table.Live(at(now))) == 0 {
					t.Fatalf("at %s the host holds a lease that has ended at the leader", now)
				}
			},
		})
	})
}
