// Command soak injects faults into a deployment on loopback and checks its guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"wasabirelay/soak"
)

type options struct {
	Program       string        `arg:"" help:"Path of wasabirelay-node." type:"existingfile"`
	First         uint64        `help:"First seed." default:"1"`
	Seeds         int           `help:"Number of seeds to run." default:"1"`
	Length        time.Duration `help:"How long faults are injected per seed." default:"20s"`
	Control       int           `help:"Number of control hosts." default:"3"`
	Entry         int           `help:"Number of entry hosts." default:"3"`
	Replace       bool          `help:"Also replace control hosts by others; the other faults of a seed differ then."`
	Stutter       bool          `help:"Also make targets repeat, break off and fail replies; callers leave early, pipeline and send bodies slowly."`
	Organisations bool          `help:"Also put organisations into the documents, send requests with keys, and report usage."`
	DisturbStart  bool          `help:"Also kill, pause and lose control hosts while the deployment starts for the first time."`
	Only          string        `help:"Inject only faults whose names contain this, and those of --stutter."`
	Quiet         bool          `help:"Inject no other faults."`
	Head          float64       `help:"Share of HEAD among the requests to one service that may run more than once; needs --stutter."`
	Spoilt        float64       `help:"Share of spoilt heads among the replies that come once and whole; needs --stutter."`
	Pause         time.Duration `help:"Pause between the requests of a caller." default:"5ms"`
	Jobs          int           `help:"Number of seeds that run at the same time." default:"1"`
	Dir           string        `help:"Directory for data and logs; those of seeds without a violation are removed." default:"tmp/soak"`
	Causes        bool          `help:"Print which runs the requests had that got a mixed answer, 502 or 504."`
	Verbose       bool          `help:"Print each fault as it is injected."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Inject faults into a deployment on loopback and check its guarantees."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if failed := run(ctx, &o); failed > 0 {
		fmt.Fprintf(os.Stderr, "%d seeds failed\n", failed)
		os.Exit(1)
	}
}

// run runs all seeds and returns how many failed.
func run(ctx context.Context, o *options) int {
	seeds := make(chan uint64)
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	for range max(1, o.Jobs) {
		wg.Go(func() {
			for seed := range seeds {
				text, ok := runSeed(ctx, o, seed)
				mu.Lock()
				fmt.Println(text)
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for i := range o.Seeds {
		if ctx.Err() == nil {
			seeds <- o.First + uint64(i)
		}
	}
	close(seeds)
	wg.Wait()
	return failed
}

func runSeed(ctx context.Context, o *options, seed uint64) (text string, ok bool) {
	summary := func(report *soak.Report) string {
		if !o.Causes {
			return report.String()
		}
		return strings.Join(append([]string{report.String()}, report.Causes...), "\n  ")
	}
	r := &soak.Run{Seed: seed, Duration: o.Length, ControlHosts: o.Control, EntryHosts: o.Entry, Replacements: o.Replace, Stutter: o.Stutter, Organisations: o.Organisations, DisturbStart: o.DisturbStart, Only: o.Only, Quiet: o.Quiet, HeadShare: o.Head, SpoiltShare: o.Spoilt, CallPause: o.Pause, Program: o.Program, Dir: o.Dir, Logf: func(format string, args ...any) {
		if o.Verbose {
			fmt.Printf(time.Now().Format("15:04:05.000 ")+format+"\n", args...)
		}
	}}
	report, err := r.Do(ctx)
	switch {
	case err != nil:
		return fmt.Sprintf("seed %d: failed to run: %v", seed, err), false
	case len(report.Violations) > 0:
		return summary(report), false
	}
	if err := os.RemoveAll(r.Directory()); err != nil {
		return err.Error(), false
	}
	return summary(report), true
}
