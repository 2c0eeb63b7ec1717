package operator

import (
	"maps"
	"net/http"
	"slices"

	"wasabirelay/control"
)

// getMoves serves GET /v1/moves: 200 with Moves.
func (s *Service) getMoves(w http.ResponseWriter, _ *http.Request) {
	v := s.View()
	response := Moves{Moves: []Move{}}
	for _, service := range slices.Sorted(maps.Keys(v.Moves)) {
		response.Moves = append(response.Moves, newMove(v, service))
	}
	writeJSON(w, response)
}

// getMove serves GET /v1/moves/{service}: 200 with Move; 404 if the service has
// no move.
func (s *Service) getMove(w http.ResponseWriter, r *http.Request) {
	v, service := s.View(), r.PathValue("service")
	if _, ok := v.Moves[service]; !ok {
		notFound("service " + service + " has no move").Write(w)
		return
	}
	writeJSON(w, newMove(v, service))
}

func newMove(v *control.View, service string) Move {
	m := Move{MoveRecord: v.Moves[service], Targets: map[string]int{}}
	for _, t := range v.Targets[service] {
		m.Targets[t.Version]++
	}
	return m
}

// revertMove serves POST /v1/moves/{service}/revert?wait=D with the body
// RevertRequest: 200 with ChangeResponse; 404 if there is no move; 409 if the move is to
// another version, or if another change has reverted it, whose operator and identity the
// refusal contains.
func (s *Service) revertMove(w http.ResponseWriter, r *http.Request) {
	var b RevertRequest
	if !readBody(w, r, &b) ||
		!requireFields(w, field{"change", b.Change}, field{"operator", b.Operator}, field{"version", b.Version}) {
		return
	}
	s.commit(w, r, control.Command{Move: &control.StepMove{
		Service: r.PathValue("service"), Version: b.Version, Step: control.StepReverted, Reason: b.Reason, Revert: true,
		Operator: b.Operator, Change: b.Change,
	}})
}
