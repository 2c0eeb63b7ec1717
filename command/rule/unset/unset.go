// Package unset implements the command "rule unset".
package unset

import (
	"context"

	"wasabirelay/command/factory"
	"wasabirelay/command/inventory/apply"
	"wasabirelay/command/rule/set"
	"wasabirelay/inventory"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Rule string `arg:"" help:"Dotted path of the rule, for example moves.order-desk."`
	apply.Commit
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the description and the examples that --help prints.
func (o *Options) Help() string {
	return `Remove one rule from the document in force, so that its default applies.

Examples:
  wasabirelay rule unset hedge.budget
  wasabirelay rule unset moves.order-desk`
}

// Run removes the rule.
func (o *Options) Run(ctx context.Context) error {
	return set.Edit(ctx, o.Factory, &o.Commit, func(text []byte) ([]byte, error) {
		return inventory.Delete(text, set.Path(o.Rule))
	})
}
