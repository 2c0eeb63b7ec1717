package daemon

import (
	"context"
	"time"

	"wasabirelay/answer"
	"wasabirelay/control"
	"wasabirelay/move"
	"wasabirelay/quorum"
)

// recordEvidence counts the outcome of a sub-request as evidence for a running move of its
// service.
func (d *Daemon) recordEvidence(_ time.Time, t *control.Target, route string, latency time.Duration, o answer.Outcome) {
	d.evidence.Observe(d.follower.View(), t, route, latency, o)
}

// reportEvidence sends the evidence for running moves to the leader until ctx ends.
func (d *Daemon) reportEvidence(ctx context.Context) error {
	d.evidence.Run(ctx, d.Clock, d.follower.View, func(reports []move.Report) error {
		return d.control.SendEvidence(ctx, quorum.Evidence{Host: d.Settings.Host, Reports: reports})
	}, func(err error) { d.Log.Warn().Err(err).Msg("failed to send the evidence for moves") })
	return nil
}
