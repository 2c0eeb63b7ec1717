package node

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/exchange"
	"wasabirelay/journal"
)

const (
	// maxSaveWait bounds how long the acknowledgement of a target that leaves waits for the disk.
	// Targets time out after one second.
	maxSaveWait = 400 * time.Millisecond
	// maxSaveRequests is the number of requests to save the cached state that may wait.
	maxSaveRequests = 64
	// saveInterval is how often the cached state is saved if it has changed. What is missing
	// after a loss of power arrives again in heartbeats or from the replicated log.
	saveInterval = time.Second
	// restoredTargetTTL is how long a restored target counts without a new heartbeat: the time
	// of several heartbeats, and less than the time during which a host that has just started
	// may not know of targets that left.
	restoredTargetTTL = 3 * time.Second
)

// cachedStateFile is the file in the data directory that holds the targets and hosts that this
// host knows, and the control state in force. The log holds the control state too, but does
// not record up to which entry it is committed.
const cachedStateFile = "known"

// restoreCachedState restores the state that an earlier run saved.
func (c *Control) restoreCachedState() {
	cached, err := loadCachedState(c.Settings.DataDir)
	if err != nil {
		c.Log.Warn().Err(err).Msg("failed to read the cached state; waiting for targets, hosts and the log instead")
		return
	}
	if cached != nil {
		c.hub.Restore(cached, restoredTargetTTL)
		c.Log.Info().Int("targets", len(cached.Targets)).Int("hosts", len(cached.Hosts)).Uint64("revision", cached.RoutingState.Revision).
			Uint64("routing", cached.RoutingState.Routing.Version).Msg("cached state restored")
	}
}

// loadCachedState reads the cached state from dir. It returns nil if there is none.
func loadCachedState(dir string) (*exchange.CachedState, error) {
	text, err := journal.ReadChecked(filepath.Join(dir, cachedStateFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read cached state")
	}
	cached := &exchange.CachedState{}
	return cached, errors.Wrap(json.Unmarshal(text, cached), "decode cached state")
}

// writeCachedState replaces the cached state in dir.
func writeCachedState(dir string, cached *exchange.CachedState) error {
	text, err := json.Marshal(cached)
	if err != nil {
		return errors.Wrap(err, "encode cached state")
	}
	return journal.WriteChecked(filepath.Join(dir, cachedStateFile), append(text, '\n'))
}

// saveRequest is closed once the cached state has been saved or could not be saved.
type saveRequest chan struct{}

// awaitSave waits until the cached state has been saved, for maxSaveWait at most. A target that
// leaves is acknowledged after that: otherwise a restart could bring it back.
func (c *Control) awaitSave() {
	saved := make(saveRequest)
	timeout := c.Clock.NewTimer(maxSaveWait)
	defer timeout.Stop()
	select {
	case c.saves <- saved:
	case <-timeout.Chan():
		return
	}
	select {
	case <-saved:
	case <-timeout.Chan():
		c.Log.Warn().Dur("after", maxSaveWait).Msg("acknowledging a target that leaves before the cached state is saved")
	}
}

// saveCachedState saves the cached state on request and whenever it has changed, until ctx is
// done.
func (c *Control) saveCachedState(ctx context.Context) error {
	ticker := c.Clock.NewTicker(saveInterval)
	defer ticker.Stop()
	var saved [3]uint64
	for {
		var waiting []saveRequest
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		case first := <-c.saves:
			waiting = append(waiting, first)
		}
		for range len(c.saves) { // one write serves all that wait
			waiting = append(waiting, <-c.saves)
		}
		if c.hub.ChangedSince(saved) {
			cached, revision := c.hub.CachedState()
			if err := writeCachedState(c.Settings.DataDir, cached); err != nil {
				c.Log.Warn().Err(err).Msg("failed to save the cached state; after a restart, this host must wait for targets, hosts and the log")
			} else {
				saved = revision
			}
		}
		for _, request := range waiting {
			close(request)
		}
	}
}
