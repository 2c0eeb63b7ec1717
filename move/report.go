package move

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"wasabirelay/control"
)

// reportInterval is the interval at which a host sends its evidence for running moves. It
// is short enough to find a fault within 3 s.
const reportInterval = 500 * time.Millisecond

// Run sends the evidence of this host every reportInterval until ctx ends. Evidence that
// could not be sent is dropped, because later reports show the same faults.
func (c *Collector) Run(ctx context.Context, clock clockwork.Clock, view func() *control.View, send func([]Report) error, onError func(error)) {
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
			onError(err)
		}
	}
}
