// Package show is the command "move show".
package show

import (
	"context"

	"wasabirelay/command/factory"
	"wasabirelay/command/move/list"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	Service string `arg:"" help:"Service whose move is shown."`
	JSON    bool   `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
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
