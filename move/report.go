package move

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"wasabirelay/control"
)

// reportInterval is how often a host sends its evidence for running moves, so that a
// fault is found within 3 s.
const reportInterval = 500 * time.Millisecond

// Run sends the evidence of this host at intervals until ctx ends. Evidence that
// could not be sent is dropped: what it shows, the next seconds show as well.
func (c *Collector) Run(ctx context.Context, clock clockwork.Clock, view func() *control.View, send func([]Report) error, failed func(error)) {
	ticker := clock.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		reports, err := c.Take(view())
		if err == nil && len(reports) > 0 {
			err = send(reports)
		}
		if err != nil && ctx.Err() == nil {
			failed(err)
		}
	}
}
