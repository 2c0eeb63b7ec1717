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

// StatusInput is the data from which NewStatus builds a status.
type StatusInput struct {
	Time   time.Time
	Host   string
	View   *control.View
	Leader Leader
	// Leases holds the leases by host; it is nil if the leader can't be reached.
	Leases   map[string]lease.Status
	Replicas []Replica
	// Findings holds the findings of this host.
	Findings []Finding
}

// levelsByUrgency lists the levels from the most urgent.
var levelsByUrgency = []Level{Failed, Reduced, Notice}

// NewStatus returns the status. Its findings are sorted by urgency, the most urgent first,
// and then by age, the oldest first.
func NewStatus(in *StatusInput) *Status {
	s := &Status{
		Time: in.Time, Host: in.Host, Leader: in.Leader, Inventory: in.View.Version, Findings: slices.Clone(in.Findings),
	}
	for _, list := range in.View.Targets {
		s.Targets += len(list)
	}
	for _, find := range []func(*StatusInput) []Finding{
		findControl, findHosts, findOutOfService, findServices, findTargets, findMoves, findPoison,
	} {
		s.Findings = append(s.Findings, find(in)...)
	}
	slices.SortStableFunc(s.Findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(levelsByUrgency, a.Level), slices.Index(levelsByUrgency, b.Level)),
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

// maxTextFindings limits the findings in the text form. A finding takes three lines, so
// that the text fits on a screen of 24 lines.
const maxTextFindings = 7

// Text returns the status as text that fits on one screen.
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
	for _, f := range s.Findings[:min(len(s.Findings), maxTextFindings)] {
		since := ""
		if !f.Since.IsZero() {
			since = ", since " + f.Since.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(&b, "%s: %s: %s%s\n  system: %s\n  operator: %s\n", f.Level, f.Subject, f.Description, since, f.SystemAction, f.OperatorAction)
	}
	if more := len(s.Findings) - maxTextFindings; more > 0 {
		fmt.Fprintf(&b, "%d more\n", more)
	}
	return b.String()
}
