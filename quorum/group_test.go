package quorum

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/journal"
)

// Guards against a flipped bit in the list of founders: the host would belong to a group
// of its own, and no other would speak to it.
func TestFoundersFlip(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	want := []string{"a/1", "b/2"}
	is.NoErr(writeFounders(dir, want))
	got, err := readFounders(dir)
	is.NoErr(err)
	is.Equal(got, want)
	path := filepath.Join(dir, groupFile)
	b, err := os.ReadFile(path)
	is.NoErr(err)
	for at := range len(b) * 8 {
		b[at/8] ^= 1 << (at % 8)
		is.NoErr(os.WriteFile(path, b, 0o600))
		if _, err := readFounders(dir); !errors.As(err, new(*journal.CorruptError)) {
			t.Fatalf("bit %d: %v", at, err)
		}
		b[at/8] ^= 1 << (at % 8)
	}
}
