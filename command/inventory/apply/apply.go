// Package apply is the command "inventory apply".
package apply

import (
	"context"

	"github.com/pkg/errors"

	"wasabirelay/client"
	"wasabirelay/command/factory"
	"wasabirelay/inventory"
	"wasabirelay/operator"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	File string  `arg:"" help:"File with the document; - for the input stream." predictor:"file"`
	Base *uint64 `help:"Version that the file is based on, from 'inventory show'; 0 for the first document." placeholder:"VERSION"`
	Commit
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay inventory show >inventory.jsonc      # prints the version, for example 12
  wasabirelay inventory apply inventory.jsonc --base 12`
}

// Run applies the document.
func (o *Options) Run(ctx context.Context) error {
	if o.Base == nil {
		return &factory.Error{
			Code: factory.Usage, Text: "the version that the file is based on is needed, so that no other change gets lost",
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
