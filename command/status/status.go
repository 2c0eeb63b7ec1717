// Package status is the command "status".
package status

import (
	"context"

	"wasabirelay/command/factory"
	"wasabirelay/command/rule/list"
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
	return `Examples:
  wasabirelay status
  wasabirelay status --operator 10.0.0.2:7301 --json`
}

// Run prints the status of the host that answers.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	got, err := c.Status(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(got)
	}
	rows, err := list.Flatten(got)
	if err != nil {
		return err
	}
	return o.Table([]string{"FIELD", "VALUE"}, rows)
}
