// Package revert is the command "move revert".
package revert

import (
	"context"

	"wasabirelay/client"
	"wasabirelay/command/factory"
	"wasabirelay/command/inventory/apply"
	"wasabirelay/operator"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	Service string `arg:"" help:"Service whose move is reverted."`
	Version string `arg:"" help:"Version that the move goes to, so that no later move is reverted."`
	Reason  string `help:"Why, for the other operators." default:"reverted by an operator"`
	apply.Commit
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
func (o *Options) Help() string {
	return `Takes the version out of traffic. It gets no new work once that is in force.

Examples:
  wasabirelay move revert order-desk v2 --reason "wrong prices"`
}

// Run reverts the move.
func (o *Options) Run(ctx context.Context) error {
	return o.Send(o.Factory, func(c *client.Client, change string) (*operator.ChangeResponse, error) {
		r := operator.RevertRequest{Change: change, Operator: o.User(), Version: o.Version, Reason: o.Reason}
		return c.Revert(ctx, o.Service, r, o.Wait)
	})
}
