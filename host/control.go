package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/peer"
	"wasabirelay/problem"
	"wasabirelay/quorum"
)

const (
	// attemptTimeout limits a call to one control host, so that after a call to an
	// unresponsive one there is time to call another within the length of a lease.
	attemptTimeout = 400 * time.Millisecond
	// retryPause is the minimum pause between attempts while no leader is known.
	retryPause = 50 * time.Millisecond
)

// ControlClient calls the control hosts, first the one that responded last, then the others.
// A control host that did not respond is not the first to be called next time.
// Exported fields must be set before use. It is safe for concurrent use.
type ControlClient struct {
	// Clients holds one client per control host, in order of preference.
	Clients []*peer.Client

	mu        sync.Mutex
	preferred int
}

// errNoControlHost is the cause if there is no control host to call.
var errNoControlHost = errors.New("no control host is known")

// call calls the control hosts in turn until one responds. It stops early if a failed
// request may have had an effect. The error is that of the last attempt.
func (c *ControlClient) call(ctx context.Context, timeout time.Duration, method string, params, result any) error {
	c.mu.Lock()
	first := c.preferred
	c.mu.Unlock()
	var lastErr error = &peer.ConnectError{Err: errNoControlHost}
	for i := range c.Clients {
		n := (first + i) % len(c.Clients)
		attempt, cancel := context.WithTimeout(ctx, timeout)
		err := c.Clients[n].Call(attempt, method, params, result)
		cancel()
		if err == nil {
			c.prefer(n)
			return nil
		}
		// A call to an unreachable host may fail only by its timeout and must not be
		// repeated then. The next call must start with another host.
		c.prefer((n + 1) % len(c.Clients))
		lastErr = err
		if ctx.Err() != nil || !hadNoEffect(err) {
			break
		}
	}
	return lastErr
}

// prefer sets the control host that the next call tries first.
func (c *ControlClient) prefer(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = n
}

// hadNoEffect reports whether a request that failed with err certainly had no effect.
func hadNoEffect(err error) bool {
	var connect *peer.ConnectError
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return remote.Code == peer.CodeNotLeader
	}
	return errors.As(err, &connect)
}

// Propose commits a command. It retries until ctx ends, as long as the failed attempts had no
// effect. The error is a *problem.Details with executed "none" if the command had no
// effect, else "unknown".
func (c *ControlClient) Propose(ctx context.Context, command control.Command) (control.Result, error) {
	for {
		var result control.Result
		// A proposal must not be repeated at another host after a timeout, so one attempt
		// may take as long as the caller waits.
		err := c.call(ctx, proposeTimeout, quorum.MethodPropose, quorum.Proposal{Command: command}, &result)
		if err == nil {
			return result, nil
		}
		if !hadNoEffect(err) {
			d := problem.Unavailable("no-answer", "the control hosts gave no answer: "+err.Error())
			d.Executed = problem.Unknown
			return result, d
		}
		if !waitForRetry(ctx) {
			return result, problem.Unavailable("no-quorum", "no leader of the control hosts was reached: "+err.Error())
		}
	}
}

// proposeTimeout limits one attempt to propose a command.
const proposeTimeout = 5 * time.Second

// Status returns the leader's view of leases and replicas. It retries until ctx ends.
func (c *ControlClient) Status(ctx context.Context, index uint64) (*quorum.Status, error) {
	for {
		var s quorum.Status
		err := c.call(ctx, attemptTimeout, quorum.MethodStatus, quorum.StatusRequest{Index: index}, &s)
		if err == nil {
			return &s, nil
		}
		if !waitForRetry(ctx) {
			return nil, errors.Wrap(err, "ask the leader")
		}
	}
}

// SendEvidence sends the evidence of this host for the running moves to the leader.
func (c *ControlClient) SendEvidence(ctx context.Context, e quorum.Evidence) error {
	return c.call(ctx, attemptTimeout, quorum.MethodEvidence, e, &struct{}{})
}

// waitForRetry waits before another attempt. It reports whether ctx is still active.
func waitForRetry(ctx context.Context) bool {
	t := time.NewTimer(retryPause + rand.N(retryPause))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
