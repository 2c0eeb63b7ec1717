package journal

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// WriteFile replaces a file as a whole. It returns once the file and its name are
// durable; after a failure the old file is still there.
func WriteFile(name string, data []byte) error {
	folder, err := os.Open(filepath.Dir(name))
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer folder.Close()
	return replaceFile(name, data, folder, (*os.File).Sync)
}

// replaceFile writes a file under a temporary name and renames it, so that after a
// crash it is either complete or as before.
func replaceFile(path string, content []byte, folder *os.File, sync func(*os.File) error) error {
	if err := writeSynced(path+temporary, content, sync); err != nil {
		return err
	}
	if err := os.Rename(path+temporary, path); err != nil {
		return errors.Wrap(err, "rename")
	}
	return errors.Wrap(sync(folder), "sync folder")
}

func writeSynced(path string, content []byte, sync func(*os.File) error) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return err
	}
	return sync(file)
}
