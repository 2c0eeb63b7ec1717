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
	// attemptTimeout bounds a call to one control host, so that a silent one
	// leaves time for another within a lease.
	attemptTimeout = 400 * time.Millisecond
	// retryPause separates attempts while no leader is known.
	retryPause = 50 * time.Millisecond
)

// ControlClient calls the control hosts: the one that answered last, then the others. One that
// gave no answer is not the first to be asked again.
// Exported fields are set before use. It is safe for concurrent use.
type ControlClient struct {
	// Clients holds a client per control host, in the order of preference.
	Clients []*peer.Client

	mu        sync.Mutex
	preferred int
}

// call calls one control host after the other until one answers. The error is
// that of the last attempt.
func (c *ControlClient) call(ctx context.Context, timeout time.Duration, method string, params, result any) error {
	c.mu.Lock()
	first := c.preferred
	c.mu.Unlock()
	var last error
	for i := range c.Clients {
		n := (first + i) % len(c.Clients)
		attempt, cancel := context.WithTimeout(ctx, timeout)
		err := c.Clients[n].Call(attempt, method, params, result)
		cancel()
		if err == nil {
			c.prefer(n)
			return nil
		}
		// A host that is cut off silently fails only by its time-out, after which the call
		// may not be repeated. The next call has to begin with another host.
		c.prefer((n + 1) % len(c.Clients))
		last = err
		if ctx.Err() != nil || !safe(err) {
			break
		}
	}
	return last
}

// prefer sets the control host that the next call asks first.
func (c *ControlClient) prefer(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = n
}

// safe reports whether a request that failed in this way had no effect.
func safe(err error) bool {
	var connect *peer.ConnectError
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return remote.Code == peer.CodeNotLeader
	}
	return errors.As(err, &connect)
}

// Propose commits a command. It tries again while that is safe and ctx lasts.
// The error is a *problem.Details: executed "none" if the command has no effect,
// else "unknown".
func (c *ControlClient) Propose(ctx context.Context, command control.Command) (control.Result, error) {
	for {
		var result control.Result
		// A proposal must not be repeated elsewhere after a time-out, so one
		// attempt may take as long as the caller waits.
		err := c.call(ctx, proposeTimeout, quorum.MethodPropose, quorum.Proposal{Command: command}, &result)
		if err == nil {
			return result, nil
		}
		if !safe(err) {
			d := problem.Unavailable("no-answer", "the control hosts gave no answer: "+err.Error())
			d.Executed = problem.Unknown
			return result, d
		}
		if !pause(ctx) {
			return result, problem.Unavailable("no-quorum", "no leader of the control hosts was reached: "+err.Error())
		}
	}
}

// proposeTimeout bounds one proposal.
const proposeTimeout = 5 * time.Second

// Status asks the leader for its picture of leases and replicas.
func (c *ControlClient) Status(ctx context.Context, index uint64) (*quorum.Status, error) {
	for {
		var s quorum.Status
		err := c.call(ctx, attemptTimeout, quorum.MethodStatus, quorum.StatusRequest{Index: index}, &s)
		if err == nil {
			return &s, nil
		}
		if !pause(ctx) {
			return nil, errors.Wrap(err, "ask the leader")
		}
	}
}

// SendEvidence sends what this host has counted for the running moves to the leader.
func (c *ControlClient) SendEvidence(ctx context.Context, e quorum.Evidence) error {
	return c.call(ctx, attemptTimeout, quorum.MethodEvidence, e, &struct{}{})
}

// pause waits before another attempt. It reports false if ctx has ended.
func pause(ctx context.Context) bool {
	t := time.NewTimer(retryPause + rand.N(retryPause))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
