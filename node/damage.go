package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"wasabirelay/journal"
)

// asidePrefix begins the name of a folder with damaged control state, which is kept for
// an operator.
const asidePrefix = "damaged-"

// setAside moves all files of the data folder into a new folder within it, and removes
// what was set aside before, so that repeated damage does not fill the disk.
func setAside(dir string, start int64) (aside string, err error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return "", errors.Wrap(err, "list data folder")
	}
	aside = filepath.Join(dir, fmt.Sprint(asidePrefix, start))
	if err := os.Mkdir(aside, 0o700); err != nil {
		return "", errors.Wrap(err, "create folder")
	}
	for _, f := range files {
		path := filepath.Join(dir, f.Name())
		if strings.HasPrefix(f.Name(), asidePrefix) {
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
