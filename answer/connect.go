package answer

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/limit"
	"wasabirelay/route"
	"wasabirelay/target"
)

// Connect sets the dependencies to this host's replica selection, connection pool and admission
// control. It is called after Clock is set and before Register or Answer, and before the pool is used.
func (s *Service) Connect(table *route.Table, pool *limit.Pool, admission *limit.Admission) {
	s.Pick, s.Start, s.Done = table.Pick, table.Start, table.Done
	s.SuspectCold, s.ClearSuspicion, s.HedgeAfter = table.SuspectCold, table.ClearSuspicion, table.HedgeAfter
	s.CountFirst = func(service string) { table.Budget(service).CountFirst() }
	s.SpendBudget = func(service string, share float64) bool { return table.Budget(service).Spend(s.Clock.Now(), share) }
	s.SpendEarlyBudget = func(service string, share float64) bool {
		return table.Budget(service).SpendEarly(s.Clock.Now(), share)
	}
	s.Admit = admission.Admit
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	pool.CheckReply = checkIdentity
	p := &poolSender{pool: pool, clock: s.Clock}
	s.Send, s.Cancel, s.Health = p.send, p.cancel, p.health
}

// poolSender sends sub-requests over the connection pool of package limit.
type poolSender struct {
	pool  *limit.Pool
	clock clockwork.Clock
}

// send waits for a permit and a connection and sends a sub-request. After both waits it sets the
// timeout header to the remaining time and calls Check.
func (p *poolSender) send(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
	waitCtx, stop := clockwork.WithDeadline(ctx, p.clock, sub.Deadline)
	permit, err := p.pool.Acquire(waitCtx, t)
	stop()
	if err != nil {
		return nil, classifyPoolError(err)
	}
	result := limit.Failed
	defer func() { permit.Release(result) }()
	req, err := NewHTTPRequest(ctx, p.clock.Now(), t, sub)
	if err != nil {
		return nil, &SendError{Outcome: Failed, Err: err}
	}
	res, err := p.pool.Do(ctx, permit, req, func() error {
		setTimeout(req, p.clock.Now(), sub)
		return sub.Check()
	})
	if err != nil {
		return nil, classifyPoolError(err)
	}
	reply, failure := ReadReply(res.Status, res.Header.Fields(), res.Body)
	switch {
	case failure == nil:
		result = limit.Succeeded
	case failure.Outcome == Shed:
		result = limit.Shed
	}
	return reply, failure
}

// checkIdentity returns an error if the reply names another sub-request in its header. A refusal has no
// other identity. Targets need not send one.
func checkIdentity(req *http.Request, res *limit.Response) error {
	want, got := req.Header.Get(target.HeaderRequest), res.Header.Get(target.HeaderRequest)
	if want != "" && got != "" && got != want {
		return errors.Errorf("the reply is for sub-request %q", got)
	}
	return nil
}

// classifyPoolError returns the outcome of a sub-request that failed in the pool.
func classifyPoolError(err error) *SendError {
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		// The pool refused the request, which says nothing about the target's health.
		return &SendError{Outcome: Cancelled, Err: err}
	}
	var lost *limit.LostError
	sent := !errors.As(err, &lost) || lost.Sent
	var connect *limit.ConnectError
	if errors.As(err, &connect) {
		return &SendError{Outcome: ConnectFailed, Sent: sent, Err: err}
	}
	var reply *limit.ReplyError
	if errors.As(err, &reply) {
		reason := reasonLength
		switch reply.Reason {
		case limit.Malformed:
			reason = reasonForm
		case limit.Mismatched:
			reason = reasonRequest
		}
		return &SendError{Outcome: BadReply, Sent: sent, Err: &ReplyError{Reason: reason}}
	}
	return classifySendError(err, sent)
}

// cancel sends the cancellation of a sub-request to its target.
func (p *poolSender) cancel(ctx context.Context, t *control.Target, sub *Subrequest) error {
	req, err := newCancellation(ctx, t, sub)
	if err != nil {
		return err
	}
	return p.call(ctx, t, req)
}

// health checks the target's health. A refusal by the pool says nothing about the target and is
// not an error, so that the target is not assumed to be dead.
func (p *poolSender) health(ctx context.Context, t *control.Target) error {
	req, err := newHealthCheck(ctx, t)
	if err != nil {
		return err
	}
	err = p.call(ctx, t, req)
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

func (p *poolSender) call(ctx context.Context, t *control.Target, req *http.Request) error {
	permit, err := p.pool.Acquire(ctx, t)
	if err != nil {
		return err
	}
	// Cancellations and health checks say nothing about the target's load.
	defer permit.Release(limit.Failed)
	_, err = p.pool.Do(ctx, permit, req, nil)
	return err
}
