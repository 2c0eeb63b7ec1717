// Package list implements the command "rule list".
package list

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"wasabirelay/command/factory"
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
	return `Print the rules in force, defaults included.

Examples:
  wasabirelay rule list
  wasabirelay rule list --json`
}

// Run prints the rules in force.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	response, err := c.Rules(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(response)
	}
	rows, err := Flatten(response.Rules)
	if err != nil {
		return err
	}
	o.Infof("version %d", response.Version)
	return o.Table([]string{"RULE", "VALUE"}, rows)
}

// Flatten returns the leaves of a value's JSON form as rows of a dotted path and a value, sorted
// by path.
func Flatten(v any) ([][]string, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var rows [][]string
	var walk func(path string, text json.RawMessage)
	walk = func(path string, text json.RawMessage) {
		var members map[string]json.RawMessage
		if json.Unmarshal(text, &members) != nil || len(members) == 0 {
			rows = append(rows, []string{path, strings.Trim(string(text), `"`)})
			return
		}
		for name, member := range members {
			walk(strings.TrimPrefix(path+"."+name, "."), member)
		}
	}
	walk("", text)
	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return rows, nil
}
