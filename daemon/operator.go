package daemon

import (
	"context"

	"wasabirelay/lease"
	"wasabirelay/operator"
)

// operatorAdapter provides the operator API with the state of the leader.
type operatorAdapter struct{ d *Daemon }

func (o *operatorAdapter) inForce(ctx context.Context, index uint64) (lease.Report, error) {
	s, err := o.d.control.Status(ctx, index)
	if err != nil {
		return lease.Report{}, err
	}
	return s.Report, nil
}

func (o *operatorAdapter) leases(ctx context.Context) ([]lease.Status, error) {
	s, err := o.d.control.Status(ctx, 0)
	if err != nil {
		return nil, err
	}
	return s.Leases, nil
}

func (o *operatorAdapter) leader() operator.Leader {
	l := o.d.follower.Leader()
	return operator.Leader{Host: l.Host, Term: l.Term, Since: l.Since}
}

func (o *operatorAdapter) replicas(ctx context.Context) ([]operator.Replica, error) {
	s, err := o.d.control.Status(ctx, 0)
	if err != nil {
		return nil, err
	}
	out := make([]operator.Replica, 0, len(s.Replicas))
	for _, m := range s.Replicas {
		r := operator.Replica{Host: m.Host, Learner: m.Learner, EntriesBehind: s.Commit - min(s.Commit, m.Match)}
		if o.d.Clock.Since(m.LastHeard) > maxReplicaSilence {
			r.SilentSince = m.LastHeard
		}
		out = append(out, r)
	}
	return out, nil
}
