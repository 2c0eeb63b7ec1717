package quorum

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"wasabirelay/journal"
)

// groupFile holds the founders of the group, one a line. Their hash identifies the
// group. Entry hosts compare it, so that a new group, founded after all disks were
// lost, never replaces the state of the old one.
const groupFile = "group"

// groupOf returns the identity of the group that the members founded.
func groupOf(founders []string) string {
	h := xxhash.New()
	_, _ = h.WriteString(strings.Join(founders, "\n"))
	return hex.EncodeToString(h.Sum(nil))
}

// readFounders returns the founders of the group, or nil before there is one.
func readFounders(dir string) ([]string, error) {
	text, err := journal.ReadChecked(filepath.Join(dir, groupFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return strings.Fields(string(text)), errors.Wrap(err, "read group")
}

// writeFounders makes the founders of the group durable. It comes before the first
// entry of the log, so that a log without them is known to be damaged.
func writeFounders(dir string, founders []string) error {
	text := strings.Join(founders, "\n") + "\n"
	return errors.Wrap(journal.WriteChecked(filepath.Join(dir, groupFile), []byte(text)), "write group")
}
