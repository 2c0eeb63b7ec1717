package main

import (
	"bytes"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testsUnderList = `package a

import "testing"

func TestA(t *testing.T) {
	for _, name := range []string{"good", "bad (one)", "bad (one) too"} {
		t.Run(name, func(t *testing.T) {
			if name == "bad (one)" {
				t.Error("red")
			}
		})
	}
}

func TestAB(*testing.T) {}

func TestRed(t *testing.T) { t.Error("red") }
`

// writeRepository writes a module with tests and a list of entries.
func writeRepository(t *testing.T, list string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for name, text := range map[string]string{"go.mod": "module a\n\ngo 1.26\n", "a_test.go": testsUnderList, listName: list} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Guards against a listed subtest that takes its siblings with it, and against tests that are skipped because their names
// begin like a listed one.
func TestOnlyListedTestsAreSkipped(t *testing.T) {
	is := is.New(t)
	dir := writeRepository(t, "test: TestA/bad_(one)\ncommand: go test\ntest: TestRed\ntest: soak-7\ncommand: bin/soak x\n")
	var out, log bytes.Buffer
	is.NoErr(run(t.Context(), dir, &out, &log))
	is.Equal(log.String(), "skipped, see KNOWN-RED.txt:\nTestA/bad_(one)\nTestRed\nlisted there too, run by hand only:\nsoak-7\n")
	c := exec.Command("go", "test", "-v", "-skip", strings.TrimSpace(out.String()), ".")
	c.Dir = dir
	text, err := c.CombinedOutput()
	is.NoErr(err)
	for _, name := range []string{"TestA/good ", "TestA/bad_(one)_too ", "TestAB ", "TestA "} {
		is.True(strings.Contains(string(text), "--- PASS: "+name))
	}
	is.True(!strings.Contains(string(text), "bad_(one) "))
	is.True(!strings.Contains(string(text), "TestRed"))
}

// Guards against an entry that guards nothing because it names no test.
func TestUnknownEntryIsRefused(t *testing.T) {
	for _, tt := range []struct{ name, list, want string }{
		{"misspelt test", "test: TestRde", "there is no function TestRde"},
		{"misspelt subtest", "test: TestA/bad_(on)", "TestA has no such subtest"},
		{"misspelt part of the review", "test: review-7", "review/7/run.sh"},
		{"seed without its command", "test: soak-7", "not a test of Go"},
		{"nothing known", "test: Tset", "not a test of Go"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := run(t.Context(), writeRepository(t, tt.list+"\n"), io.Discard, io.Discard)
			var e *EntryError
			is.True(errors.As(err, &e))
			is.True(strings.Contains(e.Error(), tt.want))
		})
	}
}
