// Package apply is the command "inventory apply".
package apply

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"wasabirelay/client"
	"wasabirelay/command/factory"
	"wasabirelay/inventory"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	File   string  `arg:"" help:"File with the document; - for the input stream." predictor:"file"`
	Base   *uint64 `help:"Version that the file is based on, from 'inventory show'; 0 for the first document." placeholder:"VERSION"`
	Change string  `help:"Identity of the change, to send the same change again." placeholder:"ID"`
	JSON   bool    `help:"Print JSON."`
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
	return Send(ctx, o.Factory, client.Change{Base: *o.Base, Change: o.Change, Text: string(text)}, o.JSON)
}

// Outcome is what the command prints with --json.
type Outcome struct {
	client.Applied
	Change string `json:"change"`
}

// Send applies a change and prints its outcome. An empty identity is replaced
// with a new one.
func Send(ctx context.Context, f *factory.Factory, change client.Change, json bool) error {
	c, err := f.Operator()
	if err != nil {
		return err
	}
	if change.Change == "" {
		change.Change = f.Identity()
	}
	change.Operator = f.User()
	applied, err := c.Apply(ctx, change)
	if err != nil {
		return factory.Explain(err, fmt.Sprintf("send the same change again with --base %d --change %s", change.Base, change.Change))
	}
	if json {
		return f.JSON(Outcome{*applied, change.Change})
	}
	fmt.Fprintf(f.Out, "inventory version %d accepted\n", applied.Version)
	return nil
}
