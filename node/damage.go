package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"wasabirelay/journal"
)

// damagedPrefix begins the name of a directory with damaged control state, which is kept for
// an operator to inspect.
const damagedPrefix = "damaged-"

// setAside moves all files of the data directory into a new subdirectory and deletes the
// subdirectories of earlier calls, so that repeated damage does not fill the disk.
func setAside(dir string, start int64) (aside string, err error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return "", errors.Wrap(err, "list data directory")
	}
	aside = filepath.Join(dir, fmt.Sprint(damagedPrefix, start))
	if err := os.Mkdir(aside, 0o700); err != nil {
		return "", errors.Wrap(err, "create directory")
	}
	for _, f := range files {
		path := filepath.Join(dir, f.Name())
		if strings.HasPrefix(f.Name(), damagedPrefix) {
			err = os.RemoveAll(path)
		} else {
			err = os.Rename(path, filepath.Join(aside, f.Name()))
		}
		if err != nil {
			return "", errors.Wrap(err, "move "+f.Name())
		}
	}
	return aside, journal.SyncDirectory(dir)
}
