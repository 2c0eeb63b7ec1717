// Package list is the command "target list".
package list

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"wasabirelay/command/factory"
	"wasabirelay/control"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	Service string `help:"Only targets of this service." short:"s"`
	Centre  string `help:"Only targets in this data centre." short:"c"`
	State   string `help:"Only targets in this state: ${enum}." enum:",cold,warm,draining" default:""`
	JSON    bool   `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay target list
  wasabirelay target list --service order-desk --state cold`
}

// Run prints the live targets.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	got, err := c.Targets(ctx, o.Service)
	if err != nil {
		return factory.Explain(err, "")
	}
	got.Targets = slices.DeleteFunc(got.Targets, func(t *control.Target) bool {
		return o.Centre != "" && t.Centre != o.Centre || o.State != "" && string(t.State) != o.State
	})
	if o.JSON {
		return o.Streams.JSON(got)
	}
	var rows [][]string
	for _, t := range got.Targets {
		rows = append(rows, []string{
			t.Name, t.Service, t.Version, t.Centre, t.Address.String(), string(t.State), numbers(t.Shards), snapshots(t), t.Home,
		})
	}
	return o.Table([]string{"TARGET", "SERVICE", "VERSION", "CENTRE", "ADDRESS", "STATE", "SHARDS", "SNAPSHOTS", "HOME"}, rows)
}

func numbers(list []int) string {
	return strings.ReplaceAll(strings.Trim(fmt.Sprint(list), "[]"), " ", ",")
}

// snapshots writes each snapshot as its number, a slash and its number of shards.
func snapshots(t *control.Target) string {
	var out []string
	for _, s := range t.Snapshots {
		out = append(out, fmt.Sprintf("%d/%d", s.Number, s.Shards))
	}
	return strings.Join(out, ",")
}
