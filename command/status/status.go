// Package status is the command "status".
package status

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"wasabirelay/command/factory"
	"wasabirelay/operator"
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
	return `Prints what is not as it should be, the most urgent first. The exit code is 5 while callers are refused or get
incomplete answers.

Examples:
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
		err = o.Streams.JSON(got)
	} else {
		_, err = io.WriteString(o.Out, got.Text())
	}
	if err != nil || got.Level != operator.Failed {
		return errors.Wrap(err, "print")
	}
	return &factory.Error{
		Code: factory.Incomplete, Text: "callers are refused or get incomplete answers",
		Next: "see the findings above; the line 'operator' of each says what to do",
	}
}
