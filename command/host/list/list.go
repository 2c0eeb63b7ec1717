// Package list is the command "host list".
package list

import (
	"context"
	"strconv"

	"wasabirelay/command/factory"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	JSON bool `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay host list
  wasabirelay host list --json`
}

// Run prints the entry hosts.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(hosts)
	}
	var rows [][]string
	for _, h := range hosts {
		rows = append(rows, []string{h.Host, h.Centre, h.Caller, strconv.FormatBool(h.Serves), strconv.FormatUint(h.Applied, 10)})
	}
	return o.Table([]string{"HOST", "CENTRE", "CALLER", "SERVES", "APPLIED"}, rows)
}
