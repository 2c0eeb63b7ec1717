package journal

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// WriteFile replaces a file as a whole. It returns once the file and its name are
// durable; after a failure the old file is still there.
func WriteFile(name string, data []byte) error {
	f, err := os.Create(name + ".tmp")
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	_, err = f.Write(data)
	for _, step := range []func() error{f.Sync, f.Close} {
		if stepErr := step(); err == nil {
			err = stepErr
		}
	}
	if err != nil {
		return errors.Wrap(err, "write file")
	}
	if err := os.Rename(name+".tmp", name); err != nil {
		return errors.Wrap(err, "rename file")
	}
	folder, err := os.Open(filepath.Dir(name))
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync folder")
}
