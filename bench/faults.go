package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"wasabirelay/searcher"
)

// straggler makes one searcher slow, without giving the clients time to learn it.
func (t *trial) straggler(ctx context.Context) error {
	// The baselines ran meanwhile, so that the entry hosts had no traffic.
	if err := t.settle(ctx); err != nil {
		return err
	}
	p99, extra := map[string]float64{}, map[string]float64{}
	for _, s := range []sender{t.relay(), t.randomly(), t.naively()} {
		if err := s.set.items[0].Fault(map[string]any{"slow": straggling}); err != nil {
			return err
		}
		before, err := s.set.Counts()
		if err != nil {
			return err
		}
		out := t.load(ctx, "straggler", s, t.rate(), t.Length, patience)
		after, err := s.set.Counts()
		if err != nil {
			return err
		}
		p99[s.name] = out.P99() / t.healthy[s.name].P99()
		extra[s.name] = float64(after.Received-before.Received) / float64(out.Sent*t.shape.Shards)
		if err := s.set.items[0].Fault(map[string]any{"slow": 1}); err != nil {
			return err
		}
	}
	random, naive := p99["random"], extra["naive"]
	return firstError(
		t.print(Figure{
			Name: "straggler_p99", Value: p99["wasabirelay"], Unit: ratioUnit, Base: &random, Bound: "at most 1.3",
			Note: t.at(t.rate()) + fmt.Sprintf("; base: random; naive %.2f; onset included", p99["naive"]),
		}),
		t.print(Figure{
			Name: "extra_load", Value: extra["wasabirelay"], Unit: ratioUnit, Base: &naive, Bound: "at most 1.05",
			Note: t.at(t.rate()) + "; base: naive; counted by the searchers",
		}),
	)
}

// restarts restarts searchers cold with SIGKILL, one after another.
func (t *trial) restarts(ctx context.Context) error {
	p99, cold, peak := map[string]float64{}, map[string]float64{}, map[string]int{}
	n := 0
	for _, s := range []sender{t.relay(), t.randomly()} {
		if s.set == t.system {
			if err := t.settle(ctx); err != nil {
				return err
			}
		}
		before, err := s.set.Counts()
		if err != nil {
			return err
		}
		stopped := make(chan error, 1)
		go func() { stopped <- t.restartAll(s.set, &n) }()
		out := t.load(ctx, "restart", s, t.rate(), t.Length, patience)
		if err := <-stopped; err != nil {
			return err
		}
		after, err := s.set.Counts()
		if err != nil {
			return err
		}
		p99[s.name] = out.P99() / t.healthy[s.name].P99()
		cold[s.name], peak[s.name] = coldRefusals(after)-coldRefusals(before), after.MaxColdAdmitted
	}
	random, excess := p99["random"], cold["random"]
	return firstError(
		t.print(Figure{
			Name: "restart_p99", Value: p99["wasabirelay"], Unit: ratioUnit, Base: &random, Bound: "at most 1.5",
			Note: t.at(t.rate()) + fmt.Sprintf("; base: random; %d searchers restarted by SIGKILL", n),
		}),
		t.print(Figure{
			Name: "cold_excess", Value: cold["wasabirelay"], Unit: "sub-requests", Base: &excess, Bound: "0",
			Note: t.at(t.rate()) + fmt.Sprintf("; base: random; sub-requests that found a cold searcher full; peak %d of 1", peak["wasabirelay"]),
		}),
	)
}

func coldRefusals(c searcher.Counts) float64 { return float64(c.Refused["cold"]) }

// restartAll restarts searchers while a phase lasts, the replicas of one shard not
// in a row.
func (t *trial) restartAll(set *Searchers, n *int) error {
	end := time.Now().Add(t.Length - restartEvery)
	*n = 0
	var order []*standin
	for replica := range set.Shape.Replicas {
		order = append(order, set.Replicas(replica)...)
	}
	for _, it := range order {
		if time.Now().After(end) {
			return nil
		}
		next := time.Now().Add(restartEvery)
		if err := set.Kill(it); err != nil {
			return err
		}
		time.Sleep(restartGap)
		if err := set.Restart(it); err != nil {
			return err
		}
		*n++
		time.Sleep(time.Until(next))
	}
	return nil
}

// lost kills one searcher of every shard under load.
func (t *trial) lost(ctx context.Context) error {
	share := map[string]float64{}
	for _, s := range []sender{t.relay(), t.randomly()} {
		if s.set == t.system {
			if err := t.settle(ctx); err != nil {
				return err
			}
		}
		killed := make(chan error, 1)
		go func() {
			time.Sleep(t.Length / 5)
			for _, it := range s.set.Replicas(1) {
				if err := s.set.Kill(it); err != nil {
					killed <- err
					return
				}
			}
			killed <- nil
		}()
		out := t.load(ctx, "lost", s, t.rate(), t.Length, patience)
		if err := <-killed; err != nil {
			return err
		}
		share[s.name] = out.WholeShare()
		for _, it := range s.set.Replicas(1) {
			if err := s.set.Restart(it); err != nil {
				return err
			}
		}
	}
	random := share["random"]
	return t.print(Figure{
		Name: "coverage", Value: share["wasabirelay"], Unit: "share", Base: &random, Bound: "1",
		Note: t.at(t.rate()) + "; base: random; one searcher of each shard killed after a fifth of the phase",
	})
}

// overload compares twice the capacity with the capacity.
func (t *trial) overload(ctx context.Context) error {
	if err := t.settle(ctx); err != nil {
		return err
	}
	ratio := map[string]float64{}
	note := ""
	for _, s := range []sender{t.relay(), t.randomly()} {
		one := t.load(ctx, "capacity", s, t.capacity, t.Length, inTime)
		two := t.load(ctx, "overload", s, 2*t.capacity, t.Length, inTime)
		ratio[s.name] = two.Goodput() / max(1, one.Goodput())
		note += fmt.Sprintf("; %s %.0f/s then %.0f/s in %s, %d refused with p99 %.0f ms",
			s.name, one.Goodput(), two.Goodput(), inTime, two.Refused, millis(two.Refusal))
	}
	random := ratio["random"]
	return t.print(Figure{
		Name: "goodput_overload", Value: ratio["wasabirelay"], Unit: ratioUnit, Base: &random, Bound: "at least 0.9",
		Note: t.at(t.capacity) + " and twice that; base: random" + note,
	})
}

// doubled sends requests that are not idempotent, resends some of them to another
// host while they run, and kills entry hosts. Callers fail over with the same key.
func (t *trial) doubled(ctx context.Context) error {
	if err := t.settle(ctx); err != nil {
		return err
	}
	caller := *t.caller
	caller.Failover = true
	prefix := uuid.NewString()
	choose := rand.New(rand.NewPCG(t.Seed, 2))
	resend := make([]bool, int(4*claimRate*t.Length.Seconds()))
	for i := range resend {
		resend[i] = choose.Float64() < resendShare
	}
	s := sender{"wasabirelay", func(ctx context.Context, n int) Sample {
		id := fmt.Sprintf("%s-%d", prefix, n)
		again := make(chan Sample, 1)
		if resend[n%len(resend)] {
			go func() {
				time.Sleep(resendAfter)
				again <- caller.Send(ctx, n+1, id, id)
			}()
		} else {
			again <- Sample{}
		}
		first := caller.Send(ctx, n, id, id)
		second := <-again
		return Sample{Whole: first.Whole || second.Whole, Refused: first.Refused && second.Refused}
	}, t.system}
	stopped := make(chan error, 1)
	go func() { stopped <- t.killHosts() }()
	out := t.load(ctx, "doubled", s, claimRate, t.Length, patience)
	if err := <-stopped; err != nil {
		return err
	}
	doubled, ran, err := t.system.Doubled(prefix)
	if err != nil {
		return err
	}
	return t.print(Figure{
		Name: "doubled", Value: float64(doubled), Unit: "sub-requests", Bound: "0",
		Note: t.at(claimRate) + fmt.Sprintf("; %d sub-requests ran; %d of %d requests whole; no baseline", ran, out.Whole, out.Sent),
	})
}

// killHosts kills two entry hosts in turn and restarts each.
func (t *trial) killHosts() error {
	for _, name := range t.fleet.Names[1:] {
		time.Sleep(t.Length / 6)
		t.fleet.Kill(name)
		time.Sleep(t.Length / 6)
		if err := t.fleet.StartHost(name); err != nil {
			return err
		}
	}
	return nil
}
