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
	// saveInterval is how often what a control host knows is saved if it has changed. After
	// a loss of power, what is missing is heard again, or comes from the replicated log.
	saveInterval = time.Second
	// restoredFor is how long a saved target counts without a new heartbeat: some
	// heartbeats, and less than the time in which a host that has just started may
	// lack knowledge of targets that left.
	restoredFor = 3 * time.Second
)

// knownFile holds what is known of targets and hosts, and the control state in force, in
// the data folder. The log holds the latter too, but not up to where it is committed.
const knownFile = "known"

// restoreKnown takes what an earlier run has saved.
func (c *Control) restoreKnown() {
	known, err := loadKnown(c.Settings.DataDir)
	if err != nil {
		c.Log.Warn().Err(err).Msg("saved knowledge not read: waiting for targets, hosts and the log")
		return
	}
	if known != nil {
		c.hub.Restore(known, restoredFor)
		c.Log.Info().Int("targets", len(known.Targets)).Int("hosts", len(known.Hosts)).Uint64("revision", known.RoutingState.Revision).
			Uint64("routing", known.RoutingState.Routing.Version).Msg("saved knowledge restored")
	}
}

// loadKnown reads the file; it returns nil if there is none.
func loadKnown(dir string) (*exchange.CachedState, error) {
	text, err := journal.ReadChecked(filepath.Join(dir, knownFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read saved knowledge")
	}
	known := &exchange.CachedState{}
	return known, errors.Wrap(json.Unmarshal(text, known), "decode saved knowledge")
}

// storeKnown replaces the file.
func storeKnown(dir string, known *exchange.CachedState) error {
	text, err := json.Marshal(known)
	if err != nil {
		return errors.Wrap(err, "encode knowledge")
	}
	return journal.WriteChecked(filepath.Join(dir, knownFile), append(text, '\n'))
}

// saveKnown saves what this host knows when it has changed.
func (c *Control) saveKnown(ctx context.Context) error {
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
		known, revision := c.hub.CachedState()
		if err := storeKnown(c.Settings.DataDir, known); err != nil {
			c.Log.Warn().Err(err).Msg("knowledge not saved: after a restart, targets, hosts and the log are waited for")
			continue
		}
		saved = revision
	}
}
