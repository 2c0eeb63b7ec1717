package operator

import (
	"net/http"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/document"
	"wasabirelay/inventory"
	"wasabirelay/problem"
)

// getInventory serves GET /v1/inventory: 200 with control.AcceptedInventory, whose text is
// exactly what the operator sent. Version 0 means that there is no inventory yet.
func (s *Service) getInventory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.View().Accepted)
}

// applyInventory serves POST /v1/inventory?wait=D with the body ApplyRequest: 200 with
// ChangeResponse; 409 with Refusal (operator, change, differences) if another change won;
// 422 with Refusal (faults) if the document has faults.
func (s *Service) applyInventory(w http.ResponseWriter, r *http.Request) {
	var a ApplyRequest
	if !readBody(w, r, &a) || !requireFields(w, field{"change", a.Change}, field{"operator", a.Operator}, field{"text", a.Text}) {
		return
	}
	if _, ok := s.parseDocument(w, a.Text); !ok {
		return
	}
	s.commit(w, r, control.Command{Inventory: &control.ApplyInventory{
		Base: a.Base, Change: a.Change, Operator: a.Operator, Text: a.Text,
	}})
}

// checkInventory serves POST /v1/inventory/check with the body CheckRequest: 200 with
// CheckResponse; 422 with Refusal (faults). It changes nothing.
func (s *Service) checkInventory(w http.ResponseWriter, r *http.Request) {
	var c CheckRequest
	if !readBody(w, r, &c) || !requireFields(w, field{"text", c.Text}) {
		return
	}
	d, ok := s.parseDocument(w, c.Text)
	if !ok {
		return
	}
	v := s.View()
	response := CheckResponse{Version: v.Version, Differences: inventory.Diff(v.Inventory, d)}
	if response.Differences == nil {
		response.Differences = []inventory.Change{}
	}
	writeJSON(w, response)
}

// parseDocument parses the document. If that fails, it writes a refusal that lists all faults.
func (s *Service) parseDocument(w http.ResponseWriter, text string) (*inventory.Document, bool) {
	d, err := inventory.Parse("inventory", []byte(text))
	if err == nil {
		return d, true
	}
	f := &Refusal{
		Details: problem.Details{
			Type: "urn:wasabirelay:" + string(control.Invalid), Title: "Invalid document",
			Status: http.StatusUnprocessableEntity, Detail: err.Error(), Executed: problem.None,
		},
		Version: s.View().Version,
	}
	var faults *document.FaultsError
	if errors.As(err, &faults) {
		f.Faults, f.Field = faults.Faults, faults.Faults[0].Field
	}
	f.Write(w)
	return nil, false
}

// getRules serves GET /v1/rules: 200 with Rules; 404 if there is no inventory.
func (s *Service) getRules(w http.ResponseWriter, _ *http.Request) {
	v := s.View()
	if v.Inventory == nil {
		notFound("no inventory has been applied yet").Write(w)
		return
	}
	writeJSON(w, Rules{Version: v.Version, Rules: v.Inventory.Rules})
}

func notFound(detail string) *problem.Details {
	return &problem.Details{
		Type: "urn:wasabirelay:absent", Title: "Not found", Status: http.StatusNotFound, Detail: detail, Executed: problem.None,
	}
}
