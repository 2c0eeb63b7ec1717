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
	// Slots, Connections and Connect are those of each searcher.
	Slots, Connections int
	Connect            time.Duration
	// Mean is the mean service time of a sub-request, lognormal with serviceSigma.
	Mean time.Duration
}

// Shapes are the workloads that are measured, from section 1.1 of the design. The
// 20 searchers of siparis-masasi are taken as 10 shards with 2 replicas.
var Shapes = []Shape{
	{Name: "order-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, Connect: 6 * time.Millisecond, Mean: serviceTime},
	{Name: "siparis-masasi", Shards: 10, Replicas: 2, Slots: 2, Connections: 35, Connect: time.Millisecond, Mean: serviceTime},
}

const (
	// serviceTime is the mean service time of a sub-request. At 20 ms, 30 searchers
	// with 2 slots bear 300 queries/s, so that the processors are not the bottleneck.
	serviceTime  = 20 * time.Millisecond
	serviceSigma = 0.3
	// warmServed and warmAfter end the cold state of a restarted searcher.
	warmServed = 50
	warmAfter  = 2 * time.Second
)

// Searchers is a set of stand-in processes of one shape.
type Searchers struct {
	Fleet *Fleet
	Shape Shape
	// Hosts are the entry hosts that the searchers announce themselves to. With the
	// address of no listener, a set is not known to the entry hosts.
	Hosts []netip.AddrPort

	mu    sync.Mutex
	items []*standin
}

type standin struct {
	name           string
	shard, replica int
	listen, admin  netip.AddrPort
	cmd            *exec.Cmd
	// past sums the counts of the processes before this one.
	past searcher.Counts
}

// Start starts all searchers warm.
func (s *Searchers) Start(prefix string) error {
	for shard := range s.Shape.Shards {
		for replica := range s.Shape.Replicas {
			it := &standin{name: fmt.Sprintf("%s-%d-%d", prefix, shard, replica), shard: shard, replica: replica}
			for _, a := range []*netip.AddrPort{&it.listen, &it.admin} {
				address, err := freeAddress()
				if err != nil {
					return err
				}
				*a = address
			}
			if err := s.spawn(it, false); err != nil {
				return err
			}
			s.items = append(s.items, it)
		}
	}
	for _, it := range s.items {
		if err := Until("searcher listens", func() error { _, err := it.counts(); return err }); err != nil {
			return err
		}
	}
	return nil
}

func (s *Searchers) spawn(it *standin, cold bool) error {
	var hosts []string
	for i := range s.Hosts {
		hosts = append(hosts, s.Hosts[(i+it.replica)%len(s.Hosts)].String())
	}
	args := []string{
		"--name", it.name, "--service", s.Shape.Name, "--centre", s.Fleet.Centre(it.replica), "--listen", it.listen.String(),
		"--admin", it.admin.String(), "--hosts", strings.Join(hosts, ","), "--shards", strconv.Itoa(it.shard),
		"--total", strconv.Itoa(s.Shape.Shards), "--slots", strconv.Itoa(s.Shape.Slots),
		"--connections", strconv.Itoa(s.Shape.Connections), "--connect", s.Shape.Connect.String(),
		"--time", s.Shape.Mean.String(), "--shape", "lognormal", "--sigma", fmt.Sprint(serviceSigma),
		"--warm-served", strconv.Itoa(warmServed), "--warm-after", warmAfter.String(),
	}
	if cold {
		args = append(args, "--cold")
	}
	cmd, err := s.Fleet.Spawn(it.name, "standin", args...)
	s.mu.Lock()
	it.cmd = cmd
	s.mu.Unlock()
	return err
}

// Kill ends a searcher with SIGKILL and keeps its counts.
func (s *Searchers) Kill(it *standin) error {
	c, err := it.counts()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	it.past = add(it.past, c)
	kill(it.cmd)
	return nil
}

// Restart starts a killed searcher cold.
func (s *Searchers) Restart(it *standin) error {
	if err := s.spawn(it, true); err != nil {
		return err
	}
	return Until("searcher listens", func() error { _, err := it.counts(); return err })
}

// Fault changes the faults of a searcher.
func (it *standin) Fault(f map[string]any) error {
	var out searcher.Faults
	return Call(http.MethodPost, "http://"+it.admin.String()+"/fault", f, &out)
}

func (it *standin) counts() (searcher.Counts, error) {
	var c searcher.Counts
	err := Call(http.MethodGet, "http://"+it.admin.String()+"/counts?runs=false", nil, &c)
	return c, err
}

func add(a, b searcher.Counts) searcher.Counts {
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

// Counts returns the sums over all searchers, with those of processes that were
// killed. MaxColdAdmitted is the highest.
func (s *Searchers) Counts() (searcher.Counts, error) {
	var sum searcher.Counts
	for _, it := range s.items {
		c, err := it.counts()
		if err != nil {
			return sum, errors.Wrapf(err, "counts of %s", it.name)
		}
		sum = add(add(sum, it.past), c)
	}
	return sum, nil
}

// Doubled returns the number of sub-requests, by the caller's identity of the
// request and shard, that ran more than once on all searchers together, and the
// number of those that ran.
func (s *Searchers) Doubled(prefix string) (doubled, ran int, err error) {
	type identity struct {
		request string
		shard   int
	}
	runs := map[identity]int{}
	for _, it := range s.items {
		var c searcher.Counts
		if err := Call(http.MethodGet, "http://"+it.admin.String()+"/counts", nil, &c); err != nil {
			return 0, 0, errors.Wrapf(err, "counts of %s", it.name)
		}
		for name, shards := range c.Runs {
			request, _, _ := strings.Cut(name, "/") // The relay adds a part for the run and one for the sub-request.
			if !strings.HasPrefix(request, prefix) {
				continue
			}
			for shard, n := range shards {
				runs[identity{request, shard}] += n
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	return doubled, len(runs), nil
}

// Addresses returns the searchers of each shard.
func (s *Searchers) Addresses() [][]netip.AddrPort {
	out := make([][]netip.AddrPort, s.Shape.Shards)
	for _, it := range s.items {
		out[it.shard] = append(out[it.shard], it.listen)
	}
	return out
}

// Replicas returns the searchers with the number in their shard.
func (s *Searchers) Replicas(replica int) []*standin {
	var out []*standin
	for _, it := range s.items {
		if it.replica == replica {
			out = append(out, it)
		}
	}
	return out
}
