package factory

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// JSON prints a value as JSON on one line.
func (s *Streams) JSON(v any) error {
	return errors.Wrap(json.NewEncoder(s.Out).Encode(v), "print")
}

// Table prints rows under a heading. If Out is no terminal, it separates columns by single tabs
// and omits the heading, so that programs can parse the output.
func (s *Streams) Table(heading []string, rows [][]string) error {
	if !s.Terminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(s.Out, strings.Join(row, "\t")); err != nil {
				return errors.Wrap(err, "print")
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{heading}, rows...) {
		if _, err := io.WriteString(w, strings.Join(row, "\t")+"\n"); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(w.Flush(), "print")
}

// Infof prints a message to Err that is not part of the command's output.
func (s *Streams) Infof(format string, args ...any) {
	fmt.Fprintf(s.Err, format+"\n", args...)
}
