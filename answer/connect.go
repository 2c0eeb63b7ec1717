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

// Connect makes the seams use this host's replica selection, connections and
// admission. It is called before Register or Answer, after Clock is set.
func (s *Service) Connect(table *route.Table, pool *limit.Pool, admission *limit.Admission) {
	s.Pick, s.Start, s.Done = table.Pick, table.Start, table.Done
	s.SuspectCold, s.HedgeAfter = table.SuspectCold, table.HedgeAfter
	s.CountFirst = func(service string) { table.Budget(service).CountFirst() }
	s.SpendBudget = func(service string, share float64) bool { return table.Budget(service).Spend(share) }
	s.SpendEarlyBudget = func(service string, share float64) bool { return table.Budget(service).SpendEarly(share) }
	s.Admit = admission.Admit
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	p := &pooled{pool: pool, clock: s.Clock}
	s.Send, s.Cancel, s.Health = p.send, p.cancel, p.health
}

// pooled sends sub-requests over the connections of package limit.
type pooled struct {
	pool  *limit.Pool
	clock clockwork.Clock
}

// send waits for room and a connection and sends a sub-request. Its Check runs
// after both waits, and the remaining time is taken then.
func (p *pooled) send(ctx context.Context, t *control.Target, sub *Subrequest) (*target.Reply, *SendError) {
	waiting, stop := clockwork.WithDeadline(ctx, p.clock, sub.Deadline)
	permit, err := p.pool.Acquire(waiting, t)
	stop()
	if err != nil {
		return nil, poolError(err)
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
		return nil, poolError(err)
	}
	reply, failure := ReadReply(res.Status, res.Header, res.Body)
	switch {
	case failure == nil:
		result = limit.Succeeded
	case failure.Outcome == Shed:
		result = limit.Shed
	}
	return reply, failure
}

// poolError classifies an error of the pool.
func poolError(err error) *SendError {
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		// The target has done nothing that its health should be judged by.
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
		if reply.Reason == limit.Malformed {
			reason = reasonForm
		}
		return &SendError{Outcome: BadReply, Sent: sent, Err: &ReplyError{Reason: reason}}
	}
	return sendError(err, sent)
}

// cancel posts the cancellation of a sub-request.
func (p *pooled) cancel(ctx context.Context, t *control.Target, sub *Subrequest) error {
	req, err := newCancellation(ctx, t, sub)
	if err != nil {
		return err
	}
	return p.call(ctx, t, req)
}

// health asks for the target's health. Without room for the request nothing is
// known about the target, which is not taken for a death.
func (p *pooled) health(ctx context.Context, t *control.Target) error {
	req, err := newHealth(ctx, t)
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

func (p *pooled) call(ctx context.Context, t *control.Target, req *http.Request) error {
	permit, err := p.pool.Acquire(ctx, t)
	if err != nil {
		return err
	}
	// The result says nothing about the target's load.
	defer permit.Release(limit.Failed)
	_, err = p.pool.Do(ctx, permit, req, nil)
	return err
}
