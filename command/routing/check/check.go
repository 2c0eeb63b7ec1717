// Package check implements the command "routing check".
package check

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"wasabirelay/audit"
	"wasabirelay/command/factory"
	"wasabirelay/command/inventory/check"
	"wasabirelay/inventory"
	"wasabirelay/routing"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	File    string         `arg:"" help:"File with the routing document; - reads standard input." predictor:"file"`
	Against string         `help:"File with the document in force, to list the differences." predictor:"file" xor:"force"`
	Control netip.AddrPort `help:"Operator address of a control host, to list the differences from the document in force." xor:"force" placeholder:"ADDRESS"`
	Memory  int64          `help:"Memory of an entry host in MiB, to check limits against." placeholder:"MIB"`
	Among   int            `help:"Number of entry hosts, to check the connections of targets against." placeholder:"HOSTS"`
	JSON    bool           `help:"Print JSON."`
}

// Report is the result of a check, as --json prints it.
type Report struct {
	Version uint64 `json:"version"`
	// Error is why the document can't be put in force; empty if it can.
	Error string `json:"error,omitempty"`
	// Findings are entries that never take effect, and limits that contradict each other.
	Findings []audit.Finding `json:"findings,omitempty"`
	// Base is the version of the document in force, Differences what differs from it.
	Base        uint64             `json:"base,omitempty"`
	Differences []inventory.Change `json:"differences,omitempty"`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the description and the examples that --help prints.
func (o *Options) Help() string {
	return `Check a routing document before it is sent: whether it can be put in force, entries that never take effect, limits
that contradict each other, and what differs from the version in force. Keys are counted, never printed.

Exit codes: 0 nothing was found; 4 the document is invalid; 5 it is valid, but something was found.

Examples:
  wasabirelay routing check routing.json
  wasabirelay routing check routing.json --control 10.0.0.1:8080
  wasabirelay routing check routing.json --against old.json --json`
}

// Run checks the document and prints what was found.
func (o *Options) Run(ctx context.Context) error {
	text, err := o.ReadFile(o.File)
	if err != nil {
		return errors.Wrap(err, "read the document")
	}
	d, err := o.DecodeRouting(text)
	if err != nil {
		if o.JSON {
			if err := o.Streams.JSON(&Report{Error: err.Error()}); err != nil {
				return err
			}
		}
		return &factory.Error{Code: factory.Invalid, Text: err.Error(), Next: "correct the document and try again"}
	}
	auditor := audit.Auditor{Memory: o.Memory << 20, Hosts: o.Among}
	report := &Report{Version: d.Version, Findings: auditor.Findings(d)}
	base, err := o.inForce(ctx)
	if err != nil {
		return err
	}
	if base != nil {
		report.Base, report.Differences = base.Version, audit.Differences(base, d)
	}
	if err := o.print(report, base != nil); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return &factory.Error{Code: factory.Incomplete, Text: fmt.Sprintf("%d entries don't do what they seem to do", len(report.Findings)), Next: "correct them, or send the document as it is"}
	}
	return nil
}

// inForce returns the document to compare with, or nil if there is none.
func (o *Options) inForce(ctx context.Context) (*routing.Document, error) {
	var text []byte
	var err error
	switch {
	case o.Against != "":
		text, err = o.ReadFile(o.Against)
	case o.Control.IsValid():
		text, err = o.FetchRouting(ctx, o.Control)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the document in force")
	}
	d, err := o.DecodeRouting(text)
	return d, errors.Wrap(err, "the document in force")
}

func (o *Options) print(r *Report, compared bool) error {
	if o.JSON {
		return o.Streams.JSON(r)
	}
	rows := make([][]string, 0, len(r.Findings))
	for _, f := range r.Findings {
		rows = append(rows, []string{string(f.Kind), f.Entry, f.Detail})
	}
	if len(rows) > 0 {
		if err := o.Table([]string{"KIND", "ENTRY", "DETAIL"}, rows); err != nil {
			return err
		}
	}
	o.Infof("version %d can be put in force; %d findings", r.Version, len(r.Findings))
	if !compared {
		return nil
	}
	o.Infof("it differs from version %d in %d fields", r.Base, len(r.Differences))
	return check.PrintDifferences(&o.Streams, r.Differences)
}
