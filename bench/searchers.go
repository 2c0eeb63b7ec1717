package bench

import (
	"fmt"
	"net/http"
	"net/netip"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/searcher"
)

// Shape is a workload: a service with its searchers.
type Shape struct {
	Name             string
	Shards, Replicas int
	// Slots, Connections and ConnectCost are the values for each searcher.
	Slots, Connections int
	ConnectCost        time.Duration
	// MeanServiceTime is the mean service time of a sub-request. The distribution is lognormal
	// with serviceSigma.
	MeanServiceTime time.Duration
}

// Shapes are the workloads that are measured, from section 1.1 of the design. The 20 searchers of
// siparis-masasi are modelled as 10 shards with 2 replicas.
var Shapes = []Shape{
	{Name: "order-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond, MeanServiceTime: serviceTime},
	{Name: "siparis-masasi", Shards: 10, Replicas: 2, Slots: 2, Connections: 35, ConnectCost: time.Millisecond, MeanServiceTime: serviceTime},
}

const (
	// serviceTime is the mean service time of a sub-request. At 20 ms, 30 searchers with 2 slots
	// have a capacity of 300 queries/s, so that the processors of the machine are not the
	// bottleneck.
	serviceTime  = 20 * time.Millisecond
	serviceSigma = 0.3
	// warmServed is the number of served requests, and warmAfter the time, that end the cold state
	// of a restarted searcher.
	warmServed = 50
	warmAfter  = 2 * time.Second
)

// Searchers is the set of stand-in searcher processes of one shape.
type Searchers struct {
	Fleet *Fleet
	Shape Shape
	// Hosts are the entry hosts that the searchers announce themselves to. If Hosts has only
	// an address without a listener, the entry hosts do not use the searchers.
	Hosts []netip.AddrPort

	mu        sync.Mutex
	processes []*standIn
}

type standIn struct {
	name           string
	shard, replica int
	listen, admin  netip.AddrPort
	cmd            *exec.Cmd
	// previousCounts has the sums of the counts of the killed processes of this searcher.
	previousCounts searcher.Counts
}

// Start starts all searchers in the warm state.
func (s *Searchers) Start(prefix string) error {
	for shard := range s.Shape.Shards {
		for replica := range s.Shape.Replicas {
			proc := &standIn{name: fmt.Sprintf("%s-%d-%d", prefix, shard, replica), shard: shard, replica: replica}
			for _, a := range []*netip.AddrPort{&proc.listen, &proc.admin} {
				address, err := freeAddress()
				if err != nil {
					return err
				}
				*a = address
			}
			if err := s.spawn(proc, false); err != nil {
				return err
			}
			s.processes = append(s.processes, proc)
		}
	}
	for _, proc := range s.processes {
		if err := WaitFor("searcher to listen", func() error { _, err := proc.counts(); return err }); err != nil {
			return err
		}
	}
	return nil
}

func (s *Searchers) spawn(proc *standIn, cold bool) error {
	var hosts []string
	for i := range s.Hosts {
		hosts = append(hosts, s.Hosts[(i+proc.replica)%len(s.Hosts)].String())
	}
	args := []string{
		"--name", proc.name, "--service", s.Shape.Name, "--centre", s.Fleet.Centre(proc.replica), "--listen", proc.listen.String(),
		"--admin", proc.admin.String(), "--hosts", strings.Join(hosts, ","), "--shards", strconv.Itoa(proc.shard),
		"--total", strconv.Itoa(s.Shape.Shards), "--slots", strconv.Itoa(s.Shape.Slots),
		"--connections", strconv.Itoa(s.Shape.Connections), "--connect", s.Shape.ConnectCost.String(),
		"--time", s.Shape.MeanServiceTime.String(), "--shape", "lognormal", "--sigma", fmt.Sprint(serviceSigma),
		"--warm-served", strconv.Itoa(warmServed), "--warm-after", warmAfter.String(),
	}
	if cold {
		args = append(args, "--cold")
	}
	cmd, err := s.Fleet.Spawn(proc.name, "standin", args...)
	s.mu.Lock()
	proc.cmd = cmd
	s.mu.Unlock()
	return err
}

// Kill kills a searcher with SIGKILL and adds its counts to previousCounts.
func (s *Searchers) Kill(proc *standIn) error {
	c, err := proc.counts()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	proc.previousCounts = sumCounts(proc.previousCounts, c)
	kill(proc.cmd)
	return nil
}

// Restart starts a killed searcher in the cold state.
func (s *Searchers) Restart(proc *standIn) error {
	if err := s.spawn(proc, true); err != nil {
		return err
	}
	return WaitFor("searcher to listen", func() error { _, err := proc.counts(); return err })
}

// Fault sets the injected faults of a searcher.
func (proc *standIn) Fault(f map[string]any) error {
	var out searcher.Faults
	return Call(http.MethodPost, "http://"+proc.admin.String()+"/fault", f, &out)
}

func (proc *standIn) counts() (searcher.Counts, error) {
	var c searcher.Counts
	err := Call(http.MethodGet, "http://"+proc.admin.String()+"/counts?runs=false", nil, &c)
	return c, err
}

func sumCounts(a, b searcher.Counts) searcher.Counts {
	sum := searcher.Counts{
		Received: a.Received + b.Received, Served: a.Served + b.Served, Cancelled: a.Cancelled + b.Cancelled,
		MaxColdAdmitted: max(a.MaxColdAdmitted, b.MaxColdAdmitted),
		Connections:     a.Connections + b.Connections, RejectedConnections: a.RejectedConnections + b.RejectedConnections,
		Refused: map[string]int{},
	}
	for _, c := range []searcher.Counts{a, b} {
		for reason, n := range c.Refused {
			sum.Refused[reason] += n
		}
	}
	return sum
}

// Counts returns the sums of the counts of all searchers, including those of killed processes.
// MaxColdAdmitted is the maximum instead of the sum.
func (s *Searchers) Counts() (searcher.Counts, error) {
	var sum searcher.Counts
	for _, proc := range s.processes {
		c, err := proc.counts()
		if err != nil {
			return sum, errors.Wrapf(err, "counts of %s", proc.name)
		}
		sum = sumCounts(sumCounts(sum, proc.previousCounts), c)
	}
	return sum, nil
}

// DuplicateRuns returns the number of sub-requests that ran more than once, on the same searcher
// or on several, and the number of sub-requests that ran. A sub-request is identified by its shard
// and the caller's identity of the request, which must start with prefix.
func (s *Searchers) DuplicateRuns(prefix string) (duplicates, ran int, err error) {
	type subRequest struct {
		request string
		shard   int
	}
	runs := map[subRequest]int{}
	for _, proc := range s.processes {
		var c searcher.Counts
		if err := Call(http.MethodGet, "http://"+proc.admin.String()+"/counts", nil, &c); err != nil {
			return 0, 0, errors.Wrapf(err, "counts of %s", proc.name)
		}
		for name, shards := range c.Runs {
			request, _, _ := strings.Cut(name, "/") // The relay appends the run and the sub-request to the identity.
			if !strings.HasPrefix(request, prefix) {
				continue
			}
			for shard, n := range shards {
				runs[subRequest{request, shard}] += n
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates, len(runs), nil
}

// Addresses returns the addresses of the searchers by shard.
func (s *Searchers) Addresses() [][]netip.AddrPort {
	out := make([][]netip.AddrPort, s.Shape.Shards)
	for _, proc := range s.processes {
		out[proc.shard] = append(out[proc.shard], proc.listen)
	}
	return out
}

// Replicas returns the searcher of each shard that has the replica number.
func (s *Searchers) Replicas(replica int) []*standIn {
	var out []*standIn
	for _, proc := range s.processes {
		if proc.replica == replica {
			out = append(out, proc)
		}
	}
	return out
}
