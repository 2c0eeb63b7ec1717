// Command bench measures wasabirelay. Each line of its output is a figure.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"wasabirelay/bench"
)

type options struct {
	Bin     string  `help:"Folder of the programs." required:"" type:"existingdir"`
	Control control `cmd:"" help:"Measure the control plane."`
}

type control struct {
	Sizes []int `help:"Numbers of hosts." default:"3,7,30,100,300"`
}

// Run implements the command.
func (c *control) Run(o *options) error {
	return (&bench.Control{Bin: o.Bin, Sizes: c.Sizes, Out: os.Stdout}).Run(context.Background())
}

func main() {
	var o options
	k := kong.Parse(&o, kong.Description("Measures wasabirelay with real processes on this machine."))
	if err := k.Run(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
