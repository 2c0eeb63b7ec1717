package journal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// checksumPrefix starts the last line of a file with a checksum. The line holds the xxhash64
// of all lines before it.
const checksumPrefix = "xxhash "

// WriteChecked replaces a text file atomically and adds a line with a checksum. It returns
// once the file and its name are durable. After a failure to write, the old file is unchanged.
func WriteChecked(name string, text []byte) error {
	directory, err := os.Open(filepath.Dir(name))
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	defer directory.Close()
	return replaceFile(name, withChecksum(text), directory, (*os.File).Sync)
}

func withChecksum(text []byte) []byte {
	return fmt.Appendf(slices.Clip(text), "%s%016x\n", checksumPrefix, xxhash.Sum64(text))
}

// ReadChecked reads a file that was written by WriteChecked and returns its text without the
// checksum. The errors are *CorruptError and those of the file system.
func ReadChecked(name string) ([]byte, error) {
	all, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	end := bytes.LastIndex(all, []byte(checksumPrefix))
	if end < 0 || !bytes.Equal(withChecksum(all[:end]), all) {
		return nil, &CorruptError{File: name, Reason: "the checksum is missing or does not match"}
	}
	return all[:end], nil
}

// SyncDirectory makes the names in a directory durable.
func SyncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "sync directory")
}

// replaceFile writes a file under a temporary name and renames it, so that after a
// crash it is either complete or as before.
func replaceFile(path string, content []byte, directory *os.File, sync func(*os.File) error) error {
	if err := writeSynced(path+temporarySuffix, content, sync); err != nil {
		return err
	}
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return errors.Wrap(err, "rename")
	}
	return errors.Wrap(sync(directory), "sync directory")
}

// writeSynced writes and syncs a file.
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
