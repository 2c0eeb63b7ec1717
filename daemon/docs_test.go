package daemon_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabirelay/inventory"
	"wasabirelay/settings"
)

// block returns the first block of a page that is marked as JSON with comments.
func block(t *testing.T, page string) []byte {
	t.Helper()
	text, err := os.ReadFile("../docs/" + page)
	if err != nil {
		t.Fatal(err)
	}
	_, after, ok := strings.Cut(string(text), "```jsonc\n")
	if !ok {
		t.Fatalf("%s has no jsonc block", page)
	}
	out, _, _ := strings.Cut(after, "```")
	return []byte(out)
}

// Guards against examples on the pages that the programs refuse.
func TestExamplesOfThePages(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("OPERATIONS.md", block(t, "OPERATIONS.md"))
	is.NoErr(err)
	_, err = inventory.Parse("design.md", block(t, "design.md"))
	is.NoErr(err)
}
