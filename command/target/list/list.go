// Package list implements the command "target list".
package list

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"wasabirelay/command/factory"
	"wasabirelay/control"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Service string `help:"Filter by service." short:"s"`
	Centre  string `help:"Filter by data centre." short:"c"`
	State   string `help:"Filter by state: ${enum}." enum:",cold,warm,draining" default:""`
	JSON    bool   `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the examples that --help prints.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay target list
  wasabirelay target list --service order-desk --state cold`
}

// Run prints the live targets that match the filters.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	response, err := c.Targets(ctx, o.Service)
	if err != nil {
		return factory.Explain(err, "")
	}
	response.Targets = slices.DeleteFunc(response.Targets, func(t *control.Target) bool {
		return o.Centre != "" && t.Centre != o.Centre || o.State != "" && string(t.State) != o.State
	})
	if o.JSON {
		return o.Streams.JSON(response)
	}
	var rows [][]string
	for _, t := range response.Targets {
		rows = append(rows, []string{
			t.Name, t.Service, t.Version, t.Centre, t.Address.String(), string(t.State), joinNumbers(t.Shards), formatSnapshots(t), t.Home,
		})
	}
	return o.Table([]string{"TARGET", "SERVICE", "VERSION", "CENTRE", "ADDRESS", "STATE", "SHARDS", "SNAPSHOTS", "HOME"}, rows)
}

// joinNumbers joins numbers with commas.
func joinNumbers(numbers []int) string {
	return strings.ReplaceAll(strings.Trim(fmt.Sprint(numbers), "[]"), " ", ",")
}

// formatSnapshots formats each snapshot as NUMBER/SHARDS, its number and its count of shards.
func formatSnapshots(t *control.Target) string {
	var out []string
	for _, s := range t.Snapshots {
		out = append(out, fmt.Sprintf("%d/%d", s.Number, s.Shards))
	}
	return strings.Join(out, ",")
}
