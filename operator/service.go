// Package operator implements the HTTP API for operators: the inventory, version moves,
// hosts, targets, and a status that fits on one screen.
//
// Responses are JSON. Refusals are RFC 9457 problem details with the additional members of
// Refusal. If a refusal has executed "none", nothing was changed. If it has "unknown", the
// change may have been accepted, and resending it with the same change identity returns its
// outcome.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/lease"
	"wasabirelay/problem"
)

const (
	// maxBody limits the body of a request, in bytes; see section 3.7 of the design.
	maxBody = 1 << 20
	// maxWait limits the parameter wait. A change is in force within 8 s at the largest size
	// that the system is designed for.
	maxWait = 30 * time.Second
	// pollInterval is the interval at which the leader is polled while a request waits.
	pollInterval = 50 * time.Millisecond
)

// Service serves the HTTP API for operators. The caller sets the exported fields before it
// calls Register; Replicas and Findings may be nil.
type Service struct {
	// Host is the name of this host, Program the version of the daemon.
	Host    string
	Program string
	Clock   clockwork.Clock
	// Propose commits a command. After an error that is not a *problem.Details, the
	// outcome is unknown.
	Propose func(ctx context.Context, c control.Command) (control.Result, error)
	// View returns the current view. Its Inventory may be nil.
	View func() *control.View
	// InForce gets the leader's report on whether the command at an index is in force.
	InForce func(ctx context.Context, index uint64) (lease.Report, error)
	// Leases gets the leases of all hosts from the leader.
	Leases func(ctx context.Context) ([]lease.Status, error)
	// Leader returns the leader as known to this host.
	Leader func() Leader
	// Replicas gets the state of the control replicas from the leader.
	Replicas func(ctx context.Context) ([]Replica, error)
	// Findings returns the findings of this host, such as ejected targets.
	Findings func() []Finding
}

// Register adds the routes to mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/inventory", s.getInventory)
	mux.HandleFunc("POST /v1/inventory", s.applyInventory)
	mux.HandleFunc("POST /v1/inventory/check", s.checkInventory)
	mux.HandleFunc("GET /v1/rules", s.getRules)
	mux.HandleFunc("GET /v1/moves", s.getMoves)
	mux.HandleFunc("GET /v1/moves/{service}", s.getMove)
	mux.HandleFunc("POST /v1/moves/{service}/revert", s.revertMove)
	mux.HandleFunc("GET /v1/hosts", s.getHosts)
	mux.HandleFunc("GET /v1/targets", s.getTargets)
	mux.HandleFunc("GET /v1/status", s.getStatus)
	mux.HandleFunc("GET /v1/version", s.getVersion)
}

// commit proposes the command, waits until it is in force or the parameter wait has
// elapsed, and writes the response.
func (s *Service) commit(w http.ResponseWriter, r *http.Request, c control.Command) {
	wait, invalid := parseWait(r)
	if invalid != nil {
		invalid.Write(w)
		return
	}
	c.At = s.Clock.Now()
	result, err := s.Propose(r.Context(), c)
	if err != nil {
		writeProposeError(w, err)
		return
	}
	if result.Refusal != nil {
		s.newRefusal(&result).Write(w)
		return
	}
	applied := ChangeResponse{Version: result.Version, Index: result.Index, Accepted: true, Hosts: []lease.Status{}}
	report, err := s.awaitInForce(r.Context(), result.Index, wait)
	if err != nil {
		applied.Detail = "the change is accepted, but the leader could not be asked where it is in force: " + err.Error()
	} else {
		applied.InForce, applied.Hosts, applied.PreviousLeasesEnd = report.InForce, report.Hosts, report.PreviousLeasesEnd
	}
	writeJSON(w, applied)
}

// parseWait parses the parameter wait, a duration such as 2s; it is 0 if absent.
func parseWait(r *http.Request) (time.Duration, *problem.Details) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, problem.BadField("wait", fmt.Sprintf("a duration from 0s to %s", maxWait))
	}
	return wait, nil
}

// awaitInForce polls the leader until the command is in force or the wait has elapsed.
// It returns an error only if the last poll failed or ctx has ended.
func (s *Service) awaitInForce(ctx context.Context, index uint64, wait time.Duration) (lease.Report, error) {
	deadline := s.Clock.Now().Add(wait)
	for {
		report, err := s.InForce(ctx, index)
		left := deadline.Sub(s.Clock.Now())
		if err == nil && report.InForce || left <= 0 {
			return report, err
		}
		select {
		case <-ctx.Done():
			return report, errors.Wrap(ctx.Err(), "wait until the change is in force")
		case <-s.Clock.After(min(pollInterval, left)):
		}
	}
}

// newRefusal returns the problem document for a refused command.
func (s *Service) newRefusal(result *control.Result) *Refusal {
	refusal := result.Refusal
	status, title := http.StatusConflict, "Conflict with another change"
	switch refusal.Kind {
	case control.Invalid:
		status, title = http.StatusUnprocessableEntity, "Invalid change"
	case control.Absent:
		status, title = http.StatusNotFound, "Not found"
	case control.Conflict, control.Stale, control.Taken:
	}
	return &Refusal{
		Details: problem.Details{
			Type: "urn:wasabirelay:" + string(refusal.Kind), Title: title, Status: status, Detail: refusal.Detail, Executed: problem.None,
		},
		Operator: refusal.Operator, Change: refusal.Change, Version: result.Version, Differences: refusal.Differences, Faults: refusal.Faults,
	}
}

// writeProposeError writes the error of a proposal. If it is not a *problem.Details, the
// outcome of the proposal is unknown.
func writeProposeError(w http.ResponseWriter, err error) {
	var d *problem.Details
	if !errors.As(err, &d) {
		d = problem.Unavailable("no-outcome", err.Error()+"; a resend with the same change identity gets the outcome")
		d.Executed = problem.Unknown
	}
	d.Write(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has disconnected.
}

// readBody decodes a JSON body. If that fails, it writes a refusal and returns false. It
// refuses other media types, so that a form on a web page can't submit a change.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		invalidBody(http.StatusUnsupportedMediaType, "the content type is application/json").Write(w)
		return false
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		status := http.StatusBadRequest
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			status = http.StatusRequestEntityTooLarge
		}
		invalidBody(status, err.Error()).Write(w)
		return false
	}
	return true
}

func invalidBody(status int, detail string) *problem.Details {
	d := problem.BadField("body", detail)
	d.Status = status
	return d
}

// field is a member of a request body that must not be empty.
type field struct{ name, value string }

// requireFields reports whether no field is empty. Otherwise it writes a refusal that
// names the first empty one.
func requireFields(w http.ResponseWriter, fields ...field) bool {
	for _, f := range fields {
		if f.value == "" {
			problem.BadField(f.name, "a value is needed").Write(w)
			return false
		}
	}
	return true
}
