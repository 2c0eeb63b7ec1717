// Package apply implements the command "inventory apply".
package apply

import (
	"context"

	"github.com/pkg/errors"

	"wasabirelay/client"
	"wasabirelay/command/factory"
	"wasabirelay/inventory"
	"wasabirelay/operator"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	File string  `arg:"" help:"File with the document; - reads standard input." predictor:"file"`
	Base *uint64 `help:"Version of the inventory that the file is based on, from 'inventory show'; 0 for the first document." placeholder:"VERSION"`
	Commit
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the examples that --help prints.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay inventory show >inventory.jsonc      # prints the version, for example 12
  wasabirelay inventory apply inventory.jsonc --base 12`
}

// Run checks the document and applies it.
func (o *Options) Run(ctx context.Context) error {
	if o.Base == nil {
		return &factory.Error{
			Code: factory.Usage, Text: "--base is required, so that the document overwrites no other change",
			Next: "add --base with the version that 'wasabirelay inventory show' printed",
		}
	}
	text, err := o.ReadFile(o.File)
	if err != nil {
		return errors.Wrap(err, "read the document")
	}
	if _, err := inventory.Parse(o.File, text); err != nil {
		return factory.Explain(err, "")
	}
	return o.Send(o.Factory, func(c *client.Client, change string) (*operator.ChangeResponse, error) {
		return c.Apply(ctx, operator.ApplyRequest{Base: *o.Base, Change: change, Operator: o.User(), Text: string(text)}, o.Wait)
	})
}
