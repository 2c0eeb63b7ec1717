package factory

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"wasabirelay/client"
	"wasabirelay/document"
	"wasabirelay/operator"
	"wasabirelay/problem"
)

// Exit codes.
const (
	OK = 0
	// Failed means that the command failed and nothing was changed or run.
	Failed = 1
	// Usage means that the arguments are wrong.
	Usage = 2
	// Conflict means that the change conflicts with one that was accepted before it.
	Conflict = 3
	// Invalid means that a document or a field is invalid.
	Invalid = 4
	// Incomplete means that the outcome falls short of the request: an answer without some
	// shards, a change that is not in force yet, a reverted move, or a status with a failure.
	Incomplete = 5
	// Unknown means that the outcome is unknown: the request may have been carried out.
	Unknown = 6
)

// ExitCodes is the explanation of the exit codes in the help.
const ExitCodes = `Exit codes: 0 success; 1 failed, nothing was changed or run; 2 wrong usage; 3 conflict with another change; 4 a
document or field is invalid; 5 the outcome falls short of the request; 6 the request may have been carried out.`

// Error is a failure with its exit code and a suggestion for the user.
type Error struct {
	Code int
	Text string
	// Next suggests what the user can do; empty if there is nothing to suggest.
	Next string
}

func (e *Error) Error() string { return e.Text }

// Explain turns an error of a command into an Error with an exit code. resend describes how to
// send the same request again and is suggested if the outcome is unknown; it is empty for a
// request that is safe to repeat.
func Explain(err error, resend string) error {
	var explained *Error
	var faults *document.FaultsError
	switch d := client.ProblemDetails(err); {
	case err == nil || errors.As(err, &explained):
		return err
	case errors.As(err, &faults):
		return &Error{Code: Invalid, Text: err.Error(), Next: "correct the lines above and try again"}
	case d != nil:
		return explainRefusal(err, d, resend)
	default:
		return explainFailure(err, resend)
	}
}

func explainFailure(err error, resend string) error {
	if resend != "" && !client.Unsent(err) {
		return &Error{Code: Unknown, Text: err.Error(), Next: "the outcome is not known; " + resend}
	}
	return &Error{Code: Failed, Text: err.Error(), Next: "check that the hosts are running and that the addresses are correct"}
}

func explainRefusal(err error, d *problem.Details, resend string) error {
	e := &Error{Code: Failed, Text: describe(d)}
	var refusal *operator.Refusal
	if errors.As(err, &refusal) {
		e.Text += describeWinner(refusal)
	}
	switch {
	case d.Status == http.StatusConflict:
		e.Code, e.Next = Conflict, "read what is in force now, apply the change to it, and send it again"
	case d.Status == http.StatusNotFound:
		e.Next = "check the name"
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

// describeWinner describes the change that won a conflict; empty if the refusal names none.
func describeWinner(r *operator.Refusal) string {
	if r.Operator == "" && r.Change == "" {
		return ""
	}
	s := fmt.Sprintf("\nwinner: change %s by %s, version %d", r.Change, r.Operator, r.Version)
	for _, d := range r.Differences {
		s += fmt.Sprintf("\n  %s: %s there, %s here", d.Field, orNothing(d.From), orNothing(d.To))
	}
	return s
}

func orNothing(s string) string {
	if s == "" {
		return "nothing"
	}
	return s
}

// describe returns the text of a refusal with the field, rule and coverage that it names.
func describe(d *problem.Details) string {
	s := d.Error()
	for _, part := range []struct{ name, value string }{{"field", d.Field}, {"rule", d.Rule}, {"coverage", string(d.Coverage)}} {
		if part.value != "" {
			s += fmt.Sprintf(" (%s %s)", part.name, part.value)
		}
	}
	return s
}
