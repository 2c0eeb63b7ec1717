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

// saveCachedState saves the cached state whenever it has changed, until ctx is done.
func (c *Control) saveCachedState(ctx context.Context) error {
	ticker := c.Clock.NewTicker(saveInterval)
	defer ticker.Stop()
	var saved [3]uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if !c.hub.ChangedSince(saved) {
			continue
		}
		cached, revision := c.hub.CachedState()
		if err := writeCachedState(c.Settings.DataDir, cached); err != nil {
			c.Log.Warn().Err(err).Msg("failed to save the cached state; after a restart, this host must wait for targets, hosts and the log")
			continue
		}
		saved = revision
	}
}
