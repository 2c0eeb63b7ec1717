// Package soak runs a deployment of the real programs on loopback, injects faults from
// outside, and checks the promises from what callers, targets and operators see. A
// seed repeats the schedule of faults; the timing of the processes differs.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/platform/standin"
)

const (
	// replicas is the number of targets of each service.
	replicas = 3
	// callers is the number of callers that send requests one after the other.
	callers = 6
	// callPause separates the requests of a caller: the soak looks for broken promises,
	// not for the limits of the machine.
	callPause = 5 * time.Millisecond
	// callerTime is how long a caller waits.
	callerTime = 1500 * time.Millisecond
	// settleTime is how long the system may take to serve all requests whole after
	// the last fault: the platform's bound for a recovery.
	settleTime = 12 * time.Second
	// touchTime is how long after the last fault the promises with a time bound hold
	// again, and calmTime how long they are checked then.
	touchTime = 5 * time.Second
	calmTime  = 2 * time.Second
	// forceTime is how long an acknowledged document may take to be in force.
	forceTime = 4 * time.Second
	// ready bounds the start.
	ready = 20 * time.Second
)

var shards = []string{"s0", "s1", "s2"}

// Run is one run of a seed. Exported fields are set before Do.
type Run struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// ControlHosts and EntryHosts are the numbers of hosts.
	ControlHosts, EntryHosts int
	// Program is the path of the daemon, Dir a folder for data and logs.
	Program, Dir string
	// Logf reports faults as they are injected.
	Logf func(format string, args ...any)

	rand       *rand.Rand
	deployment *standin.Deployment
	targets    []*standin.Target
	// crashed holds the indexes of targets that have crashed and are to be replaced.
	crashed map[int]bool
	// left are the targets that have said that they leave; they serve on.
	left []*standin.Target
	// proxies are the links to targets, links those between hosts, callerLinks those of
	// callers to entry hosts.
	proxies, links, callerLinks []*Proxy
	// evacuated is the data centre that an order has named, out the same if the order
	// was acknowledged.
	evacuated, out string
	check          checker
	traffic        traffic
	requests       atomic.Int64
	version        atomic.Uint64
	acked          atomic.Uint64
}

// Report is the outcome of a run.
type Report struct {
	Seed                        uint64
	Requests, Complete, Refused int64
	Documents                   uint64
	// Violations are the broken promises.
	Violations []string
}

// String is one line on the run.
func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests, %d answered, %d refused, %d documents, %d violations",
		r.Seed, r.Requests, r.Complete, r.Refused, r.Documents, len(r.Violations))
	return strings.Join(append([]string{text}, r.Violations...), "\n  ")
}

// Directory returns the folder for data and logs of the seed.
func (r *Run) Directory() string { return filepath.Join(r.Dir, fmt.Sprint(r.Seed)) }

// Do runs the seed. The error is about the run itself; broken promises are in the
// report.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	r.rand = rand.New(rand.NewPCG(r.Seed, 1))
	r.crashed = map[int]bool{}
	r.check.init()
	r.traffic.init()
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { r.call(load, i) })
	}
	for i := range r.EntryHosts {
		wg.Go(func() { r.watch(load, r.machine(r.ControlHosts+i)) })
	}
	wg.Go(func() { r.operate(load) })
	wg.Go(func() { r.read(load) })
	r.inject(ctx)
	r.heal(ctx)
	if err := r.settle(ctx); err != nil {
		r.check.violate("not served whole %s after the last fault: %v", settleTime, err)
	}
	r.calm(ctx)
	stop()
	wg.Wait()
	r.readBack(ctx)
	r.traffic.report(&r.check)
	return r.check.report(r), nil
}

// start starts all processes and targets and waits until requests are served whole.
func (r *Run) start(ctx context.Context) error {
	r.deployment = &standin.Deployment{Program: r.Program, Dir: r.Directory(), ControlHosts: r.ControlHosts, EntryHosts: r.EntryHosts, Forward: r.forward}
	if err := r.deployment.Start(); err != nil {
		return err
	}
	for i := range r.EntryHosts {
		p, err := NewProxy(anyPort, r.machine(r.ControlHosts+i).CallerAddress())
		if err != nil {
			return err
		}
		r.callerLinks = append(r.callerLinks, p)
	}
	for _, service := range slices.Concat(single, shards) {
		for i := range replicas {
			if err := r.addTarget(service, fmt.Sprintf("zone-%d", i), 0); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, ready)
	defer cancel()
	if err := r.put(ctx); err != nil {
		return errors.Wrap(err, "first document")
	}
	return errors.Wrap(r.settle(ctx), "start")
}

// forward opens the link to a host.
func (r *Run) forward(public, own netip.AddrPort) error {
	p, err := NewProxy(public, own)
	if err != nil {
		return err
	}
	r.links = append(r.links, p)
	return nil
}

func (r *Run) addTarget(service, centre string, cold time.Duration) error {
	var failed error
	t := &standin.Target{
		ID: fmt.Sprintf("%s-%d", service, len(r.proxies)), Service: service, Centre: centre, ColdDuration: cold,
		ControlAddresses: r.deployment.OperatorAddresses, OnArrival: r.traffic.arrived, OnRun: r.check.ran,
		AdvertisedAddress: func(own netip.AddrPort) netip.AddrPort {
			p, err := NewProxy(anyPort, own)
			if err != nil {
				failed = err
				return own
			}
			r.proxies = append(r.proxies, p)
			return p.Address
		},
	}
	if err := t.Start(); err != nil {
		return err
	}
	r.targets = append(r.targets, t)
	return failed
}

func (r *Run) close() {
	for _, t := range append(r.targets, r.left...) {
		t.Crash()
	}
	for _, p := range slices.Concat(r.proxies, r.links, r.callerLinks) {
		p.Close()
	}
	if r.deployment != nil {
		r.deployment.Close()
	}
}

func (r *Run) machine(i int) *standin.Machine { return r.deployment.Machines()[i] }

// nextID returns the identity of a new request. Later ones have greater numbers.
func (r *Run) nextID() string { return fmt.Sprintf("r%d", r.requests.Add(1)) }

// calm waits until all hosts are in touch again and then lets the load go on for a
// while, in which targets that leave and a data centre that is out of service must get
// nothing.
func (r *Run) calm(ctx context.Context) {
	if !sleep(ctx, touchTime) {
		return
	}
	forbidden := map[string]string{}
	for _, t := range r.left {
		forbidden[t.ID] = "has said that it leaves"
	}
	for _, t := range r.targets {
		if r.out != "" && t.Centre == r.out {
			forbidden[t.ID] = "is in a data centre that is out of service"
		}
	}
	r.traffic.forbid(forbidden, r.requests.Load())
	sleep(ctx, calmTime)
}

// sleep waits. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// readBack checks that the newest acknowledged document is still there, and in force on
// all entry hosts.
func (r *Run) readBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	version, err := standin.RoutingVersion(ctx, r.deployment.OperatorAddresses())
	if acked := r.acked.Load(); err != nil || version < acked {
		r.check.violate("document %d was acknowledged; at the end %d is there: %v", acked, version, err)
		return
	}
	for i := range r.EntryHosts {
		m := r.machine(r.ControlHosts + i)
		for end := time.Now().Add(forceTime); !r.shows(ctx, m, version); time.Sleep(operatePause / 10) {
			if time.Now().After(end) {
				r.check.violate("document %d is not in force on %s after %s", version, m.Name, forceTime)
				break
			}
		}
	}
}

// settle waits until each entry host answers a request whole.
func (r *Run) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for i := range r.EntryHosts {
		for {
			id := r.nextID()
			r.traffic.asked(shards)
			a, err := standin.SendRequest(ctx, r.machine(r.ControlHosts+i).CallerAddress(), "GET", "/all/x", id, callerTime)
			if err == nil {
				r.check.answered(id, false, a)
				if a.Status == 200 && a.MissingShards == 0 {
					break
				}
				err = errors.Errorf("entry host %d: status %d, %d shards missing", i, a.Status, a.MissingShards)
			}
			if ctx.Err() != nil {
				return err
			}
			time.Sleep(operatePause / 10)
		}
	}
	return nil
}
