// Package list is the command "move list".
package list

import (
	"context"
	"strconv"
	"time"

	"wasabirelay/client"
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
  wasabirelay move list
  wasabirelay move list --json`
}

// Run prints the version moves.
func (o *Options) Run(ctx context.Context) error {
	c, err := o.Operator()
	if err != nil {
		return err
	}
	moves, err := c.Moves(ctx)
	if err != nil {
		return factory.Explain(err, "")
	}
	if o.JSON {
		return o.Streams.JSON(moves)
	}
	var rows [][]string
	for i := range moves {
		rows = append(rows, Row(&moves[i]))
	}
	return o.Table(Heading, rows)
}

// Heading is the heading of the rows of moves.
var Heading = []string{"SERVICE", "VERSION", "STEP", "SHARE", "BY", "REASON"}

// Row returns a move as a row of a table.
func Row(m *client.Move) []string {
	share := strconv.FormatFloat(m.Share*100, 'f', -1, 64) + "%"
	return []string{m.Service, m.Version, m.Step, share, m.By.UTC().Format(time.RFC3339), m.Reason}
}
