// Command knownred prints the pattern with which go test skips the tests that KNOWN-RED.txt lists, and on standard error
// their names. It fails if an entry names nothing that exists, so that no misspelt or outdated entry is kept. Subtests of the
// list are run for that; their results don't count.
package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// listName is the name of the list, at the root of the repository.
const listName = "KNOWN-RED.txt"

// tags are the build tags of tests that run apart from the others.
const tags = "crowd"

// subtestTimeout bounds how long a listed subtest runs, as go test takes it.
const subtestTimeout = "2m"

// entry is a test of the list.
type entry struct{ name, command string }

// EntryError reports an entry of the list that names nothing that exists.
type EntryError struct{ Name, Reason string }

// Error returns the name and the reason.
func (e *EntryError) Error() string {
	return fmt.Sprintf("%s: test %q: %s", listName, e.Name, e.Reason)
}

func main() {
	if err := run(context.Background(), ".", os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the pattern and the names for the repository in the directory.
func run(ctx context.Context, dir string, out, log io.Writer) error {
	entries, err := readList(filepath.Join(dir, listName))
	if err != nil {
		return err
	}
	tests, err := findTests(dir)
	if err != nil {
		return err
	}
	var skipped, byHand []string
	for _, e := range entries {
		if !strings.HasPrefix(e.name, "Test") {
			if err := checkByHand(dir, e); err != nil {
				return err
			}
			byHand = append(byHand, e.name)
			continue
		}
		if err := checkTest(ctx, dir, e.name, tests); err != nil {
			return err
		}
		skipped = append(skipped, e.name)
	}
	printNames(log, "skipped, see "+listName+":", skipped)
	printNames(log, "listed there too, run by hand only:", byHand)
	_, err = fmt.Fprintln(out, pattern(skipped))
	return err
}

func printNames(log io.Writer, title string, names []string) {
	if len(names) > 0 {
		fmt.Fprintln(log, title+"\n"+strings.Join(names, "\n"))
	}
}

// readList reads the names and the commands of the list.
func readList(path string) ([]entry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var entries []entry
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		key, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimSpace(value)
		switch {
		case key == "test":
			entries = append(entries, entry{name: value})
		case key == "command" && len(entries) > 0:
			entries[len(entries)-1].command = value
		}
	}
	return entries, lines.Err()
}

// findTests returns the directories of the packages that have the top-level tests.
func findTests(dir string) (map[string][]string, error) {
	tests := map[string][]string{}
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != dir && strings.ContainsAny(d.Name()[:1], "._"):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
				tests[f.Name.Name] = append(tests[f.Name.Name], filepath.Dir(path))
			}
		}
		return nil
	})
	return tests, errors.WithStack(err)
}

// checkByHand checks an entry that is no test of Go: a case of the review or a seed of the soak.
func checkByHand(dir string, e entry) error {
	if number, ok := strings.CutPrefix(e.name, "review-"); ok {
		if _, err := os.Stat(filepath.Join(dir, "review", number, "run.sh")); err != nil {
			return &EntryError{e.name, err.Error()}
		}
		return nil
	}
	if strings.HasPrefix(e.name, "soak-") && strings.HasPrefix(e.command, "bin/soak ") {
		return nil
	}
	return &EntryError{e.name, "not a test of Go, a case of review/, or a seed of bin/soak"}
}

// checkTest checks that the test exists.
func checkTest(ctx context.Context, dir, name string, tests map[string][]string) error {
	top, _, isSubtest := strings.Cut(name, "/")
	dirs := tests[top]
	if len(dirs) == 0 {
		return &EntryError{name, "there is no function " + top}
	}
	if !isSubtest {
		return nil
	}
	for _, d := range dirs {
		path, err := filepath.Rel(dir, d)
		if err != nil {
			return errors.WithStack(err)
		}
		c := exec.CommandContext(ctx, "go", "test", "-v", "-count=1", "-tags", tags, "-timeout", subtestTimeout, "-run", pattern([]string{name}), "./"+path) //nolint:gosec // names of this repository
		c.Dir = dir
		out, err := c.CombinedOutput()
		if slices.Contains(strings.Fields(string(out)), name) {
			return nil
		}
		if err != nil {
			return &EntryError{name, fmt.Sprintf("it can't be looked up in %s: %v\n%s", path, err, out)}
		}
	}
	return &EntryError{name, fmt.Sprintf("%s has no such subtest; go test -v -run '^%s$' prints their names", top, top)}
}

// pattern returns what go test matches with exactly the tests, each part of a name by itself.
func pattern(names []string) string {
	names = slices.Clone(names)
	// Of several parts of a pattern, go test uses the first one that matches, and one of a subtest also matches its test.
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(strings.Count(a, "/"), strings.Count(b, "/")) })
	for i, name := range names {
		parts := strings.Split(name, "/")
		for j, part := range parts {
			parts[j] = "^" + regexp.QuoteMeta(part) + "$"
		}
		names[i] = strings.Join(parts, "/")
	}
	return strings.Join(names, "|")
}
