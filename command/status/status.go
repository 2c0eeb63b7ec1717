// Package status implements the command "status".
package status

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"wasabirelay/command/factory"
	"wasabirelay/operator"
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
	return `Print the problems that a host sees, the most urgent first. The exit code is 5 while callers are refused or get
incomplete answers.

Examples:
  wasabirelay status
  wasabirelay status --operator 10.0.0.2:7301 --json`
}

// Run prints the status of the first host that responds.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	response, err := c.Status(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		err = o.Streams.JSON(response)
	} else {
		_, err = io.WriteString(o.Out, response.Text())
	}
	if err != nil || response.Level != operator.Failed {
		return errors.Wrap(err, "print")
	}
	return &factory.Error{
		Code: factory.Incomplete, Text: "callers are refused or get incomplete answers",
		Next: "see the findings above; the 'operator' line of each says what to do",
	}
}
