// Package set implements the command "rule set".
package set

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"wasabirelay/client"
	"wasabirelay/command/factory"
	"wasabirelay/command/inventory/apply"
	"wasabirelay/inventory"
	"wasabirelay/operator"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Rule  string `arg:"" help:"Dotted path of the rule, for example hedge.budget."`
	Value string `arg:"" help:"Value as JSON; any other text is taken as a string."`
	apply.Commit
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the description and the examples that --help prints.
func (o *Options) Help() string {
	return `Changes one rule in the document in force and leaves the rest of it as it is, comments included.

Examples:
  wasabirelay rule set hedge.budget 0.05
  wasabirelay rule set lost stop
  wasabirelay rule set moves.order-desk '{"version":"v2","by":"2026-12-04T18:00:00Z","trial":0.02}'`
}

// Run changes the rule.
func (o *Options) Run(ctx context.Context) error {
	var value any = o.Value
	if json.Valid([]byte(o.Value)) {
		value = json.RawMessage(o.Value)
	}
	return Edit(ctx, o.Factory, &o.Commit, func(text []byte) ([]byte, error) {
		return inventory.Set(text, Path(o.Rule), value)
	})
}

// Path returns the path of a rule in the document.
func Path(rule string) []string { return append([]string{"rules"}, strings.Split(rule, ".")...) }

// Edit reads the document in force, edits and checks it, and applies it with the version that it
// read as the base, so that it overwrites no concurrent change.
func Edit(ctx context.Context, f *factory.Factory, commit *apply.Commit, edit func(text []byte) ([]byte, error)) error {
	c, err := f.Operator()
	if err != nil {
		return err
	}
	old, err := c.Inventory(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	text, err := edit([]byte(old.Text))
	if err != nil {
		return &factory.Error{
			Code: factory.Invalid, Text: errors.Wrap(err, "edit the document").Error(),
			Next: "see 'wasabirelay rule list' for the names of the rules",
		}
	}
	if _, err := inventory.Parse("inventory", text); err != nil {
		return factory.Explain(err, "")
	}
	return commit.Send(f, func(c *client.Client, change string) (*operator.ChangeResponse, error) {
		return c.Apply(ctx, operator.ApplyRequest{Base: old.Version, Change: change, Operator: f.User(), Text: string(text)}, commit.Wait)
	})
}
