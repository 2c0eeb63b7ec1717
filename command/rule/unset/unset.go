// Package unset is the command "rule unset".
package unset

import (
	"context"

	"wasabirelay/command/factory"
	"wasabirelay/command/inventory/apply"
	"wasabirelay/command/rule/set"
	"wasabirelay/inventory"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	Rule string `arg:"" help:"Rule, with dots between names, for example moves.order-desk."`
	apply.Commit
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
func (o *Options) Help() string {
	return `Removes one rule from the document in force, so that its default applies.

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
