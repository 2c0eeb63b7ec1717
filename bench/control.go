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
	// steadyStatePeriod is how long the steady state is measured.
	steadyStatePeriod = 5 * time.Second
	// changesPerSize is the number of inventory changes whose latency is measured for each size.
	changesPerSize = 40
	// claimWorkers is the number of concurrent claims, and claimPeriod how long they are counted.
	claimWorkers = 64
	claimPeriod  = 3 * time.Second
	// pollPeriod is the polling interval of the hosts in the polling baseline.
	pollPeriod = time.Second
	// fewChanges and manyChanges are the numbers of changes after which restarts are timed.
	fewChanges, manyChanges = 10, 1000
	// restartRuns is the number of restarts whose median is reported.
	restartRuns = 9
)

// Control measures the control plane. The three control hosts are daemon processes; all other
// entry hosts run in this process.
type Control struct {
	Bin   string
	Sizes []int
	Out   io.Writer
}

// Run measures all sizes, and then restarts.
func (c *Control) Run(ctx context.Context) error {
	for _, n := range c.Sizes {
		if err := c.measureSize(ctx, n); err != nil {
			return errors.Wrapf(err, "%d hosts", n)
		}
	}
	return c.measureRestarts()
}

func (c *Control) startFleet() (*Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "wasabirelay-bench")
	if err != nil {
		return nil, nil, errors.Wrap(err, "create temporary directory")
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

// measureSize measures a control plane of n hosts, including the three control hosts.
func (c *Control) measureSize(ctx context.Context, n int) error {
	f, stop, err := c.startFleet()
	if err != nil {
		return err
	}
	defer stop()
	extra := map[string]inventory.Host{}
	for i := range n - 3 {
		extra[fmt.Sprintf("e%d", i)] = inventory.Host{
			Centre: f.Centre(i), Caller: unusedAddress(i, 7101), Operator: unusedAddress(i, 7301), Peer: unusedAddress(i, 7201),
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
	before := heapBytes()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	entries, err := startEntries(ctx, f, extra)
	if err != nil {
		return err
	}
	if err := c.measureSteadyState(f, n, len(entries), before); err != nil {
		return err
	}
	if err := c.measureChanges(f, n, document); err != nil {
		return err
	}
	return c.measureClaims(ctx, f, n)
}

// measureClaims measures how many claims of idempotency keys are committed per second, with
// claimWorkers concurrent claims.
func (c *Control) measureClaims(ctx context.Context, f *Fleet, n int) error {
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

// unusedAddress returns the i-th address for entry hosts that have no listeners.
func unusedAddress(i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(1 + i%250)}), uint16(port))
}

// startEntries starts the entry hosts in this process and waits until each holds a lease.
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
		err := WaitFor("lease", func() error { _, err := e.follower.LeasedView(); return err })
		if err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// measureSteadyState measures processor time, memory and network bytes without changes.
func (c *Control) measureSteadyState(f *Fleet, n, entries int, before uint64) error {
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
	time.Sleep(steadyStatePeriod)
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
	seconds := steadyStatePeriod.Seconds()
	figures := []Figure{
		{Name: "replica_cpu", Value: largestDifference(replicaCPU2, replicaCPU) / seconds, Unit: "cores", Note: "largest of three, the leader"},
		{Name: "replica_bytes", Value: largestDifference(replicaSent2, replicaSent) / seconds, Unit: "bytes/s sent", Note: "largest of three, the leader"},
		{Name: "replica_memory", Value: largestDifference(memory, nil), Unit: "bytes resident", Note: "largest of three"},
	}
	if entries > 0 {
		poll, err := pollingBytes(f)
		if err != nil {
			return err
		}
		perEntry := float64(entries)
		figures = append(figures,
			Figure{Name: "node_cpu", Value: ownCPU.Seconds() / seconds / perEntry, Unit: "cores"},
			Figure{Name: "node_memory", Value: float64(heapBytes()-min(before, heapBytes())) / perEntry, Unit: unitHeap},
			Figure{
				Name: "node_bytes", Value: float64(sent2-sent+received2-received) / seconds / perEntry, Unit: "bytes/s",
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

// largestDifference returns the largest difference of any host between two readings of a metric.
func largestDifference(now, before map[string]float64) float64 {
	most := 0.0
	for host, v := range now {
		most = max(most, v-before[host])
	}
	return most
}

// pollingBytes returns the bytes per second that a host receives if it polls the complete state.
func pollingBytes(f *Fleet) (float64, error) {
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

// measureChanges measures how long it takes until inventory changes are accepted, and until they
// are in force.
func (c *Control) measureChanges(f *Fleet, n int, document func(uint64) (string, error)) error {
	accepted, inForce := newHistogram(), newHistogram()
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
		if err := c.waitInForce(f, applied); err != nil {
			return err
		}
		record(inForce, time.Since(start))
	}
	base, err := syncTime(f.Dir)
	if err != nil {
		return err
	}
	poll, err := pollingLatency(f, n)
	if err != nil {
		return err
	}
	return errors.Wrap(firstError(
		Print(c.Out, Figure{
			Name: "apply_accepted_p99", Value: p99Millis(accepted), Unit: "ms", Base: &base, Hosts: n,
			Note: "base: one write and sync of 4 KiB on the same disk",
		}),
		Print(c.Out, Figure{
			Name: "apply_inforce_p99", Value: p99Millis(inForce), Unit: "ms", Base: &poll, Hosts: n,
			Note: "base: hosts that poll once a second",
		}),
	), "print")
}

func (c *Control) waitInForce(f *Fleet, applied *operator.ChangeResponse) error {
	s := &host.ControlClient{Clients: []*peer.Client{{Address: f.Hosts[f.Names[0]].Peer}}}
	defer s.Clients[0].Close()
	return WaitFor("change to be in force", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		status, err := s.Status(ctx, applied.Index)
		if err != nil {
			return err
		}
		if !status.Report.InForce {
			return errors.New("change is not in force yet")
		}
		return nil
	})
}

// pollingLatency measures the polling baseline: the time in milliseconds from an accepted change
// until the slowest of n hosts has polled its version. Each host polls once a second; their phases
// are spread evenly.
func pollingLatency(f *Fleet, n int) (float64, error) {
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

// measureRestarts measures how long a restarted control host takes to have the last inventory
// version again.
func (c *Control) measureRestarts() error {
	f, stop, err := c.startFleet()
	if err != nil {
		return err
	}
	defer stop()
	var fewTime float64
	version := uint64(0)
	for _, changes := range []uint64{fewChanges, manyChanges} {
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
		if changes == fewChanges {
			fewTime = took
		} else {
			figure.Base = &fewTime
			figure.Note += fmt.Sprintf("; base: after %d", fewChanges)
		}
		if err := Print(c.Out, figure); err != nil {
			return err
		}
	}
	return nil
}

// medianRestart restarts the control hosts in turn and returns the median time in milliseconds.
func (c *Control) medianRestart(f *Fleet, version uint64) (float64, error) {
	var times []float64
	for i := range restartRuns {
		took, err := timeRestart(f, f.Names[i%len(f.Names)], version)
		if err != nil {
			return 0, err
		}
		times = append(times, took)
		time.Sleep(time.Second) // The group needs a leader before the next restart.
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}

func timeRestart(f *Fleet, name string, version uint64) (float64, error) {
	f.Kill(name)
	start := time.Now()
	if err := f.StartHost(name); err != nil {
		return 0, err
	}
	url := "http://" + f.Hosts[name].Operator.String() + "/v1/version"
	err := WaitFor("the last version after a restart", func() error {
		var v operator.Version
		if err := Call(http.MethodGet, url, nil, &v); err != nil {
			return err
		}
		if v.Inventory < version {
			return errors.Errorf("host has inventory version %d", v.Inventory)
		}
		return nil
	})
	return float64(time.Since(start).Microseconds()) / 1000, err
}

// syncTime returns the 99th percentile of the time of one write and sync in milliseconds.
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
	return p99Millis(h), nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), time.Minute.Microseconds())) // It can't fail: the value is in range.
}

func p99Millis(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) / 1000 }

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the processor time that this process has used.
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
