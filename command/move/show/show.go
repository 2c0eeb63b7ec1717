// Package show implements the command "move show".
package show

import (
	"context"

	"wasabirelay/command/factory"
	"wasabirelay/command/move/list"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Service string `arg:"" help:"Service whose move to show."`
	JSON    bool   `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the examples that --help prints.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay move show order-desk
  wasabirelay move show order-desk --json`
}

// Run prints the move.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	m, err := c.Move(ctx, o.Service)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(m)
	}
	return o.Table(list.Heading, [][]string{list.Row(m)})
}
