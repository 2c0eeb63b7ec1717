package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"wasabirelay/searcher"
)

// measureStraggler slows down one searcher. The load starts at once, so that the figures include
// the time in which a client detects the straggler.
func (t *testbed) measureStraggler(ctx context.Context) error {
	// The previous loads used the baselines only, so the entry hosts had no traffic.
	if err := t.settle(ctx); err != nil {
		return err
	}
	p99, extra := map[string]float64{}, map[string]float64{}
	for _, s := range []sender{t.relayClient(), t.randomBaseline(), t.naiveBaseline()} {
		if err := s.set.processes[0].Fault(map[string]any{"slow": stragglerSlowdown}); err != nil {
			return err
		}
		before, err := s.set.Counts()
		if err != nil {
			return err
		}
		out := t.runLoad(ctx, "straggler", s, t.healthyRate(), t.Length, queryTimeout)
		after, err := s.set.Counts()
		if err != nil {
			return err
		}
		p99[s.name] = out.P99() / t.healthy[s.name].P99()
		extra[s.name] = float64(after.Received-before.Received) / float64(out.Sent*t.shape.Shards)
		if err := s.set.processes[0].Fault(map[string]any{"slow": 1}); err != nil {
			return err
		}
	}
	random, naive := p99["random"], extra["naive"]
	return firstError(
		t.print(Figure{
			Name: "straggler_p99", Value: p99["wasabirelay"], Unit: ratioUnit, Base: &random, Bound: "at most 1.3",
			Note: t.rateNote(t.healthyRate()) + fmt.Sprintf("; base: random; naive %.2f; onset included", p99["naive"]),
		}),
		t.print(Figure{
			Name: "extra_load", Value: extra["wasabirelay"], Unit: ratioUnit, Base: &naive, Bound: "at most 1.05",
			Note: t.rateNote(t.healthyRate()) + "; base: naive; counted by the searchers",
		}),
	)
}

// measureRestarts kills searchers with SIGKILL under load and restarts them cold, one at a time.
func (t *testbed) measureRestarts(ctx context.Context) error {
	p99, cold, peak := map[string]float64{}, map[string]float64{}, map[string]int{}
	n := 0
	for _, s := range []sender{t.relayClient(), t.randomBaseline()} {
		if s.set == t.relaySearchers {
			if err := t.settle(ctx); err != nil {
				return err
			}
		}
		before, err := s.set.Counts()
		if err != nil {
			return err
		}
		stopped := make(chan error, 1)
		go func() { stopped <- t.restartSearchers(s.set, &n) }()
		out := t.runLoad(ctx, "restart", s, t.healthyRate(), t.Length, queryTimeout)
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
			Note: t.rateNote(t.healthyRate()) + fmt.Sprintf("; base: random; %d searchers restarted by SIGKILL", n),
		}),
		t.print(Figure{
			Name: "cold_excess", Value: cold["wasabirelay"], Unit: "sub-requests", Base: &excess, Bound: "0",
			Note: t.rateNote(t.healthyRate()) + fmt.Sprintf("; base: random; sub-requests that found a cold searcher full; peak %d of 1", peak["wasabirelay"]),
		}),
	)
}

func coldRefusals(c searcher.Counts) float64 { return float64(c.Refused["cold"]) }

// restartSearchers restarts searchers until the phase ends, and stores their number in n. It
// never restarts replicas of the same shard in succession.
func (t *testbed) restartSearchers(set *Searchers, n *int) error {
	end := time.Now().Add(t.Length - restartInterval)
	*n = 0
	var order []*standIn
	for replica := range set.Shape.Replicas {
		order = append(order, set.Replicas(replica)...)
	}
	for _, proc := range order {
		if time.Now().After(end) {
			return nil
		}
		next := time.Now().Add(restartInterval)
		if err := set.Kill(proc); err != nil {
			return err
		}
		time.Sleep(restartDowntime)
		if err := set.Restart(proc); err != nil {
			return err
		}
		*n++
		time.Sleep(time.Until(next))
	}
	return nil
}

// measureLoss kills one searcher of each shard under load.
func (t *testbed) measureLoss(ctx context.Context) error {
	share := map[string]float64{}
	for _, s := range []sender{t.relayClient(), t.randomBaseline()} {
		if s.set == t.relaySearchers {
			if err := t.settle(ctx); err != nil {
				return err
			}
		}
		killed := make(chan error, 1)
		go func() {
			time.Sleep(t.Length / 5)
			for _, proc := range s.set.Replicas(1) {
				if err := s.set.Kill(proc); err != nil {
					killed <- err
					return
				}
			}
			killed <- nil
		}()
		out := t.runLoad(ctx, "lost", s, t.healthyRate(), t.Length, queryTimeout)
		if err := <-killed; err != nil {
			return err
		}
		share[s.name] = out.CompleteShare()
		for _, proc := range s.set.Replicas(1) {
			if err := s.set.Restart(proc); err != nil {
				return err
			}
		}
	}
	random := share["random"]
	return t.print(Figure{
		Name: "coverage", Value: share["wasabirelay"], Unit: "share", Base: &random, Bound: "1",
		Note: t.rateNote(t.healthyRate()) + "; base: random; one searcher of each shard killed after a fifth of the phase",
	})
}

// measureOverload compares the goodput at twice the capacity with that at the capacity.
func (t *testbed) measureOverload(ctx context.Context) error {
	if err := t.settle(ctx); err != nil {
		return err
	}
	ratio := map[string]float64{}
	note := ""
	for _, s := range []sender{t.relayClient(), t.randomBaseline()} {
		one := t.runLoad(ctx, "capacity", s, t.capacity, t.Length, overloadDeadline)
		two := t.runLoad(ctx, "overload", s, 2*t.capacity, t.Length, overloadDeadline)
		ratio[s.name] = two.Goodput() / max(1, one.Goodput())
		note += fmt.Sprintf("; %s %.0f/s then %.0f/s in %s, %d refused with p99 %.0f ms",
			s.name, one.Goodput(), two.Goodput(), overloadDeadline, two.Refused, p99Millis(two.Refusal))
	}
	random := ratio["random"]
	return t.print(Figure{
		Name: "goodput_overload", Value: ratio["wasabirelay"], Unit: ratioUnit, Base: &random, Bound: "at least 0.9",
		Note: t.rateNote(t.capacity) + " and twice that; base: random" + note,
	})
}

// measureDuplicates counts the sub-requests that run more than once. It sends requests that are
// not idempotent, sends some of them to a second host while they run, and kills entry hosts.
// Callers fail over with the same key.
func (t *testbed) measureDuplicates(ctx context.Context) error {
	if err := t.settle(ctx); err != nil {
		return err
	}
	caller := *t.caller
	caller.Failover = true
	prefix := uuid.NewString()
	random := rand.New(rand.NewPCG(t.Seed, 2))
	resend := make([]bool, int(4*claimRate*t.Length.Seconds()))
	for i := range resend {
		resend[i] = random.Float64() < resendShare
	}
	s := sender{"wasabirelay", func(ctx context.Context, n int) Sample {
		id := fmt.Sprintf("%s-%d", prefix, n)
		resent := make(chan Sample, 1)
		if resend[n%len(resend)] {
			go func() {
				time.Sleep(resendDelay)
				resent <- caller.Send(ctx, n+1, id, id)
			}()
		} else {
			resent <- Sample{}
		}
		first := caller.Send(ctx, n, id, id)
		second := <-resent
		return Sample{Complete: first.Complete || second.Complete, Refused: first.Refused && second.Refused}
	}, t.relaySearchers}
	stopped := make(chan error, 1)
	go func() { stopped <- t.killHosts() }()
	out := t.runLoad(ctx, "doubled", s, claimRate, t.Length, queryTimeout)
	if err := <-stopped; err != nil {
		return err
	}
	doubled, ran, err := t.relaySearchers.DuplicateRuns(prefix)
	if err != nil {
		return err
	}
	return t.print(Figure{
		Name: "doubled", Value: float64(doubled), Unit: "sub-requests", Bound: "0",
		Note: t.rateNote(claimRate) + fmt.Sprintf("; %d sub-requests ran; %d of %d requests complete; no baseline", ran, out.Complete, out.Sent),
	})
}

// killHosts kills two entry hosts in turn and restarts each.
func (t *testbed) killHosts() error {
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
