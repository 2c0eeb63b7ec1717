// Package check implements the command "inventory check".
package check

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"wasabirelay/command/factory"
	"wasabirelay/inventory"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	File    string `arg:"" help:"File with the document; - reads standard input." predictor:"file"`
	Offline bool   `help:"Check the file without comparing it with the inventory in force."`
	JSON    bool   `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the description and the examples that --help prints.
func (o *Options) Help() string {
	return `Report every fault of a document with its line, or list what it would change.

Examples:
  wasabirelay inventory check inventory.jsonc
  wasabirelay inventory check --offline inventory.jsonc`
}

// Run checks the document and prints how it differs from the one in force.
func (o *Options) Run(ctx context.Context) error {
	text, err := o.ReadFile(o.File)
	if err != nil {
		return errors.Wrap(err, "read the document")
	}
	if _, err := inventory.Parse(o.File, text); err != nil {
		return factory.Explain(err, "")
	}
	if o.Offline {
		o.Infof("%s has no faults", o.File)
		return nil
	}
	c, err := o.Operator()
	if err != nil {
		return err
	}
	response, err := c.Check(ctx, string(text))
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(response)
	}
	o.Infof("%s has no faults; it differs from version %d in %d fields", o.File, response.Version, len(response.Differences))
	return PrintDifferences(&o.Streams, response.Differences)
}

// PrintDifferences prints a table of the fields that differ between two documents.
func PrintDifferences(s *factory.Streams, changes []inventory.Change) error {
	var rows [][]string
	for _, d := range changes {
		rows = append(rows, []string{d.Field, d.From, d.To})
	}
	if len(rows) == 0 {
		return nil
	}
	return errors.Wrap(s.Table([]string{"FIELD", "FROM", "TO"}, rows), fmt.Sprintf("print %d differences", len(rows)))
}
