// Package soak runs a deployment of the real programs on loopback, injects faults from
// outside, and checks the guarantees as seen by callers, targets and operators. A seed
// reproduces the schedule of faults, but not the timing of the processes.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
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
	// defaultCallPause is the pause between the requests of a caller. It keeps the load below the
	// limits of the machine: the soak test checks guarantees, not the capacity.
	defaultCallPause = 5 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 1500 * time.Millisecond
	// recoveryTimeout is how long the system may take after the last fault until all answers
	// are complete: the platform's bound for a recovery.
	recoveryTimeout = 12 * time.Second
	// reconnectTime is the time after the last fault until the guarantees with a time bound
	// hold again, healthyTime how long they are checked after that.
	reconnectTime = 5 * time.Second
	healthyTime   = 2 * time.Second
	// inForceTimeout is how long an acknowledged document may take to come into force.
	inForceTimeout = 4 * time.Second
	// startTimeout bounds the start of the deployment.
	startTimeout = 20 * time.Second
)

var shards = []string{"s0", "s1", "s2"}

// Run is one run with a seed. Exported fields are set before Do.
type Run struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// ControlHosts and EntryHosts are the numbers of hosts by kind.
	ControlHosts, EntryHosts int
	// Replacements is true if control hosts are also replaced by others. The other faults of a
	// seed differ then.
	Replacements bool
	// Stutter is true if targets depart from one whole reply per request, in shares and forms that
	// the seed determines, and callers leave early, pipeline and send bodies slowly. The other faults
	// of a seed remain the same.
	Stutter bool
	// Organisations is true if documents hold organisations, callers also send requests with keys, and usage is
	// reported. The faults of a seed remain the same.
	Organisations bool
	// DisturbStart is true if control hosts also fail while the system starts for the first time.
	DisturbStart bool
	// Only, if set, limits the other faults to those whose names contain it; the order for a seed
	// differs then. Quiet is true if there are none. HeadShare is the share of HEAD among idempotent
	// requests that are not merged; it needs Stutter.
	Only      string
	Quiet     bool
	HeadShare float64
	// SpoiltShare is the share of replies that come once and whole whose head is spoilt; it needs Stutter.
	SpoiltShare float64
	// CallPause is the pause between the requests of a caller; the default is 5 ms. The retry budget is the
	// tighter the fewer requests there are.
	CallPause time.Duration
	// Program is the path of the daemon, Dir a directory for data and logs.
	Program, Dir string
	// Logf logs each fault as it is injected.
	Logf func(format string, args ...any)

	rand       *rand.Rand
	deployment *standin.Deployment
	targets    []*standin.Target
	// crashed holds the indexes of targets that have crashed and are not replaced yet.
	crashed map[int]bool
	// leaving are the targets that have announced that they drain; they still serve requests.
	leaving []*standin.Target
	// targetLinks are the links to targets, hostLinks those between hosts, callerLinks those
	// from callers to entry hosts.
	targetLinks, hostLinks, callerLinks []*Proxy
	// evacuated is the data centre whose evacuation was ordered, ackedEvacuation the same if
	// the order was acknowledged.
	evacuated, ackedEvacuation string
	check                      checker
	traffic                    traffic
	organisations              organisations
	requests                   atomic.Int64
	version                    atomic.Uint64
	acked                      atomic.Uint64
}

// Report is the result of a run.
type Report struct {
	Seed                        uint64
	Requests, Answered, Refused int64
	Documents                   uint64
	// Mixed is the number of answers that were not those of their requests, or not whole, Lost the number of
	// requests that got 502 or 504, Causes tells which runs these had.
	Mixed, Lost int
	Causes      []string
	// Repeats is the maximum number of repeated arrivals at a service in a window of the retry budget, which
	// allows RepeatsAllowed there.
	Repeats        int
	RepeatsAllowed float64
	// Violations are the broken guarantees.
	Violations []string
}

// String returns a summary line, followed by one line for each violation.
func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests, %d answered, %d refused, %d documents, %d got 502 or 504, %d of %.0f repeats, %d mixed, %d violations",
		r.Seed, r.Requests, r.Answered, r.Refused, r.Documents, r.Lost, r.Repeats, r.RepeatsAllowed, r.Mixed, len(r.Violations))
	return strings.Join(append([]string{text}, r.Violations...), "\n  ")
}

// Directory returns the directory for data and logs of the seed.
func (r *Run) Directory() string { return filepath.Join(r.Dir, fmt.Sprint(r.Seed)) }

// Do runs the seed. An error means that the run itself failed; broken guarantees are in
// the report.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	r.rand = rand.New(rand.NewPCG(r.Seed, 1))
	r.CallPause = cmp.Or(r.CallPause, defaultCallPause)
	r.crashed = map[int]bool{}
	r.check.init()
	r.traffic.init()
	r.traffic.stuttering = r.Stutter
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callers {
		if r.Stutter {
			wg.Go(func() { r.sendStuttered(load, i) })
		} else {
			wg.Go(func() { r.sendRequests(load, i) })
		}
	}
	if r.Organisations {
		wg.Go(func() { r.sendKeyed(load) })
	}
	for i := range r.EntryHosts {
		wg.Go(func() { r.checkVersions(load, r.machine(r.ControlHosts+i)) })
	}
	wg.Go(func() { r.putDocuments(load) })
	wg.Go(func() { r.checkReads(load) })
	if r.Quiet {
		sleep(ctx, r.Duration)
	} else {
		r.inject(ctx)
	}
	r.clearFaults(ctx)
	if err := r.awaitComplete(ctx); err != nil {
		r.check.addViolation("answers are not complete %s after the last fault: %v", recoveryTimeout, err)
	}
	r.runHealthy(ctx)
	r.checkDeclarations(ctx)
	stop()
	wg.Wait()
	r.checkLastDocument(ctx)
	r.organisations.report(&r.check)
	repeats, allowed := r.traffic.report(&r.check)
	if r.Quiet {
		r.check.checkAttempts()
	}
	report := r.check.report(r)
	report.Repeats, report.RepeatsAllowed = repeats, allowed
	return report, nil
}

// start starts all processes and targets and waits until answers are complete.
func (r *Run) start(ctx context.Context) (err error) {
	r.deployment = &standin.Deployment{Program: r.Program, Dir: r.Directory(), ControlHosts: r.ControlHosts, EntryHosts: r.EntryHosts, Forward: r.openHostLink}
	if r.Organisations {
		r.organisations.expected = map[string]string{}
		if r.deployment.Provider, err = r.organisations.provider.Start(ctx); err != nil {
			return err
		}
	}
	if err := r.deployment.Start(); err != nil {
		return err
	}
	if r.DisturbStart {
		var lost *standin.Machine
		var wg sync.WaitGroup
		wg.Go(func() { lost = r.disturbStart(ctx) })
		defer func() {
			if wg.Wait(); err == nil && lost != nil {
				r.awaitRepair(lost) // another loss before that is more than the group has to tolerate
			}
		}()
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
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.putDocument(limited); err != nil {
		return errors.Wrap(err, "put the first document")
	}
	return errors.Wrap(r.awaitComplete(limited), "start")
}

// openHostLink starts the proxy in front of a host.
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
		ControlAddresses: r.deployment.OperatorAddresses, OnArrival: r.traffic.recordArrival, OnRun: r.recordRun, Stutter: r.stutter(),
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

// entryIndex returns the number of an entry host.
func (r *Run) entryIndex(m *standin.Machine) int {
	return slices.Index(r.deployment.Machines(), m) - r.ControlHosts
}

// nextID returns the identity of a new request to an entry host, with a number that increases.
func (r *Run) nextID(host int) string { return fmt.Sprintf("r%d@%d", r.requests.Add(1), host) }

// parseID returns the number and the entry host of a request. The number is 0 if no caller has
// sent the request.
func parseID(request string) (number int64, host string) {
	text, host, _ := strings.Cut(strings.TrimPrefix(request, "r"), "@")
	number, _ = strconv.ParseInt(text, 10, 64)
	return number, host
}

// runHealthy waits until all hosts are connected again. The load then continues for
// healthyTime, in which draining targets and the targets of an evacuated data centre must
// get no requests.
func (r *Run) runHealthy(ctx context.Context) {
	if !sleep(ctx, reconnectTime) {
		return
	}
	forbidden := map[string]string{}
	for _, t := range r.leaving {
		forbidden[t.ID] = "has announced that it drains"
	}
	for _, t := range r.targets {
		if r.ackedEvacuation != "" && t.Centre == r.ackedEvacuation {
			forbidden[t.ID] = "is in an evacuated data centre"
		}
	}
	r.traffic.forbid(forbidden, r.requests.Load())
	sleep(ctx, healthyTime)
}

// sleep waits for d. It reports false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// checkLastDocument checks that the newest acknowledged document, or a later one, is stored
// and in force on all entry hosts.
func (r *Run) checkLastDocument(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	version, err := standin.RoutingVersion(ctx, r.deployment.OperatorAddresses())
	if acked := r.acked.Load(); err != nil || version < acked {
		r.check.addViolation("document %d was acknowledged, but document %d is stored at the end: %v", acked, version, err)
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

// awaitComplete waits until each entry host has given a complete answer.
func (r *Run) awaitComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for i := range r.EntryHosts {
		for {
			id := r.nextID(i)
			r.traffic.recordSent(shards)
			a, err := standin.SendRequest(ctx, r.machine(r.ControlHosts+i).CallerAddress(), "GET", "/all/x", id, callerTimeout)
			if err == nil {
				r.check.checkAnswer(id, &mergedRoute, a)
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
