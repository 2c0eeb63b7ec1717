package node

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/journal"
	"wasabirelay/registry"
)

const (
	// saveInterval is how often the table of targets is saved if it has changed. After
	// a power loss, targets of the last seconds announce themselves again.
	saveInterval = time.Second
	// restoredFor is how long a saved target counts without a new heartbeat: some
	// heartbeats, and less than the time in which a host that has just started may
	// lack knowledge of targets that left.
	restoredFor = 3 * time.Second
)

// targetsFile holds the table of targets in the data folder.
const targetsFile = "targets"

// restoreTargets takes the table of targets that an earlier run has saved. Without it,
// hosts that restarted as well would have no targets until the next heartbeats.
func (c *Control) restoreTargets() {
	records, err := loadTargets(c.Settings.Data)
	if err != nil {
		c.Log.Warn().Err(err).Msg("saved targets not read, they announce themselves again")
		return
	}
	c.hub.Restore(records, restoredFor)
}

// loadTargets reads the saved table; it is empty if there is none.
func loadTargets(dir string) ([]registry.Record, error) {
	text, err := journal.ReadChecked(filepath.Join(dir, targetsFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read targets")
	}
	var records []registry.Record
	return records, errors.Wrap(json.Unmarshal(text, &records), "decode targets")
}

// storeTargets replaces the saved table.
func storeTargets(dir string, records []registry.Record) error {
	text, err := json.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encode targets")
	}
	return journal.WriteChecked(filepath.Join(dir, targetsFile), append(text, '\n'))
}

// saveTargets saves the table of targets when it has changed.
func (c *Control) saveTargets(ctx context.Context) error {
	ticker := c.Clock.NewTicker(saveInterval)
	defer ticker.Stop()
	saved := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		records, revision := c.hub.Records()
		if revision == saved {
			continue
		}
		if err := storeTargets(c.Settings.Data, records); err != nil {
			c.Log.Warn().Err(err).Msg("targets not saved, after a restart they announce themselves again")
			continue
		}
		saved = revision
	}
}
