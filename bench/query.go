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
	// patience bounds a request where the figure is a latency or a coverage.
	patience = time.Second
	// inTime is the deadline under overload: 20 times the service time.
	inTime = 20 * serviceTime
	// calmShare is the share of the measured capacity at which all figures are taken
	// but those of overload. At 0.4, the two searchers that are left of three run at
	// 0.6 of theirs.
	// Of two, the one that is left runs at 0.8.
	calmShare = 0.4
	// probeWorkers is the number of queries under way in the capacity probe: 8 times
	// as many sub-requests as 30 searchers with 2 slots run.
	probeWorkers = 48
	probeLength  = 3 * time.Second
	// settleLength is how long a load runs after a fault, before the next figure.
	settleLength = 2 * time.Second
	// straggling is how much slower the straggler is.
	straggling = 20
	// naiveHedge is the fixed delay of the naive hedge: twice the mean service time,
	// which 1.4% of the sub-requests exceed.
	naiveHedge = 2 * serviceTime
	// restartEvery separates the restarts of searchers.
	restartEvery = 500 * time.Millisecond
	// restartGap is how long a searcher is away while it restarts.
	restartGap = 50 * time.Millisecond
	// resendShare is the share of requests with a key that are sent to a second host
	// while the first runs them, resendAfter how much later.
	resendShare = 0.3
	resendAfter = 5 * time.Millisecond
	// claimRate is the rate of requests that are not idempotent.
	claimRate = 50
	ratioUnit = "ratio"
)

// Query measures query traffic. Exported fields are set before Run.
type Query struct {
	Bin    string
	Shapes []string
	// Phases are the phases that are run after those of healthy searchers.
	Phases []string
	// Length is the length of one phase.
	Length time.Duration
	// Report is the folder of the table and the plots.
	Report string
	Seed   uint64
	Out    io.Writer
	// Log receives the reasons of refusals.
	Log io.Writer
}

// trial is the measurement of one shape.
type trial struct {
	*Query
	shape    Shape
	fleet    *Fleet
	system   *Searchers // known to the entry hosts
	apart    *Searchers // known to the baselines only
	caller   *Caller
	random   *Baseline
	naive    *Baseline
	capacity float64
	lag      float64 // worst p99 of the generator, ms
	report   *report
	healthy  map[string]*Outcome
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
			if err := q.shape(ctx, shape, rep); err != nil {
				return firstError(errors.Wrap(err, name), rep.write(q.Report))
			}
		}
	}
	return rep.write(q.Report)
}

func (q *Query) shape(ctx context.Context, shape Shape, rep *report) error {
	dir, err := os.MkdirTemp("", "wasabirelay-bench")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t := &trial{
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
		{"", t.probe},
		{"", t.calm},
		{"straggler", t.straggler},
		{"restart", t.restarts},
		{"lost", t.lost},
		{"overload", t.overload},
		{"doubled", t.doubled},
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

func (t *trial) print(f Figure) error {
	f.Shape = t.shape.Name
	t.report.figures = append(t.report.figures, f)
	return Print(t.Out, f)
}

// start starts hosts and searchers and waits until all are known.
func (t *trial) start() error {
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
	t.system = &Searchers{Fleet: t.fleet, Shape: t.shape, Hosts: hosts}
	nobody, err := freeAddress()
	if err != nil {
		return err
	}
	t.apart = &Searchers{Fleet: t.fleet, Shape: t.shape, Hosts: []netip.AddrPort{nobody}}
	if err := t.system.Start("s"); err != nil {
		return err
	}
	if err := t.apart.Start("b"); err != nil {
		return err
	}
	t.random, t.naive = newBaseline(t.apart, 0), newBaseline(t.apart, naiveHedge)
	return t.warm()
}

// warm waits until every host has all searchers as warm.
func (t *trial) warm() error {
	return Until("all searchers warm", func() error {
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
			if warm != len(t.system.items) {
				return errors.Errorf("%d of %d are warm", warm, len(t.system.items))
			}
		}
		return nil
	})
}

// relay, randomly and naively are the clients. Each load has its own identities.
func (t *trial) relay() sender {
	id := uuid.NewString()
	return sender{"wasabirelay", func(ctx context.Context, n int) Sample {
		return t.caller.Send(ctx, n, fmt.Sprintf("%s-%d", id, n), "")
	}, t.system}
}

func (t *trial) baseline(name string, b *Baseline) sender {
	id := uuid.NewString()
	return sender{name, func(ctx context.Context, n int) Sample { return b.Send(ctx, fmt.Sprintf("%s-%d", id, n)) }, t.apart}
}

func (t *trial) randomly() sender { return t.baseline("random", t.random) }

func (t *trial) naively() sender { return t.baseline("naive", t.naive) }

// load runs an open-loop load.
func (t *trial) load(ctx context.Context, phase string, s sender, rate float64, length, timeout time.Duration) *Outcome {
	l := &Load{Rate: rate, Length: length, Timeout: timeout, Rand: rand.New(rand.NewPCG(t.Seed, 1)), Send: s.send}
	out := l.Run(ctx)
	t.lag = max(t.lag, millis(out.Lag))
	for _, reason := range slices.Sorted(maps.Keys(out.Reasons)) {
		fmt.Fprintf(t.Log, "%s %s %s: %d refused: %s\n", t.shape.Name, phase, s.name, out.Reasons[reason], reason)
	}
	if phase != "" {
		t.report.add(t.shape.Name, phase, s.name, out)
	}
	return out
}

func (t *trial) rate() float64 { return calmShare * t.capacity }

// settle lets the clients learn again after a fault.
func (t *trial) settle(ctx context.Context) error {
	if err := t.warm(); err != nil {
		return err
	}
	t.load(ctx, "", t.relay(), t.rate(), settleLength, patience)
	return nil
}

func (t *trial) probe(ctx context.Context) error {
	t.capacity = Probe(ctx, probeWorkers, probeLength, patience, t.relay().send)
	base := Probe(ctx, probeWorkers, probeLength/2, patience, t.randomly().send)
	if t.capacity == 0 {
		return errors.New("no whole answer in the capacity probe")
	}
	return t.print(Figure{
		Name: "capacity", Value: t.capacity, Unit: "whole answers/s", Base: &base,
		Note: fmt.Sprintf("closed loop of %d; base: random; %d shards x %d replicas, %s per sub-request", probeWorkers, t.shape.Shards, t.shape.Replicas, t.shape.Mean),
	})
}

// calm takes the latency of healthy searchers and the cost of the relay.
func (t *trial) calm(ctx context.Context) error {
	if err := t.settle(ctx); err != nil {
		return err
	}
	cpu, sent, err := t.relayWork()
	if err != nil {
		return err
	}
	out := t.load(ctx, "healthy", t.relay(), t.rate(), t.Length, patience)
	cpu2, sent2, err := t.relayWork()
	if err != nil {
		return err
	}
	t.healthy["wasabirelay"] = out
	for _, s := range []sender{t.randomly(), t.naively()} {
		t.healthy[s.name] = t.load(ctx, "healthy", s, t.rate(), t.Length, patience)
	}
	bare := *t.random
	bare.Once = true
	own := cpuTime()
	base := t.load(ctx, "", t.baseline("bare", &bare), t.rate(), t.Length, patience)
	own = cpuTime() - own
	perSub := own.Seconds() / float64(base.Sent*t.shape.Shards) * 1e6
	value := (cpu2 - cpu) / (sent2 - sent) * 1e6
	random := t.healthy["random"].P99()
	if err := t.print(Figure{
		Name: "healthy_p99", Value: out.P99(), Unit: "ms", Base: &random,
		Note: t.at(t.rate()) + fmt.Sprintf("; base: random; naive %.1f", t.healthy["naive"].P99()),
	}); err != nil {
		return err
	}
	one := 1.0
	return t.print(Figure{
		Name: "relay_cost", Value: value / perSub, Unit: ratioUnit, Base: &one, Bound: "at most 1.5",
		Note: t.at(t.rate()) + fmt.Sprintf("; entry hosts %.0f us, bare client with its generator %.0f us per sub-request", value, perSub),
	})
}

func (t *trial) at(rate float64) string { return fmt.Sprintf("at %.0f queries/s", rate) }

// relayWork returns the processor time of the entry hosts in seconds and the
// sub-requests that they sent.
func (t *trial) relayWork() (cpu, sent float64, err error) {
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

// reportFile returns the path of a file of the report.
func reportFile(folder, name string) string { return filepath.Join(folder, name) }
