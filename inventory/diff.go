package inventory

// Change is one difference between two documents.
type Change struct {
	// Field is the path of the field, with dots between names.
	Field string `json:"field"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}
