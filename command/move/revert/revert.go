// Package revert implements the command "move revert".
package revert

import (
	"context"

	"wasabirelay/client"
	"wasabirelay/command/factory"
	"wasabirelay/command/inventory/apply"
	"wasabirelay/operator"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Service string `arg:"" help:"Service whose move to revert."`
	Version string `arg:"" help:"Version that the service moves to; a move to another version is not reverted."`
	Reason  string `help:"Reason that other operators see." default:"reverted by an operator"`
	apply.Commit
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the description and the examples that --help prints.
func (o *Options) Help() string {
	return `Take the version out of traffic. It gets no new requests once the change is in force.

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
