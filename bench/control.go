package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wasabirelay/control"
	"wasabirelay/host"
	"wasabirelay/inventory"
	"wasabirelay/operator"
	"wasabirelay/peer"
)

const (
	// idlePeriod is how long figures of steady state are taken.
	idlePeriod = 5 * time.Second
	// changesPerSize is the number of changes that latencies are taken from.
	changesPerSize = 40
	// claimWorkers is the number of claims under way, claimPeriod how long they are
	// counted.
	claimWorkers = 64
	claimPeriod  = 3 * time.Second
	// pollPeriod is the period of the polling baseline.
	pollPeriod = time.Second
	// restartFew and restartMany are the changes before a restart is timed.
	restartFew, restartMany = 10, 1000
	// restartRuns is the number of restarts that a median is taken of.
	restartRuns = 9
)

// Control measures the control plane. All entry hosts beyond the three control
// hosts run in this process.
type Control struct {
	Bin   string
	Sizes []int
	Out   io.Writer
}

// Run measures all sizes, then restarts.
func (c *Control) Run(ctx context.Context) error {
	for _, n := range c.Sizes {
		if err := c.size(ctx, n); err != nil {
			return errors.Wrapf(err, "%d hosts", n)
		}
	}
	return c.restarts()
}

func (c *Control) fleet() (*Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "wasabirelay-bench")
	if err != nil {
		return nil, nil, errors.Wrap(err, "make folder")
	}
	f := &Fleet{Bin: c.Bin, Dir: dir, Names: []string{"c1", "c2", "c3"}, Control: 3}
	stop := func() { f.Stop(); _ = os.RemoveAll(dir) }
	if err := f.Start(); err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

// entry is an entry host that runs in this process.
type entry struct {
	follower *host.Follower
}

// size measures one number of hosts, the three control hosts included.
func (c *Control) size(ctx context.Context, n int) error {
	f, stop, err := c.fleet()
	if err != nil {
		return err
	}
	defer stop()
	extra := map[string]inventory.Host{}
	for i := range n - 3 {
		extra[fmt.Sprintf("e%d", i)] = inventory.Host{
			Centre: f.Centre(i), Caller: fakeAddress(i, 7101), Operator: fakeAddress(i, 7301), Peer: fakeAddress(i, 7201),
		}
	}
	document := func(version uint64) (string, error) {
		return f.Document(fmt.Sprintf("r%d", version), extra, map[string]any{"desk": map[string]any{"slots": 2}}, nil)
	}
	text, err := document(0)
	if err != nil {
		return err
	}
	if _, err := f.Apply(0, text, 0); err != nil {
		return err
	}
	runtime.GC()
	before := heap()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	entries, err := startEntries(ctx, f, extra)
	if err != nil {
		return err
	}
	if err := c.steady(f, n, len(entries), before); err != nil {
		return err
	}
	if err := c.changes(f, n, document); err != nil {
		return err
	}
	return c.claims(ctx, f, n)
}

// claims measures how many claims of idempotency keys are committed per second
// with claimWorkers at a time.
func (c *Control) claims(ctx context.Context, f *Fleet, n int) error {
	ctx, cancel := context.WithTimeout(ctx, claimPeriod)
	defer cancel()
	var wg sync.WaitGroup
	var committed atomic.Int64
	for w := range claimWorkers {
		client := &peer.Client{Address: f.Hosts[f.Names[w%len(f.Names)]].Peer}
		defer client.Close()
		hosts := &host.ControlClient{Clients: []*peer.Client{client}}
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				claim := &control.Claim{Key: fmt.Sprintf("%d-%d", w, i), Fingerprint: "0", Service: "desk", Host: "bench"}
				if _, err := hosts.Propose(ctx, control.Command{Claim: claim}); err == nil {
					committed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return Print(c.Out, Figure{
		Name: "claim_rate", Value: float64(committed.Load()) / claimPeriod.Seconds(), Unit: "claims/s", Hosts: n,
		Note: fmt.Sprintf("%d at a time, each synced on a quorum", claimWorkers),
	})
}

// fakeAddress is an address for an entry host that has no listener.
func fakeAddress(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(1 + i%250)}), uint16(port))
}

// startEntries starts the entry hosts and waits until each holds a lease.
func startEntries(ctx context.Context, f *Fleet, extra map[string]inventory.Host) ([]*entry, error) {
	var entries []*entry
	for name := range extra {
		hosts := &host.ControlClient{}
		for _, address := range f.ControlAddresses() {
			hosts.Clients = append(hosts.Clients, &peer.Client{Address: address})
		}
		e := &entry{follower: &host.Follower{
			Host: name, Control: hosts, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), ViewChanged: func(*control.View) {},
		}}
		e.follower.Init()
		go func() { _ = e.follower.Run(ctx) }()
		entries = append(entries, e)
	}
	for _, e := range entries {
		err := Until("lease", func() error { _, err := e.follower.LeasedView(); return err })
		if err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// steady measures processor time, memory and bytes without changes.
func (c *Control) steady(f *Fleet, n, entries int, before uint64) error {
	const cpuMetric, sentMetric = "process_cpu_seconds_total", "wasabirelay_peer_sent_bytes_total"
	replicaCPU, err := f.Metrics(cpuMetric)
	if err != nil {
		return err
	}
	replicaSent, err := f.Metrics(sentMetric)
	if err != nil {
		return err
	}
	ownCPU := cpuTime()
	sent, received := peer.Traffic()
	time.Sleep(idlePeriod)
	ownCPU = cpuTime() - ownCPU
	sent2, received2 := peer.Traffic()
	replicaCPU2, err := f.Metrics(cpuMetric)
	if err != nil {
		return err
	}
	replicaSent2, err := f.Metrics(sentMetric)
	if err != nil {
		return err
	}
	memory, err := f.Metrics("process_resident_memory_bytes")
	if err != nil {
		return err
	}
	runtime.GC()
	seconds := idlePeriod.Seconds()
	figures := []Figure{
		{Name: "replica_cpu", Value: largest(replicaCPU2, replicaCPU) / seconds, Unit: "cores", Note: "largest of three, the leader"},
		{Name: "replica_bytes", Value: largest(replicaSent2, replicaSent) / seconds, Unit: "bytes/s sent", Note: "largest of three, the leader"},
		{Name: "replica_memory", Value: largest(memory, nil), Unit: "bytes resident", Note: "largest of three"},
	}
	if entries > 0 {
		poll, err := pollBytes(f)
		if err != nil {
			return err
		}
		per := float64(entries)
		figures = append(figures,
			Figure{Name: "node_cpu", Value: ownCPU.Seconds() / seconds / per, Unit: "cores"},
			Figure{Name: "node_memory", Value: float64(heap()-min(before, heap())) / per, Unit: unitHeap},
			Figure{
				Name: "node_bytes", Value: float64(sent2-sent+received2-received) / seconds / per, Unit: "bytes/s",
				Base: &poll, Note: "base: polls the inventory and the targets once a second",
			})
	}
	for _, figure := range figures {
		figure.Hosts = n
		if err := Print(c.Out, figure); err != nil {
			return err
		}
	}
	return nil
}

// largest returns the largest difference between two readings of a metric.
func largest(now, before map[string]float64) float64 {
	most := 0.0
	for host, v := range now {
		most = max(most, v-before[host])
	}
	return most
}

// pollBytes returns what one poll of the whole state costs.
func pollBytes(f *Fleet) (float64, error) {
	sum := 0.0
	for _, path := range []string{"/v1/inventory", "/v1/targets"} {
		res, err := http.Get("http://" + f.Hosts[f.Names[0]].Operator.String() + path) //nolint:noctx // loopback
		if err != nil {
			return 0, errors.Wrap(err, "poll")
		}
		n, err := io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if err != nil {
			return 0, errors.Wrap(err, "poll")
		}
		sum += float64(n)
	}
	return sum / pollPeriod.Seconds(), nil
}

// changes measures how long changes take to be accepted and to be in force.
func (c *Control) changes(f *Fleet, n int, document func(uint64) (string, error)) error {
	accepted, force := newHistogram(), newHistogram()
	for v := uint64(1); v <= changesPerSize; v++ {
		text, err := document(v)
		if err != nil {
			return err
		}
		start := time.Now()
		applied, err := f.Apply(v, text, 0)
		if err != nil {
			return err
		}
		record(accepted, time.Since(start))
		if err := c.awaitForce(f, applied); err != nil {
			return err
		}
		record(force, time.Since(start))
	}
	base, err := syncTime(f.Dir)
	if err != nil {
		return err
	}
	poll, err := pollForce(f, n)
	if err != nil {
		return err
	}
	return errors.Wrap(firstError(
		Print(c.Out, Figure{
			Name: "apply_accepted_p99", Value: millis(accepted), Unit: "ms", Base: &base, Hosts: n,
			Note: "base: one write and sync of the document on the same disk",
		}),
		Print(c.Out, Figure{
			Name: "apply_inforce_p99", Value: millis(force), Unit: "ms", Base: &poll, Hosts: n,
			Note: "base: hosts that poll once a second",
		}),
	), "print")
}

func (c *Control) awaitForce(f *Fleet, applied *operator.ChangeResponse) error {
	s := &host.ControlClient{Clients: []*peer.Client{{Address: f.Hosts[f.Names[0]].Peer}}}
	defer s.Clients[0].Close()
	return Until("in force", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		status, err := s.Status(ctx, applied.Index)
		if err != nil {
			return err
		}
		if !status.Report.InForce {
			return errors.New("not in force yet")
		}
		return nil
	})
}

// pollForce measures the polling baseline: the time until the slowest of n hosts
// that poll once a second at a random phase has seen a change.
func pollForce(f *Fleet, n int) (float64, error) {
	url := "http://" + f.Hosts[f.Names[0]].Operator.String() + "/v1/version"
	var current operator.Version
	if err := Call(http.MethodGet, url, nil, &current); err != nil {
		return 0, err
	}
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	slowest := time.Duration(0)
	for i := range n {
		wg.Go(func() {
			time.Sleep(pollPeriod * time.Duration(i+1) / time.Duration(n))
			var v operator.Version
			if Call(http.MethodGet, url, nil, &v) == nil && v.Inventory >= current.Inventory {
				mu.Lock()
				slowest = max(slowest, time.Since(start))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(slowest.Microseconds()) / 1000, nil
}

// restarts measures how long a control host takes to have the last version again.
func (c *Control) restarts() error {
	f, stop, err := c.fleet()
	if err != nil {
		return err
	}
	defer stop()
	var few float64
	version := uint64(0)
	for _, changes := range []uint64{restartFew, restartMany} {
		for ; version < changes; version++ {
			text, err := f.Document(fmt.Sprintf("r%d", version), nil, nil, nil)
			if err != nil {
				return err
			}
			if _, err := f.Apply(version, text, 0); err != nil {
				return err
			}
		}
		took, err := c.medianRestart(f, version)
		if err != nil {
			return err
		}
		figure := Figure{Name: "restart_time", Value: took, Unit: "ms", Note: fmt.Sprintf("after %d changes", changes)}
		if changes == restartFew {
			few = took
		} else {
			figure.Base = &few
			figure.Note += fmt.Sprintf("; base: after %d", restartFew)
		}
		if err := Print(c.Out, figure); err != nil {
			return err
		}
	}
	return nil
}

// medianRestart restarts the control hosts in turn and returns the median.
func (c *Control) medianRestart(f *Fleet, version uint64) (float64, error) {
	var times []float64
	for i := range restartRuns {
		took, err := restart(f, f.Names[i%len(f.Names)], version)
		if err != nil {
			return 0, err
		}
		times = append(times, took)
		time.Sleep(time.Second) // The group settles, so that each restart meets a leader.
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}

func restart(f *Fleet, name string, version uint64) (float64, error) {
	f.Kill(name)
	start := time.Now()
	if err := f.StartHost(name); err != nil {
		return 0, err
	}
	url := "http://" + f.Hosts[name].Operator.String() + "/v1/version"
	err := Until("last version after a restart", func() error {
		var v operator.Version
		if err := Call(http.MethodGet, url, nil, &v); err != nil {
			return err
		}
		if v.Inventory < version {
			return errors.Errorf("version %d", v.Inventory)
		}
		return nil
	})
	return float64(time.Since(start).Microseconds()) / 1000, err
}

// syncTime returns the time of one write and sync in milliseconds.
func syncTime(dir string) (float64, error) {
	file, err := os.Create(filepath.Join(dir, "sync"))
	if err != nil {
		return 0, errors.Wrap(err, "create file")
	}
	defer file.Close()
	h := newHistogram()
	for range changesPerSize {
		start := time.Now()
		if _, err := file.Write(make([]byte, 4096)); err != nil {
			return 0, errors.Wrap(err, "write")
		}
		if err := file.Sync(); err != nil {
			return 0, errors.Wrap(err, "sync")
		}
		record(h, time.Since(start))
	}
	return millis(h), nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), time.Minute.Microseconds())) // The value is in range.
}

func millis(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) / 1000 }

func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
