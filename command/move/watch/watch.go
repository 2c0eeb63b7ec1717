// Package watch implements the command "move watch".
package watch

import (
	"context"
	"reflect"
	"time"

	"wasabirelay/client"
	"wasabirelay/command/factory"
	"wasabirelay/command/move/list"
	"wasabirelay/operator"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Service  string        `arg:"" help:"Service whose move to watch."`
	Interval time.Duration `help:"Time between two requests." default:"1s"`
	JSON     bool          `help:"Print each change as JSON on one line."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the description and the examples that --help prints.
func (o *Options) Help() string {
	return `Print the move whenever it changes, until its version has all traffic or the move is reverted. A reverted move gives
exit code 5.

Examples:
  wasabirelay move watch order-desk`
}

// Run watches the move until it ends.
func (o *Options) Run(ctx context.Context) error {
	if o.Interval <= 0 {
		return &factory.Error{Code: factory.Usage, Text: "--interval must be above 0", Next: `use a duration such as "1s"`}
	}
	c, err := o.Operator()
	if err != nil {
		return err
	}
	var last *operator.Move
	for {
		m, err := o.poll(ctx, c, last)
		if err != nil {
			return err
		}
		switch {
		case m.Reverted:
			return &factory.Error{
				Code: factory.Incomplete, Text: "the move was reverted: " + m.Reason,
				Next: "fix the version, then set the move again with a new deadline: 'wasabirelay rule set moves." + o.Service + " ...'",
			}
		case m.Share >= 1:
			return nil
		}
		last = m
		select {
		case <-ctx.Done():
			return &factory.Error{Code: factory.Failed, Text: "interrupted", Next: "the move continues; see 'wasabirelay move list'"}
		case <-o.Clock.After(o.Interval):
		}
	}
}

// poll fetches the move and prints it if it differs from the last one.
func (o *Options) poll(ctx context.Context, c *client.Client, last *operator.Move) (*operator.Move, error) {
	m, err := c.Move(ctx, o.Service)
	if err != nil {
		return nil, factory.Explain(err, "")
	}
	if last != nil && reflect.DeepEqual(last, m) {
		return m, nil
	}
	if o.JSON {
		return m, o.Streams.JSON(m)
	}
	return m, o.Table(list.Heading, [][]string{list.Row(m)})
}
