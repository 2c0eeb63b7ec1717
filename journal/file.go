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

// sumPrefix begins the last line of a file with a checksum, which holds the xxhash of
// all lines before it.
const sumPrefix = "xxhash "

// WriteChecked replaces a text file as a whole and adds a line with a checksum. It returns
// once the file and its name are durable; after a failure the old file is still there.
func WriteChecked(name string, text []byte) error {
	folder, err := os.Open(filepath.Dir(name))
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer folder.Close()
	return replaceFile(name, withSum(text), folder, (*os.File).Sync)
}

func withSum(text []byte) []byte {
	return fmt.Appendf(slices.Clip(text), "%s%016x\n", sumPrefix, xxhash.Sum64(text))
}

// ReadChecked reads a file that WriteChecked has written. The errors are those of the
// file system and a *CorruptError.
func ReadChecked(name string) ([]byte, error) {
	all, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	at := bytes.LastIndex(all, []byte(sumPrefix))
	if at < 0 || !bytes.Equal(withSum(all[:at]), all) {
		return nil, &CorruptError{File: name, Reason: "the checksum is missing or does not match"}
	}
	return all[:at], nil
}

// SyncDirectory makes the names in a folder durable.
func SyncDirectory(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync folder")
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
