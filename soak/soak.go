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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/platform/standin"
)

const (
	controls, entries = 3, 3
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
	// ready bounds the start.
	ready = 20 * time.Second
)

var shards = []string{"s0", "s1", "s2"}

// Run is one run of a seed. Exported fields are set before Do.
type Run struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Program is the path of the daemon, Dir a folder for data and logs.
	Program, Dir string
	// Logf reports faults as they are injected.
	Logf func(format string, args ...any)

	rand       *rand.Rand
	deployment *standin.Deployment
	targets    []*standin.Target
	proxies    []*Proxy
	check      checker
	requests   atomic.Int64
	version    atomic.Uint64
	acked      atomic.Uint64
}

// Report is the outcome of a run.
type Report struct {
	Seed                     uint64
	Requests, Whole, Refused int64
	Documents                uint64
	// Violations are the broken promises.
	Violations []string
}

// String is one line on the run.
func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests, %d answered, %d refused, %d documents, %d violations",
		r.Seed, r.Requests, r.Whole, r.Refused, r.Documents, len(r.Violations))
	return strings.Join(append([]string{text}, r.Violations...), "\n  ")
}

// Folder returns the folder for data and logs of the seed.
func (r *Run) Folder() string { return filepath.Join(r.Dir, fmt.Sprint(r.Seed)) }

// Do runs the seed. The error is about the run itself; broken promises are in the
// report.
func (r *Run) Do(ctx context.Context) (*Report, error) {
	r.rand = rand.New(rand.NewPCG(r.Seed, 1))
	r.check.init()
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { r.call(load, i) })
	}
	wg.Go(func() { r.operate(load) })
	wg.Go(func() { r.read(load) })
	r.inject(ctx)
	r.heal()
	err := r.settle(ctx)
	stop()
	wg.Wait()
	if err != nil {
		r.check.violate("not served whole %s after the last fault: %v", settleTime, err)
	}
	r.readBack(ctx)
	return r.check.report(r), nil
}

// start starts all processes and targets and waits until requests are served whole.
func (r *Run) start(ctx context.Context) error {
	r.deployment = &standin.Deployment{Program: r.Program, Dir: r.Folder(), Control: controls, Entry: entries}
	if err := r.deployment.Start(); err != nil {
		return err
	}
	for _, service := range append([]string{"one"}, shards...) {
		for range replicas {
			if err := r.addTarget(service); err != nil {
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

func (r *Run) addTarget(service string) error {
	var failed error
	t := &standin.Target{
		ID: fmt.Sprintf("%s-%d", service, len(r.targets)), Service: service, Centre: fmt.Sprintf("zone-%d", len(r.targets)%3),
		Control: r.deployment.Operators, Ran: func(_, request string) { r.check.ran(request) },
		Via: func(own netip.AddrPort) netip.AddrPort {
			p, err := NewProxy(own)
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
	for _, t := range r.targets {
		t.Crash()
	}
	for _, p := range r.proxies {
		p.Close()
	}
	if r.deployment != nil {
		r.deployment.Close()
	}
}

// entry returns the entry hosts' addresses for callers.
func (r *Run) entry(i int) netip.AddrPort {
	return r.deployment.Machines()[controls+i%entries].Caller()
}

// call sends requests of both kinds until ctx ends.
func (r *Run) call(ctx context.Context, caller int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("r%d", r.requests.Add(1))
		path, method := "/all/x", "GET"
		if i%2 == 1 {
			path, method = "/one/x", "POST"
			r.check.once(id)
		}
		a, err := standin.Ask(ctx, r.entry(caller+i), method, path, id, callerTime)
		if err == nil { // otherwise the caller sees nothing but a closed connection
			r.check.answered(id, path == "/one/x", a)
		}
		time.Sleep(callPause)
	}
}

// operatePause separates the documents of the operator.
const operatePause = 300 * time.Millisecond

// operate sends one document after the other until ctx ends.
func (r *Run) operate(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, settleTime)
		_ = r.put(call) // without an acknowledgement nothing is promised
		cancel()
		time.Sleep(operatePause)
	}
}

// put sends the next document until it is acknowledged.
func (r *Run) put(ctx context.Context) error {
	version := r.version.Add(1)
	if err := standin.Put(ctx, r.deployment.Operators(), standin.Config(version, shards, "one")); err != nil {
		return err
	}
	r.acked.Store(version)
	return nil
}

// read checks that no control host shows a document older than an acknowledged one.
func (r *Run) read(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		acked := r.acked.Load()
		at := r.deployment.Operators()[i%controls]
		if version, err := standin.GetAt(ctx, at); err == nil && version < acked {
			r.check.violate("control host %s shows document %d after %d was acknowledged", at, version, acked)
		}
		time.Sleep(operatePause / 10)
	}
}

// readBack checks that the newest acknowledged document is still there.
func (r *Run) readBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	version, err := standin.Get(ctx, r.deployment.Operators())
	if acked := r.acked.Load(); err != nil || version < acked {
		r.check.violate("document %d was acknowledged; at the end %d is there: %v", acked, version, err)
	}
}

// settle waits until each entry host answers a request whole.
func (r *Run) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for i := range entries {
		for {
			id := fmt.Sprintf("r%d", r.requests.Add(1))
			a, err := standin.Ask(ctx, r.entry(i), "GET", "/all/x", id, callerTime)
			if err == nil {
				r.check.answered(id, false, a)
				if a.Status == 200 && a.Missing == 0 {
					break
				}
				err = errors.Errorf("entry host %d: status %d, %d shards missing", i, a.Status, a.Missing)
			}
			if ctx.Err() != nil {
				return err
			}
			time.Sleep(operatePause / 10)
		}
	}
	return nil
}
