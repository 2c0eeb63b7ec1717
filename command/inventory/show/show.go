// Package show is the command "inventory show".
package show

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"wasabirelay/command/factory"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	JSON bool `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
func (o *Options) Help() string {
	return `Prints the document as it was written, comments included, and its version on the error stream.

Examples:
  wasabirelay inventory show >inventory.jsonc
  wasabirelay inventory show --json`
}

// Run prints the inventory.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	got, err := c.Inventory(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(got)
	}
	o.Say("version %d", got.Version)
	_, err = io.WriteString(o.Out, got.Text)
	return errors.Wrap(err, "print")
}
