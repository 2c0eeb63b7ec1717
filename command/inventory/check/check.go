// Package check is the command "inventory check".
package check

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"wasabirelay/command/factory"
	"wasabirelay/inventory"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	File    string `arg:"" help:"File with the document; - for the input stream." predictor:"file"`
	Offline bool   `help:"Check the file without asking a host for the differences."`
	JSON    bool   `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
func (o *Options) Help() string {
	return `Reports every fault of a document with its line, or what it would change.

Examples:
  wasabirelay inventory check inventory.jsonc
  wasabirelay inventory check --offline inventory.jsonc`
}

// Run checks the document.
func (o *Options) Run(ctx context.Context) error {
	text, err := o.ReadFile(o.File)
	if err != nil {
		return errors.Wrap(err, "read the document")
	}
	if _, err := inventory.Parse(o.File, text); err != nil {
		return factory.Explain(err, "")
	}
	if o.Offline {
		o.Say("%s has no faults", o.File)
		return nil
	}
	c, err := o.Operator()
	if err != nil {
		return err
	}
	got, err := c.Check(ctx, string(text))
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(got)
	}
	o.Say("%s has no faults; it differs from version %d in %d fields", o.File, got.Version, len(got.Differences))
	return Differences(&o.Streams, got.Differences)
}

// Differences prints what differs between two documents.
func Differences(s *factory.Streams, list []inventory.Change) error {
	var rows [][]string
	for _, d := range list {
		rows = append(rows, []string{d.Field, d.From, d.To})
	}
	if len(rows) == 0 {
		return nil
	}
	return errors.Wrap(s.Table([]string{"FIELD", "FROM", "TO"}, rows), fmt.Sprintf("print %d differences", len(rows)))
}
