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

// groupFile holds the bootstrap members of the group, one per line. Their hash identifies
// the group. Entry hosts compare it, so that a new group that was bootstrapped after all
// disks were lost never replaces the state of the old group.
const groupFile = "group"

// groupID returns the identifier of the group with these bootstrap members.
func groupID(members []string) string {
	h := xxhash.New()
	_, _ = h.WriteString(strings.Join(members, "\n"))
	return hex.EncodeToString(h.Sum(nil))
}

// readBootstrapMembers returns the bootstrap members of the group, or nil if there is no
// group yet.
func readBootstrapMembers(dir string) ([]string, error) {
	text, err := journal.ReadChecked(filepath.Join(dir, groupFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return strings.Fields(string(text)), errors.Wrap(err, "read group")
}

// writeBootstrapMembers makes the bootstrap members of the group durable. It is called before
// the first entry is logged, so that a log without bootstrap members is known to be damaged.
func writeBootstrapMembers(dir string, members []string) error {
	text := strings.Join(members, "\n") + "\n"
	return errors.Wrap(journal.WriteChecked(filepath.Join(dir, groupFile), []byte(text)), "write group")
}
