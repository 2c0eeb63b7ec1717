package daemon

import (
	"context"
	"time"

	"wasabirelay/answer"
	"wasabirelay/control"
	"wasabirelay/quorum"
)

// evidenceInterval is how often a host sends its evidence for running moves, so
// that a fault is found within 3 s.
const evidenceInterval = 500 * time.Millisecond

// observe counts the outcome of a sub-request for a running move of its service.
func (d *Daemon) observe(_ time.Time, t *control.Target, route string, latency time.Duration, o answer.Outcome) {
	d.evidence.Observe(d.follower.View(), t, route, latency, o)
}

// report sends the evidence for the running moves to the leader. Evidence that
// could not be sent is dropped: what it shows, the next seconds show as well.
func (d *Daemon) report(ctx context.Context) error {
	ticker := d.Clock.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		reports, err := d.evidence.Take(d.follower.View())
		if err == nil && len(reports) > 0 {
			err = d.control.Evidence(ctx, quorum.Evidence{Host: d.Settings.Host, Reports: reports})
		}
		if err != nil && ctx.Err() == nil {
			d.Log.Warn().Err(err).Msg("evidence for moves not sent")
		}
	}
}
