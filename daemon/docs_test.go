package daemon_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabirelay/inventory"
	"wasabirelay/settings"
)

// firstJSONCBlock returns the first code block of a page that is marked as jsonc.
func firstJSONCBlock(t *testing.T, page string) []byte {
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

// Guards against examples in the documentation that the programs reject.
func TestDocumentationExamples(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("OPERATIONS.md", firstJSONCBlock(t, "OPERATIONS.md"))
	is.NoErr(err)
	_, err = inventory.Parse("design.md", firstJSONCBlock(t, "design.md"))
	is.NoErr(err)
}
