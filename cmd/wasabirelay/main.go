// Command wasabirelay is the command line for operators and callers.
package main

import (
	"os"

	"wasabirelay/command/factory"
	"wasabirelay/command/root"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := factory.Interruptible()
	defer stop()
	var addresses factory.Addresses
	return root.Run(ctx, factory.New(&addresses), &addresses, os.Args[1:])
}
