// Command bench measures wasabirelay. It writes each figure as one line of JSON.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"wasabirelay/bench"
)

type options struct {
	Bin     string  `help:"Directory of the programs." required:"" type:"existingdir"`
	Control control `cmd:"" help:"Measure the control plane."`
	Query   query   `cmd:"" help:"Measure query traffic."`
	Slopes  slopes  `cmd:"" help:"Measure the cost of each additional target, host and connection."`
}

type control struct {
	Sizes []int `help:"Numbers of hosts." default:"3,7,30,100,300"`
}

// Run implements the command.
func (c *control) Run(o *options) error {
	return (&bench.Control{Bin: o.Bin, Sizes: c.Sizes, Out: os.Stdout}).Run(context.Background())
}

type query struct {
	Shapes []string      `help:"Workloads: order-desk, siparis-masasi." default:"order-desk,siparis-masasi"`
	Phases []string      `help:"Phases to run after those with healthy searchers." default:"straggler,restart,lost,overload,doubled"`
	Length time.Duration `help:"Duration of one phase." default:"3s"`
	Report string        `help:"Directory of the table and the plots." default:"report"`
	Seed   uint64        `help:"Seed of the request schedules." default:"1"`
}

// Run implements the command.
func (q *query) Run(o *options) error {
	return (&bench.Query{
		Bin: o.Bin, Shapes: q.Shapes, Phases: q.Phases, Length: q.Length, Report: q.Report, Seed: q.Seed, Out: os.Stdout, Log: os.Stderr,
	}).Run(context.Background())
}

type slopes struct{}

// Run implements the command.
func (*slopes) Run(*options) error {
	return (&bench.Slopes{Out: os.Stdout}).Run(context.Background())
}

func main() {
	var o options
	k := kong.Parse(&o, kong.Description("Measures wasabirelay with real processes on this machine."))
	if err := k.Run(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
