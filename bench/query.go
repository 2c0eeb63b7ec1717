package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"wasabirelay/operator"
)

const (
	// queryTimeout is the timeout of requests in all phases except those of overload.
	queryTimeout = time.Second
	// overloadDeadline is the deadline of requests under overload: 20 times the service time.
	overloadDeadline = 20 * serviceTime
	// healthyLoadShare is the load, as a share of the measured capacity, of all phases except
	// capacity, overload and doubled. At 0.4, after the loss of one replica of a shard, the other
	// two of three run at 0.6 of their capacity, and the other one of two at 0.8.
	healthyLoadShare = 0.4
	// capacityWorkers is the number of concurrent queries while the capacity is measured: they have
	// 8 times as many sub-requests as 30 searchers with 2 slots run at a time.
	capacityWorkers  = 48
	capacityDuration = 3 * time.Second
	// settleDuration is how long a load runs before the next figure is taken, see settle.
	settleDuration = 2 * time.Second
	// stragglerSlowdown is the factor by which the service time of the straggler is longer.
	stragglerSlowdown = 20
	// naiveHedgeDelay is the fixed hedge delay of the naive baseline: twice the mean service time,
	// which 1.4% of the sub-requests exceed.
	naiveHedgeDelay = 2 * serviceTime
	// restartInterval is the time between the restarts of two searchers.
	restartInterval = 500 * time.Millisecond
	// restartDowntime is the time from the kill of a searcher to its restart.
	restartDowntime = 50 * time.Millisecond
	// resendShare is the share of requests with an idempotency key that are sent to a second host
	// while the first runs them, and resendDelay is how much later.
	resendShare = 0.3
	resendDelay = 5 * time.Millisecond
	// claimRate is the rate of requests that are not idempotent, per second.
	claimRate = 50
	ratioUnit = "ratio"
)

// Query measures query traffic. The caller sets the fields before Run.
type Query struct {
	Bin    string
	Shapes []string
	// Phases are the phases that run after those with healthy searchers.
	Phases []string
	// Length is the duration of one phase.
	Length time.Duration
	// Report is the directory of the table and the plots.
	Report string
	Seed   uint64
	Out    io.Writer
	// Log receives the number of refusals by reason.
	Log io.Writer
}

// testbed has the hosts, searchers and clients that one shape is measured with, and the results.
type testbed struct {
	*Query
	shape             Shape
	fleet             *Fleet
	relaySearchers    *Searchers // searchers that announce themselves to the entry hosts
	baselineSearchers *Searchers // searchers that only the baselines use
	caller            *Caller
	random            *Baseline // no hedges
	naive             *Baseline // hedges after naiveHedgeDelay
	capacity          float64
	lag               float64 // highest p99 of the generator's lag, in ms
	report            *report
	healthy           map[string]*Outcome
}

// sender is a client under load.
type sender struct {
	name string
	send func(ctx context.Context, n int) Sample
	set  *Searchers
}

// Run measures all shapes and writes the report.
func (q *Query) Run(ctx context.Context) error {
	rep := &report{}
	for _, shape := range Shapes {
		for _, name := range q.Shapes {
			if name != shape.Name {
				continue
			}
			if err := q.measureShape(ctx, shape, rep); err != nil {
				return firstError(errors.Wrap(err, name), rep.write(q.Report))
			}
		}
	}
	return rep.write(q.Report)
}

func (q *Query) measureShape(ctx context.Context, shape Shape, rep *report) error {
	dir, err := os.MkdirTemp("", "wasabirelay-bench")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t := &testbed{
		Query: q, shape: shape, report: rep, healthy: map[string]*Outcome{},
		fleet: &Fleet{Bin: q.Bin, Dir: dir, Names: []string{"h1", "h2", "h3"}, Control: 3},
	}
	defer t.fleet.Stop()
	if err := t.start(); err != nil {
		return err
	}
	for _, phase := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"", t.measureCapacity},
		{"", t.measureHealthy},
		{"straggler", t.measureStraggler},
		{"restart", t.measureRestarts},
		{"lost", t.measureLoss},
		{"overload", t.measureOverload},
		{"doubled", t.measureDuplicates},
	} {
		if phase.name != "" && !slices.Contains(q.Phases, phase.name) {
			continue
		}
		if err := phase.run(ctx); err != nil {
			return err
		}
	}
	return t.print(Figure{Name: "generator_lag", Value: t.lag, Unit: "ms", Note: "worst p99 of the delay of a request against its schedule"})
}

func (t *testbed) print(f Figure) error {
	f.Shape = t.shape.Name
	t.report.figures = append(t.report.figures, f)
	return Print(t.Out, f)
}

// start starts the hosts and searchers, and waits until the hosts list all searchers as warm.
func (t *testbed) start() error {
	if err := t.fleet.Start(); err != nil {
		return err
	}
	services := map[string]any{t.shape.Name: map[string]any{"deadline": "1s", "slots": t.shape.Slots, "connections": t.shape.Connections}}
	text, err := t.fleet.Document("bench", nil, services, map[string]any{"renew": "500ms", "expire": "2s"})
	if err != nil {
		return err
	}
	if _, err := t.fleet.Apply(0, text, 5*time.Second); err != nil {
		return err
	}
	var hosts []netip.AddrPort
	for _, name := range t.fleet.Names {
		hosts = append(hosts, t.fleet.Hosts[name].Caller)
	}
	t.caller = newCaller(t.shape.Name, hosts)
	t.relaySearchers = &Searchers{Fleet: t.fleet, Shape: t.shape, Hosts: hosts}
	unused, err := freeAddress()
	if err != nil {
		return err
	}
	t.baselineSearchers = &Searchers{Fleet: t.fleet, Shape: t.shape, Hosts: []netip.AddrPort{unused}}
	if err := t.relaySearchers.Start("s"); err != nil {
		return err
	}
	if err := t.baselineSearchers.Start("b"); err != nil {
		return err
	}
	t.random, t.naive = newBaseline(t.baselineSearchers, 0), newBaseline(t.baselineSearchers, naiveHedgeDelay)
	return t.waitUntilWarm()
}

// waitUntilWarm waits until every host lists all searchers as warm.
func (t *testbed) waitUntilWarm() error {
	return WaitFor("all searchers to be warm", func() error {
		for _, h := range t.fleet.Hosts {
			var list operator.Targets
			if err := Call("GET", "http://"+h.Operator.String()+"/v1/targets", nil, &list); err != nil {
				return err
			}
			warm := 0
			for _, target := range list.Targets {
				if target.State == "warm" {
					warm++
				}
			}
			if warm != len(t.relaySearchers.processes) {
				return errors.Errorf("%d of %d searchers are warm", warm, len(t.relaySearchers.processes))
			}
		}
		return nil
	})
}

// relayClient, like baselineClient, returns a client with request identities of its own, so that
// no two loads share them.
func (t *testbed) relayClient() sender {
	id := uuid.NewString()
	return sender{"wasabirelay", func(ctx context.Context, n int) Sample {
		return t.caller.Send(ctx, n, fmt.Sprintf("%s-%d", id, n), "")
	}, t.relaySearchers}
}

func (t *testbed) baselineClient(name string, b *Baseline) sender {
	id := uuid.NewString()
	return sender{name, func(ctx context.Context, n int) Sample { return b.Send(ctx, fmt.Sprintf("%s-%d", id, n)) }, t.baselineSearchers}
}

func (t *testbed) randomBaseline() sender { return t.baselineClient("random", t.random) }

func (t *testbed) naiveBaseline() sender { return t.baselineClient("naive", t.naive) }

// runLoad runs an open-loop load. Without a phase, the load is left out of the report.
func (t *testbed) runLoad(ctx context.Context, phase string, s sender, rate float64, length, timeout time.Duration) *Outcome {
	l := &Load{Rate: rate, Length: length, Timeout: timeout, Rand: rand.New(rand.NewPCG(t.Seed, 1)), Send: s.send}
	out := l.Run(ctx)
	t.lag = max(t.lag, p99Millis(out.Lag))
	for _, reason := range slices.Sorted(maps.Keys(out.Reasons)) {
		fmt.Fprintf(t.Log, "%s %s %s: %d refused: %s\n", t.shape.Name, phase, s.name, out.Reasons[reason], reason)
	}
	if phase != "" {
		t.report.add(t.shape.Name, phase, s.name, out)
	}
	return out
}

func (t *testbed) healthyRate() float64 { return healthyLoadShare * t.capacity }

// settle waits until all searchers are warm, and runs a load in which the entry hosts update their
// view of the searchers after a fault.
func (t *testbed) settle(ctx context.Context) error {
	if err := t.waitUntilWarm(); err != nil {
		return err
	}
	t.runLoad(ctx, "", t.relayClient(), t.healthyRate(), settleDuration, queryTimeout)
	return nil
}

func (t *testbed) measureCapacity(ctx context.Context) error {
	t.capacity = MeasureCapacity(ctx, capacityWorkers, capacityDuration, queryTimeout, t.relayClient().send)
	base := MeasureCapacity(ctx, capacityWorkers, capacityDuration/2, queryTimeout, t.randomBaseline().send)
	if t.capacity == 0 {
		return errors.New("no complete answer while the capacity was measured")
	}
	return t.print(Figure{
		Name: "capacity", Value: t.capacity, Unit: "whole answers/s", Base: &base,
		Note: fmt.Sprintf("closed loop of %d; base: random; %d shards x %d replicas, %s per sub-request", capacityWorkers, t.shape.Shards, t.shape.Replicas, t.shape.MeanServiceTime),
	})
}

// measureHealthy measures the latency with healthy searchers, and the processor time of the relay
// for each sub-request, compared with that of a client that sends each sub-request only once.
func (t *testbed) measureHealthy(ctx context.Context) error {
	if err := t.settle(ctx); err != nil {
		return err
	}
	cpu, sent, err := t.relayUsage()
	if err != nil {
		return err
	}
	out := t.runLoad(ctx, "healthy", t.relayClient(), t.healthyRate(), t.Length, queryTimeout)
	cpu2, sent2, err := t.relayUsage()
	if err != nil {
		return err
	}
	t.healthy["wasabirelay"] = out
	for _, s := range []sender{t.randomBaseline(), t.naiveBaseline()} {
		t.healthy[s.name] = t.runLoad(ctx, "healthy", s, t.healthyRate(), t.Length, queryTimeout)
	}
	bare := *t.random
	bare.SingleAttempt = true
	ownCPU := cpuTime()
	base := t.runLoad(ctx, "", t.baselineClient("bare", &bare), t.healthyRate(), t.Length, queryTimeout)
	ownCPU = cpuTime() - ownCPU
	perSubRequest := ownCPU.Seconds() / float64(base.Sent*t.shape.Shards) * 1e6
	value := (cpu2 - cpu) / (sent2 - sent) * 1e6
	random := t.healthy["random"].P99()
	if err := t.print(Figure{
		Name: "healthy_p99", Value: out.P99(), Unit: "ms", Base: &random,
		Note: t.rateNote(t.healthyRate()) + fmt.Sprintf("; base: random; naive %.1f", t.healthy["naive"].P99()),
	}); err != nil {
		return err
	}
	one := 1.0
	return t.print(Figure{
		Name: "relay_cost", Value: value / perSubRequest, Unit: ratioUnit, Base: &one, Bound: "at most 1.5",
		Note: t.rateNote(t.healthyRate()) + fmt.Sprintf("; entry hosts %.0f us, bare client with its generator %.0f us per sub-request", value, perSubRequest),
	})
}

func (t *testbed) rateNote(rate float64) string { return fmt.Sprintf("at %.0f queries/s", rate) }

// relayUsage returns the processor time of the entry hosts in seconds and the number of
// sub-requests that they sent.
func (t *testbed) relayUsage() (cpu, sent float64, err error) {
	for _, name := range t.fleet.Names {
		c, err := t.fleet.Metric(name, "process_cpu_seconds_total")
		if err != nil {
			return 0, 0, err
		}
		n, err := t.fleet.Metric(name, "wasabirelay_subrequests_total")
		if err != nil {
			return 0, 0, err
		}
		cpu, sent = cpu+c, sent+n
	}
	return cpu, sent, nil
}

// reportPath returns the path of a file of the report.
func reportPath(dir, name string) string { return filepath.Join(dir, name) }
