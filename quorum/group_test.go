package quorum

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/journal"
)

// Guards against an undetected bit flip in the list of bootstrap members: the host would
// belong to a group of its own, and no other host would accept its messages.
func TestBootstrapMembersBitFlip(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	want := []string{"a/1", "b/2"}
	is.NoErr(writeBootstrapMembers(dir, want))
	got, err := readBootstrapMembers(dir)
	is.NoErr(err)
	is.Equal(got, want)
	path := filepath.Join(dir, groupFile)
	b, err := os.ReadFile(path)
	is.NoErr(err)
	for at := range len(b) * 8 {
		b[at/8] ^= 1 << (at % 8)
		is.NoErr(os.WriteFile(path, b, 0o600))
		if _, err := readBootstrapMembers(dir); !errors.As(err, new(*journal.CorruptError)) {
			t.Fatalf("bit %d: %v", at, err)
		}
		b[at/8] ^= 1 << (at % 8)
	}
}
