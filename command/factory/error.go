package factory

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"wasabirelay/client"
	"wasabirelay/document"
	"wasabirelay/problem"
)

// Exit codes.
const (
	OK = 0
	// Failed means that nothing was changed or run.
	Failed = 1
	// Usage means that the arguments are wrong.
	Usage = 2
	// Conflict means that somebody else changed the inventory first.
	Conflict = 3
	// Invalid means that a document or a field is wrong.
	Invalid = 4
	// Incomplete means that the answer is not what was asked for.
	Incomplete = 5
	// Unknown means that the request may have been carried out.
	Unknown = 6
)

// Codes explains the exit codes in the help.
const Codes = `Exit codes: 0 done; 1 failed, nothing was changed or run; 2 wrong usage; 3 somebody else changed the inventory
first; 4 a document or field is wrong; 5 the answer is not what was asked for; 6 the request may have been carried out.`

// Error is a failure with the exit code and what to do next.
type Error struct {
	Code int
	Text string
	// Next tells the user what to do; empty if there is nothing to suggest.
	Next string
}

func (e *Error) Error() string { return e.Text }

// Explain turns an error of a command into one with an exit code. resend tells
// how to send the same request again; it is suggested when the outcome is unknown.
func Explain(err error, resend string) error {
	var known *Error
	var faults *document.FaultsError
	switch d := client.Refused(err); {
	case err == nil || errors.As(err, &known):
		return err
	case errors.As(err, &faults):
		return &Error{Code: Invalid, Text: err.Error(), Next: "correct the lines above and try again"}
	case d != nil:
		return explainRefusal(d, resend)
	default:
		return explainFailure(err, resend)
	}
}

func explainFailure(err error, resend string) error {
	if resend != "" && !client.Unsent(err) {
		return &Error{Code: Unknown, Text: err.Error(), Next: "the outcome is not known; " + resend}
	}
	return &Error{Code: Failed, Text: err.Error(), Next: "check that the hosts run and that the addresses are theirs"}
}

func explainRefusal(d *problem.Details, resend string) error {
	e := &Error{Code: Failed, Text: text(d)}
	switch {
	case strings.HasSuffix(d.Type, ":conflict"):
		e.Code, e.Next = Conflict, "read the inventory again with 'wasabirelay inventory show', make the change on it, and apply it"
	case strings.HasSuffix(d.Type, ":coverage"):
		e.Code, e.Next = Incomplete, "repeat the query, or accept less with --coverage"
	case d.Status == http.StatusBadRequest || d.Status == http.StatusUnprocessableEntity:
		e.Code, e.Next = Invalid, "correct the field and try again"
	case d.Executed == problem.Unknown && resend != "":
		e.Code, e.Next = Unknown, "the outcome is not known; "+resend
	case d.Executed == problem.Ran:
		e.Code = Incomplete
	case d.Retry > 0:
		e.Next = fmt.Sprintf("nothing was run; try again in %d s", d.Retry)
	}
	return e
}

func text(d *problem.Details) string {
	s := d.Error()
	for _, part := range []struct{ name, value string }{{"field", d.Field}, {"rule", d.Rule}, {"coverage", string(d.Coverage)}} {
		if part.value != "" {
			s += fmt.Sprintf(" (%s %s)", part.name, part.value)
		}
	}
	return s
}
