package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabirelay/control"
	"wasabirelay/lease"
)

// StatusInput is what a status is made from.
type StatusInput struct {
	Time   time.Time
	Host   string
	View   *control.View
	Leader Leader
	// Leases holds the leases by host; nil if the leader could not be asked.
	Leases   map[string]lease.Status
	Replicas []Replica
	// Findings holds what the host observed itself.
	Findings []Finding
}

// levels orders findings by urgency.
var levels = []Level{Failed, Reduced, Notice}

// NewStatus returns the status: all findings, the most urgent first and among
// those the oldest first.
func NewStatus(in *StatusInput) *Status {
	s := &Status{
		Time: in.Time, Host: in.Host, Leader: in.Leader, Inventory: in.View.Version, Findings: slices.Clone(in.Findings),
	}
	for _, list := range in.View.Targets {
		s.Targets += len(list)
	}
	for _, find := range []func(*StatusInput) []Finding{
		findControl, findHosts, findOut, findServices, findTargets, findMoves, findPoison,
	} {
		s.Findings = append(s.Findings, find(in)...)
	}
	slices.SortStableFunc(s.Findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(levels, a.Level), slices.Index(levels, b.Level)),
			a.Since.Compare(b.Since), cmp.Compare(a.Subject, b.Subject),
		)
	})
	if len(s.Findings) > 0 {
		s.Level = s.Findings[0].Level
	} else {
		s.Findings = []Finding{}
	}
	return s
}

// screenFindings is the number of findings that the text form lists: with three
// lines each they fit a screen of 24 lines.
const screenFindings = 7

// Text returns the status as text that fits one screen.
func (s *Status) Text() string {
	var b strings.Builder
	level := "in order"
	if s.Level != "" {
		level = string(s.Level)
	}
	leader := s.Leader.Host
	if leader == "" {
		leader = "none"
	}
	fmt.Fprintf(&b, "%s  inventory %d  leader %s  targets %d  %s\n",
		level, s.Inventory, leader, s.Targets, s.Time.UTC().Format(time.RFC3339))
	for _, f := range s.Findings[:min(len(s.Findings), screenFindings)] {
		since := ""
		if !f.Since.IsZero() {
			since = ", since " + f.Since.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(&b, "%s: %s: %s%s\n  system: %s\n  operator: %s\n", f.Level, f.Subject, f.Description, since, f.SystemAction, f.OperatorAction)
	}
	if more := len(s.Findings) - screenFindings; more > 0 {
		fmt.Fprintf(&b, "%d more\n", more)
	}
	return b.String()
}
