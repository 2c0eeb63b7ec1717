package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabirelay/routing"
)

func names(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s%03d", prefix, i))
	}
	return list
}

// Guards against a division that leaves out a shard or names one twice, that puts too
// many shards on one host, and that differs between hosts.
func TestDivide(t *testing.T) {
	is := is.New(t)
	hosts := names("h", 7)
	is.True(divide(names("s", divideFrom-1), hosts, "h000") == nil)
	is.True(divide(names("s", divideFrom), hosts[:1], "h000") == nil)
	for _, n := range []int{divideFrom, 100, 250, 390} {
		shards := names("s", n)
		first := divide(shards, hosts, "h000")
		owners := map[int]bool{}
		for i, self := range append(slices.Clone(hosts), "other") {
			d := divide(shards, hosts, self)
			is.Equal(slices.Concat(d.groups...), shards)
			is.Equal(d.groups, first.groups)
			for g, group := range d.groups {
				is.True(len(group) <= max(portionSize, (n+len(hosts)-1)/len(hosts)))
				is.True(g == d.own || len(d.teams[g]) > 0)
				is.True(!slices.Contains(d.teams[g], self))
			}
			owners[d.own] = true
			if i < len(hosts) && i%len(d.groups) != d.own {
				t.Errorf("%s owns group %d", self, d.own)
			}
		}
		is.Equal(len(owners), len(first.groups))
	}
}

// Guards against connections of all hosts to targets that few of them ask, and against a
// service that nobody asks.
func TestAskers(t *testing.T) {
	is := is.New(t)
	shards := names("s", 100)
	v := &View{Routing: routing.NewTable(&routing.Document{Routes: []routing.Route{
		{Name: "all", Host: "h", Prefix: "/a/", Shards: shards},
		{Name: "again", Host: "h", Prefix: "/b/", Shards: slices.Sorted(slices.Values(shards))},
		{Name: "few", Host: "h", Prefix: "/f/", Shards: shards[98:]},
		{Name: "one", Host: "h", Prefix: "/o/", Backends: []routing.Backend{{Service: "single", Weight: 1}}},
	}})}
	centres := map[string][]string{"a": names("a", 5), "b": names("b", 6)}
	askers := v.Askers(centres)
	is.Equal(len(askers), 98) // all hosts ask the two of the smaller route, and the single one
	total := 0
	for centre, hosts := range centres {
		for _, self := range hosts {
			d := divide(shards, hosts, self)
			for _, service := range d.groups[d.own] {
				total++
				if askers[service] != nil && !slices.Contains(askers[service], self) {
					t.Errorf("%s of %s is no asker of %s", self, centre, service)
				}
			}
		}
	}
	is.True(total < 100*11/2)
	centres["c"] = []string{"c0"} // alone in its data centre, it asks all
	is.Equal(len(v.Askers(centres)), 0)
}

// Guards against answers of several hosts that are not what one host would answer, and
// against shards that are lost or asked twice when a host can't help.
func TestDivided(t *testing.T) {
	for _, tt := range []struct {
		name    string
		ask     func(other *Service) func(context.Context, []string, *PortionRequest) (*PortionReply, error)
		status  int
		missing string
		asked   int64
	}{
		{"helped", func(o *Service) func(context.Context, []string, *PortionRequest) (*PortionReply, error) {
			return func(ctx context.Context, _ []string, q *PortionRequest) (*PortionReply, error) {
				return o.Collect(ctx, q), nil
			}
		}, http.StatusOK, "1", 1},
		{"not asked", func(*Service) func(context.Context, []string, *PortionRequest) (*PortionReply, error) {
			return func(context.Context, []string, *PortionRequest) (*PortionReply, error) {
				return nil, &NotAskedError{"gone"}
			}
		}, http.StatusOK, "1", 1},
		{"lost", func(o *Service) func(context.Context, []string, *PortionRequest) (*PortionReply, error) {
			return func(ctx context.Context, _ []string, q *PortionRequest) (*PortionReply, error) {
				o.Collect(ctx, q)
				return nil, errors.New("lost")
			}
		}, http.StatusBadGateway, "", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const count = 70
			var targets []*fake
			for i, name := range names("s", count) {
				f := target("i"+name, name).records(fmt.Sprintf("%03d", i))
				if i == 60 {
					f.status(http.StatusInternalServerError, true)
				}
				targets = append(targets, f)
			}
			r := shards(0.9, names("s", count)...)
			r.Attempts = 1
			g := newRig(t, r, targets...)
			g.view.Helpers = []string{"h1", "h2"}
			g.service.Self, g.service.Ask = "h1", tt.ask(g.service)
			res, body := g.get(t, nil)
			is.Equal(res.StatusCode, tt.status)
			is.Equal(res.Header.Get(headers.Missing), tt.missing)
			for _, f := range targets {
				is.Equal(f.asked.Load(), tt.asked)
			}
			if tt.status != http.StatusOK {
				return
			}
			is.Equal(body, string(record("069"))+string(record("068"))+string(record("067")))
			signatures := strings.Split(res.Header.Get(headers.Parts), ", ")
			slices.Sort(signatures)
			is.Equal(len(slices.Compact(signatures)), count-1)
		})
	}
}

// Guards against an answer that waits for a host that has fallen silent, and against one
// that goes out although too little of it is there.
func TestDividedLate(t *testing.T) {
	is := is.New(t)
	var targets []*fake
	for _, name := range names("s", divideFrom) {
		targets = append(targets, target("i"+name, name).records("r"))
	}
	r := shards(0.4, names("s", divideFrom)...)
	r.Objective = 200 * time.Millisecond
	g := newRig(t, r, targets...)
	g.view.Helpers = []string{"h1", "h2"}
	g.service.Self = "h1"
	g.service.Ask = func(ctx context.Context, _ []string, _ *PortionRequest) (*PortionReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	started := time.Now()
	res, _ := g.get(t, nil)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(res.Header.Get(headers.Missing), fmt.Sprint(divideFrom/2))
	is.True(time.Since(started) >= r.Objective-ReplyMargin-ConnectMargin)
	g.view.Routing.Document.Routes[0].Quorum = 0.6
	res, _ = g.get(t, nil)
	is.Equal(res.StatusCode, http.StatusGatewayTimeout)
}

// Guards against a portion that is collected by a host that can't, and against one that
// goes on for longer than targets may work for a caller who has left.
func TestCollect(t *testing.T) {
	is := is.New(t)
	g := newRig(t, shards(1, "s1"), target("i1", "s1").hang())
	q := &PortionRequest{Request: "r1", Method: http.MethodGet, URI: "/q/x", Host: "h", Header: http.Header{headers.Request: {"r1"}}, Shards: []string{"s1"}, Attempts: 1, Quorum: 1, Objective: time.Second, Left: time.Minute}
	started := time.Now()
	reply := g.service.Collect(t.Context(), q)
	is.Equal(reply.Failed, []FailedShard{{Service: "s1", Reason: errPending.Error(), Ran: true}})
	is.True(time.Since(started) < portionTime+time.Second)
	for _, change := range []func(){
		func() { q.Shards = nil },
		func() { g.service.Draining = func() bool { return true } },
		func() { g.view = nil },
	} {
		change()
		is.True(g.service.Collect(t.Context(), q).Refused != "")
	}
}
