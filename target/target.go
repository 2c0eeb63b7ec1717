// Package target is the interface between wasabirelay and targets: announcement,
// renewal and leave, and the form of a sub-request.
package target

import (
	"context"
	"encoding/json"
	"net/http"

	"wasabirelay/control"
	"wasabirelay/document"
	"wasabirelay/problem"
)

// Headers of a sub-request.
const (
	HeaderRequest  = "Wasabi-Request"
	HeaderShard    = "Wasabi-Shard"
	HeaderSnapshot = "Wasabi-Snapshot"
	// HeaderTimeout is the time that is left, in milliseconds.
	HeaderTimeout = "Wasabi-Timeout"
	// HeaderReason is why a target refused a sub-request with status 503.
	HeaderReason = "Wasabi-Reason"
)

// Reply is the body of a reply to a sub-request. End is the last member, so that
// a body that was cut short is recognized.
type Reply struct {
	Request  string          `json:"request"`
	Shard    int             `json:"shard"`
	Snapshot uint64          `json:"snapshot"`
	Result   json.RawMessage `json:"result"`
	End      bool            `json:"end"`
}

// Renewal is the reply to an announcement.
type Renewal struct {
	// Renew is when to announce again; after Expire without it the target is removed.
	Renew     document.Duration `json:"renew"`
	Expire    document.Duration `json:"expire"`
	Addresses []string          `json:"addresses"`
}

// maxBody bounds an announcement in bytes.
const maxBody = 1 << 20

// Service is the HTTP interface to targets. Exported fields are set before use.
type Service struct {
	// Host is the name of this host.
	Host string
	// Propose commits a command.
	Propose func(ctx context.Context, c control.Command) (control.Result, error)
	// View returns the current view.
	View func() *control.View
}

// Register adds the routes to mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/targets", s.announce)
	mux.HandleFunc("DELETE /v1/targets/{target}", s.leave)
}

func (s *Service) announce(w http.ResponseWriter, r *http.Request) {
	var t control.Target
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&t); err != nil {
		problem.BadField("body", err.Error()).Write(w)
		return
	}
	if bad := Check(&t); bad != nil {
		bad.Write(w)
		return
	}
	t.Home = s.Host
	if !s.commit(w, r, control.Command{Announce: &control.Announce{Target: t}}) {
		return
	}
	rules := s.View().Inventory.Rules
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Renewal{Renew: rules.Renew, Expire: rules.Expire})
}

func (s *Service) leave(w http.ResponseWriter, r *http.Request) {
	l := control.Leave{
		Target: r.PathValue("target"), Incarnation: r.URL.Query().Get("incarnation"), Reason: control.Left,
	}
	if s.commit(w, r, control.Command{Leave: &l}) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// commit proposes the command and writes a refusal. It reports whether the
// command was accepted.
func (s *Service) commit(w http.ResponseWriter, r *http.Request, c control.Command) bool {
	result, err := s.Propose(r.Context(), c)
	if err != nil {
		problem.Unavailable("no-quorum", err.Error()).Write(w)
		return false
	}
	if f := result.Refusal; f != nil {
		(&problem.Details{
			Type: "urn:wasabirelay:" + string(f.Kind), Title: "Refused", Status: http.StatusConflict, Detail: f.Detail,
		}).Write(w)
		return false
	}
	return true
}

// Check returns a refusal that names the first field at fault, or nil.
func Check(t *control.Target) *problem.Details {
	for _, f := range []struct {
		ok             bool
		field, allowed string
	}{
		{t.Name != "", "target", "a name is needed"},
		{t.Incarnation != "", "incarnation", "an identity of this run of the process is needed"},
		{t.Service != "", "service", "a service is needed"},
		{t.Version != "", "version", "a version is needed"},
		{t.Centre != "", "centre", "a data centre is needed"},
		{t.Address.IsValid() && t.Address.Port() != 0, "address", "an IP address with a port is needed"},
		{len(t.Shards) > 0, "shards", "at least one shard is needed"},
		{len(t.Snapshots) > 0, "snapshots", "at least one snapshot is needed"},
		{t.State == control.Cold || t.State == control.Warm || t.State == control.Draining, "state", "cold, warm or draining"},
	} {
		if !f.ok {
			return problem.BadField(f.field, f.allowed)
		}
	}
	return nil
}
