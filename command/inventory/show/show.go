// Package show implements the command "inventory show".
package show

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"wasabirelay/command/factory"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	JSON bool `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the description and the examples that --help prints.
func (o *Options) Help() string {
	return `Print the document as it was applied, comments included. Its version goes to standard error.

Examples:
  wasabirelay inventory show >inventory.jsonc
  wasabirelay inventory show --json`
}

// Run prints the inventory in force.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	response, err := c.Inventory(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(response)
	}
	o.Infof("version %d", response.Version)
	_, err = io.WriteString(o.Out, response.Text)
	return errors.Wrap(err, "print")
}
