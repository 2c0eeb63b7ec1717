// Package list implements the command "move list".
package list

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

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
  wasabirelay move list
  wasabirelay move list --json`
}

// Run prints the version moves.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	response, err := c.Moves(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(response)
	}
	var rows [][]string
	for i := range response.Moves {
		rows = append(rows, Row(&response.Moves[i]))
	}
	return o.Table(Heading, rows)
}

// Heading is the table heading for the rows that Row returns.
var Heading = []string{"SERVICE", "VERSION", "STEP", "SHARE", "BY", "SINCE", "TARGETS", "REASON"}

// Row returns a move as a row of a table.
func Row(m *operator.Move) []string {
	share := strconv.FormatFloat(m.Share*100, 'f', -1, 64) + "%"
	var targets []string
	for _, version := range slices.Sorted(maps.Keys(m.Targets)) {
		targets = append(targets, fmt.Sprintf("%s:%d", version, m.Targets[version]))
	}
	return []string{
		m.Service, m.Version, m.Step, share, formatTime(m.Deadline), formatTime(m.Since), strings.Join(targets, ","), m.Reason,
	}
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
