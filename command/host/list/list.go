// Package list implements the command "host list".
package list

import (
	"context"
	"strconv"

	"wasabirelay/command/factory"
	"wasabirelay/operator"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	JSON bool `help:"Print JSON."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the examples that --help prints.
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
	response, err := c.Hosts(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(response)
	}
	var rows [][]string
	for i := range response.Hosts {
		rows = append(rows, row(&response.Hosts[i]))
	}
	return o.Table([]string{"HOST", "CENTRE", "CALLER", "OPERATOR", "CONTROL", "LEASE", "APPLIED"}, rows)
}

func row(h *operator.Host) []string {
	state, applied := "unknown", "unknown"
	if h.Lease != nil {
		state, applied = "none", strconv.FormatUint(h.Lease.Applied, 10)
		if h.Lease.Live {
			state = "held"
		}
	}
	if h.Unavailable {
		state = "out of service"
	}
	return []string{
		h.Name, h.Centre, h.Caller.String(), h.Operator.String(), strconv.FormatBool(h.Control), state, applied,
	}
}
