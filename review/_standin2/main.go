// Command standin2 plays the cases of the second review that are scripts. It starts the programs of the deploy file as
// separate processes and stands in for searchers, consumers, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

// scenario is one case. trouble is false if the disruption is left out.
type scenario func(r *recorder, program, dir string, trouble bool) (int, error)

var scenarios = map[string]scenario{"first-start": firstStart, "first-start-without-one": startWithoutOne, "broken-off": brokenOff, "reset-on-the-way": resetOnTheWay}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return notRun
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return notRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	r := &recorder{out: out, start: time.Now()}
	code, err := play(r, program, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	r.line("result: %s", [...]string{"the rule held", "the rule was broken"}[code])
	return code
}
