package daemon

import (
	"context"
	"time"

	"wasabirelay/answer"
	"wasabirelay/control"
	"wasabirelay/move"
	"wasabirelay/quorum"
)

// observe counts the outcome of a sub-request for a running move of its service.
func (d *Daemon) observe(_ time.Time, t *control.Target, route string, latency time.Duration, o answer.Outcome) {
	d.evidence.Observe(d.follower.View(), t, route, latency, o)
}

// report sends the evidence for the running moves to the leader.
func (d *Daemon) report(ctx context.Context) error {
	d.evidence.Run(ctx, d.Clock, d.follower.View, func(reports []move.Report) error {
		return d.control.SendEvidence(ctx, quorum.Evidence{Host: d.Settings.Host, Reports: reports})
	}, func(err error) { d.Log.Warn().Err(err).Msg("evidence for moves not sent") })
	return nil
}
