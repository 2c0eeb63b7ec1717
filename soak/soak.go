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
	// callerTimeout is how long a caller waits.
	callerTimeout = 1500 * time.Millisecond
	// recoveryTimeout is how long the system may take to serve all requests whole after
	// the last fault: the platform's bound for a recovery.
	recoveryTimeout = 12 * time.Second
	// reconnectTime is how long after the last fault the promises with a time bound hold
	// again, and calmTime how long they are checked then.
	reconnectTime = 5 * time.Second
	healthyTime   = 2 * time.Second
	// inForceTimeout is how long an acknowledged document may take to be in force.
	inForceTimeout = 4 * time.Second
	// startTimeout bounds the start.
	startTimeout = 20 * time.Second
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
	// leaving are the targets that have said that they leave; they serve on.
	leaving []*standin.Target
	// targetLinks are the hostLinks to targets, hostLinks those between hosts, callerLinks those of
	// callers to entry hosts.
	targetLinks, hostLinks, callerLinks []*Proxy
	// evacuated is the data centre that an order has named, evacuationAcked the same if the order
	// was acknowledged.
	evacuated, evacuationAcked string
	check                      checker
	traffic                    traffic
	requests                   atomic.Int64
	version                    atomic.Uint64
	acked                      atomic.Uint64
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
		wg.Go(func() { r.sendRequests(load, i) })
	}
	for i := range r.EntryHosts {
		wg.Go(func() { r.checkVersions(load, r.machine(r.ControlHosts+i)) })
	}
	wg.Go(func() { r.putDocuments(load) })
	wg.Go(func() { r.checkReads(load) })
	r.inject(ctx)
	r.clearFaults(ctx)
	if err := r.awaitComplete(ctx); err != nil {
		r.check.addViolation("not served whole %s after the last fault: %v", recoveryTimeout, err)
	}
	r.runHealthy(ctx)
	stop()
	wg.Wait()
	r.checkLastDocument(ctx)
	r.traffic.report(&r.check)
	return r.check.report(r), nil
}

// start starts all processes and targets and waits until requests are served whole.
func (r *Run) start(ctx context.Context) error {
	r.deployment = &standin.Deployment{Program: r.Program, Dir: r.Directory(), ControlHosts: r.ControlHosts, EntryHosts: r.EntryHosts, Forward: r.openHostLink}
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
	for _, service := range slices.Concat(singleRunServices, shards) {
		for i := range replicas {
			if err := r.addTarget(service, fmt.Sprintf("zone-%d", i), 0); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.putDocument(ctx); err != nil {
		return errors.Wrap(err, "first document")
	}
	return errors.Wrap(r.awaitComplete(ctx), "start")
}

// openHostLink opens the link to a host.
func (r *Run) openHostLink(public, own netip.AddrPort) error {
	p, err := NewProxy(public, own)
	if err != nil {
		return err
	}
	r.hostLinks = append(r.hostLinks, p)
	return nil
}

func (r *Run) addTarget(service, centre string, cold time.Duration) error {
	var failed error
	t := &standin.Target{
		ID: fmt.Sprintf("%s-%d", service, len(r.targetLinks)), Service: service, Centre: centre, ColdDuration: cold,
		ControlAddresses: r.deployment.OperatorAddresses, OnArrival: r.traffic.recordArrival, OnRun: r.check.recordRun,
		AdvertisedAddress: func(own netip.AddrPort) netip.AddrPort {
			p, err := NewProxy(anyPort, own)
			if err != nil {
				failed = err
				return own
			}
			r.targetLinks = append(r.targetLinks, p)
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
	for _, t := range append(r.targets, r.leaving...) {
		t.Crash()
	}
	for _, p := range slices.Concat(r.targetLinks, r.hostLinks, r.callerLinks) {
		p.Close()
	}
	if r.deployment != nil {
		r.deployment.Close()
	}
}

func (r *Run) machine(i int) *standin.Machine { return r.deployment.Machines()[i] }

// nextID returns the identity of a new request. Later ones have greater numbers.
func (r *Run) nextID() string { return fmt.Sprintf("r%d", r.requests.Add(1)) }

// runHealthy waits until all hosts are in touch again and then lets the load go on for a
// while, in which targets that leave and a data centre that is out of service must get
// nothing.
func (r *Run) runHealthy(ctx context.Context) {
	if !sleep(ctx, reconnectTime) {
		return
	}
	forbidden := map[string]string{}
	for _, t := range r.leaving {
		forbidden[t.ID] = "has said that it leaves"
	}
	for _, t := range r.targets {
		if r.evacuationAcked != "" && t.Centre == r.evacuationAcked {
			forbidden[t.ID] = "is in a data centre that is out of service"
		}
	}
	r.traffic.forbid(forbidden, r.requests.Load())
	sleep(ctx, healthyTime)
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

// checkLastDocument checks that the newest acknowledged document is still there, and in force on
// all entry hosts.
func (r *Run) checkLastDocument(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	version, err := standin.RoutingVersion(ctx, r.deployment.OperatorAddresses())
	if acked := r.acked.Load(); err != nil || version < acked {
		r.check.addViolation("document %d was acknowledged; at the end %d is there: %v", acked, version, err)
		return
	}
	for i := range r.EntryHosts {
		m := r.machine(r.ControlHosts + i)
		for end := time.Now().Add(inForceTimeout); !r.inForce(ctx, m, version); time.Sleep(documentPause / 10) {
			if time.Now().After(end) {
				r.check.addViolation("document %d is not in force on %s after %s", version, m.Name, inForceTimeout)
				break
			}
		}
	}
}

// awaitComplete waits until each entry host answers a request whole.
func (r *Run) awaitComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for i := range r.EntryHosts {
		for {
			id := r.nextID()
			r.traffic.recordSent(shards)
			a, err := standin.SendRequest(ctx, r.machine(r.ControlHosts+i).CallerAddress(), "GET", "/all/x", id, callerTimeout)
			if err == nil {
				r.check.checkAnswer(id, false, a)
				if a.Status == 200 && a.MissingShards == 0 {
					break
				}
				err = errors.Errorf("entry host %d: status %d, %d shards missing", i, a.Status, a.MissingShards)
			}
			if ctx.Err() != nil {
				return err
			}
			time.Sleep(documentPause / 10)
		}
	}
	return nil
}
