// Package problem defines refusals of requests as RFC 9457 problem details.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// ContentType is the media type of a problem details document.
const ContentType = "application/problem+json"

// Executed is what is known about the execution of a refused request.
type Executed string

// Values of Executed.
const (
	// None means that no part of the request was sent to a target.
	None Executed = "none"
	// Unknown means that the request may have been executed.
	Unknown Executed = "unknown"
	// Ran means that at least one target executed the request.
	Ran Executed = "ran"
)

// Details is a refusal. It implements error, so that functions can return it as an error and
// the HTTP handler can write it to the client unchanged.
type Details struct {
	Type     string   `json:"type"`
	Title    string   `json:"title"`
	Status   int      `json:"status"`
	Detail   string   `json:"detail,omitempty"`
	Instance string   `json:"instance,omitempty"`
	Executed Executed `json:"executed,omitempty"`
	// Rule names the inventory rule that caused the refusal.
	Rule string `json:"rule,omitempty"`
	// Field names the invalid input field.
	Field string `json:"field,omitempty"`
	// Coverage reports which part of the answer was available.
	Coverage json.RawMessage `json:"coverage,omitempty"`
	// Retry is the number of seconds after which a retry may succeed.
	Retry int `json:"retry,omitempty"`
}

// Error returns the title and the detail.
func (d *Details) Error() string {
	if d.Detail == "" {
		return d.Title
	}
	return fmt.Sprintf("%s: %s", d.Title, d.Detail)
}

// Write sends the refusal as the HTTP response.
func (d *Details) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	if d.Retry > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(d.Retry))
	}
	w.WriteHeader(d.Status)
	_ = json.NewEncoder(w).Encode(d) // An error means that the client has disconnected.
}

// BadField returns a 400 refusal that names the invalid field; detail says what is allowed.
func BadField(field, detail string) *Details {
	return &Details{
		Type: "urn:wasabirelay:bad-field", Title: "Invalid field", Status: http.StatusBadRequest,
		Field: field, Detail: detail, Executed: None,
	}
}

// Unavailable returns a 503 refusal of a request that was not executed. kind is the last part
// of the problem type.
func Unavailable(kind, detail string) *Details {
	return &Details{
		Type: "urn:wasabirelay:" + kind, Title: "Service unavailable", Status: http.StatusServiceUnavailable,
		Detail: detail, Executed: None, Retry: 1,
	}
}
